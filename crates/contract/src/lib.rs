//! Descriptions of interfaces in OpenAPI and AsyncAPI: reads them and reports all faults, checks traffic against them,
//! publishes them from a configuration, and compares them.
//!
//! A description is read once ([`model::Description`]) and then checks messages without I/O ([`conformance`]).
//! [`enforcement`] decides how a violation is handled; [`drift`] records where and since when an interface violates
//! its description.
#![warn(clippy::too_many_lines, clippy::wildcard_imports)]
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
