//! Endpoint lists from files that operators edit: parsing that reports all faults, all-or-nothing updates, gradual
//! weight changes, and a stored snapshot for the next start.
//!
//! Only [`snapshot_store`] accesses the file system; the other modules work on plain data, and none reads a clock.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`parse`] | parses files to an [`endpoint_set::EndpointSet`], or reports all [`fault::Fault`]s |
//! | [`validation`] | decides whether a set may replace the one in force |
//! | [`update_plan`] | lists the changes from one set to the next |
//! | [`activation_schedule`] | computes phase and weight of each endpoint at a given time |
//! | [`debounce`] | decides when changed files are read |
//! | [`snapshot_store`] | stores the last accepted set on disk |
//! | [`file_format`] | limits of files and their end marker |
//! | [`render`], [`timestamp`] | format a set as TOML, convert times from and to TOML |

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
