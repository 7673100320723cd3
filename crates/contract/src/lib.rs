//! Descriptions of interfaces, in OpenAPI and AsyncAPI: read with all their faults, held against traffic, published
//! from a configuration and compared.
//!
//! A description is read once ([`model::Description`]) and then judges messages without I/O ([`conformance`]). What is done
//! about a departure is decided in [`enforcement`]; where and since when an interface departs is kept in [`drift`].

#![forbid(unsafe_code)]

mod asyncapi;
mod builder;
pub mod conformance;
pub mod diff;
pub mod document;
pub mod drift;
pub mod enforcement;
pub mod fault;
pub mod model;
mod openapi;
pub mod publish;
mod reader;
pub mod replay;
pub mod routing;
pub mod schema;
pub mod sources;
