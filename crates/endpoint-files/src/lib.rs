//! The list of servers as files that staff edit: read with all faults, taken whole or not at all, planned from the old
//! list to the new, and kept for the next start.
//!
//! [`parse`] makes an [`endpoint_set::EndpointSet`] of texts, [`validation`] says whether it may take the old one's
//! place, [`update_plan`] what that does, [`activation_schedule`] what is in force at a moment, [`debounce`] when files
//! that change are looked at, and [`snapshot_store`] writes and finds the last good one.

#![forbid(unsafe_code)]

pub mod activation_schedule;
pub mod debounce;
pub mod endpoint_set;
pub mod parse;
pub mod snapshot_store;
pub mod update_plan;
pub mod validation;
