//! Endpoint lists from files that operators edit: parsing with all faults reported, complete-or-nothing updates,
//! slow changes of weights, and a stored snapshot for the next start.
//!
//! The package decides on plain data; only [`snapshot_store`] touches the file system, and nothing reads a clock.
//!
//! | module | job |
//! | --- | --- |
//! | [`parse`] | file texts to an [`endpoint_set::EndpointSet`], or all [`fault::Fault`]s |
//! | [`validation`] | whether a set may replace the one in force |
//! | [`update_plan`] | what replacing one set by another changes |
//! | [`activation_schedule`] | phase and weight of each endpoint at a moment |
//! | [`debounce`] | when changing files are read |
//! | [`snapshot_store`] | the last accepted set on disk |
//! | [`file_format`] | the bounds of files and the mark at their end |
//! | [`render`], [`timestamp`] | a set as TOML text, moments in TOML's form |

#![forbid(unsafe_code)]
#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

pub mod activation_schedule;
pub mod debounce;
pub mod endpoint_set;
pub mod fault;
pub mod file_format;
pub mod parse;
pub mod render;
pub mod shard_layout;
pub mod snapshot_store;
pub mod timestamp;
pub mod update_plan;
pub mod validation;
