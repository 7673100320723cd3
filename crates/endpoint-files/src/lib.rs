//! The list of servers as files that staff edit: read with all faults, taken whole or not at all, planned from the old
//! list to the new, and kept for the next start.
//!
//! [`read`] makes a [`model::Roster`] of texts, [`decide`] says whether it may take the old one's place, [`plan`] what
//! that does, [`schedule`] what is in force at a moment, [`settle`] when files that change are looked at, and [`keep`]
//! writes and finds the last good one.

#![forbid(unsafe_code)]

pub mod decide;
pub mod keep;
pub mod model;
pub mod plan;
pub mod read;
pub mod schedule;
pub mod settle;
