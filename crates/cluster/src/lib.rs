//! Cluster membership and gossip among coordinators, as a state machine without I/O and without a clock of its own.
//!
//! [`Membership`] is the state machine of one coordinator. Its inputs are datagrams and the current time; its outputs
//! ([`Output`]) are datagrams to send and changes to report. The SWIM library `foca` detects failures by probes,
//! suspicion and incarnations. This crate adds the state of each member ([`view`]), a coordinator's estimate of its own
//! health ([`local_health`]), shared entries ([`gossip_state`]) and the [`quorum::QuorumView`], from which
//! [`quorum::is_allowed`] derives the actions that a coordinator may take.
//!
//! Data shared by other coordinators is advice only: a coordinator sends requests only to servers on its own endpoint
//! list.
#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

pub mod datagram;
mod datagram_error;
mod gossip_entry;
pub mod gossip_state;
pub mod identity;
pub mod local_health;
pub mod member_names;
mod membership;
mod message_filter;
pub mod outlier_advice;
pub mod quorum;
pub mod view;

pub use datagram_error::{DatagramError, DropCount};
pub use membership::{MemberGossip, Membership, MembershipConfig, Output, TICK_INTERVAL};
pub use view::MAX_MEMBERS;
