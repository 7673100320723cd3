//! Descriptions of interfaces, in OpenAPI and AsyncAPI: read with all their faults, held against traffic, published
//! from a configuration and compared.
//!
//! A description is read once ([`model::Description`]) and then judges messages without I/O ([`check`]). What is done
//! about a departure is decided in [`decide`]; where and since when an interface departs is kept in [`drift`].

#![forbid(unsafe_code)]

mod asyncapi;
pub mod check;
pub mod decide;
pub mod diff;
pub mod drift;
pub mod fault;
pub mod model;
mod openapi;
pub mod publish;
pub mod replay;
pub mod route;
pub mod schema;
pub mod source;
pub mod tree;
