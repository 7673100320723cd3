//! Configuration and outputs of a [`Membership`](crate::Membership).

use crate::identity::MemberId;
use crate::quorum::QuorumView;
use crate::view::MemberState;
use cairnroad_types::Seconds;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Configuration of one coordinator's membership.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The cluster's name. Two clusters with different names never merge.
    pub cluster_name: String,
    /// The coordinator's name.
    pub name: String,
    /// The room that the coordinator is located in, published to the other members.
    pub room: String,
    /// What the coordinator offers, published to the other members.
    pub offers: Vec<String>,
    /// The address to which other members send their datagrams.
    pub address: SocketAddr,
    /// Start time of the process in Unix milliseconds.
    pub generation: u64,
    /// The names of all members of the configured group, this coordinator included.
    pub member_names: BTreeSet<String>,
    /// Addresses that are contacted to discover other members.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator, the only source of randomness.
    pub random_seed: u64,
}

/// An action for the caller to carry out, or a change to report.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A datagram has to be sent.
    SendDatagram {
        /// The address of the receiver.
        to: SocketAddr,
        /// The encoded datagram, header included.
        bytes: Vec<u8>,
    },
    /// A member's state changed.
    MemberChanged {
        /// The member's identity.
        id: MemberId,
        /// The member's name, if its description has arrived.
        name: Option<String>,
        /// The member's new state.
        state: MemberState,
    },
    /// A newer process replaced a member, or this coordinator, under its name.
    MemberReplaced {
        /// The process that was replaced.
        earlier: MemberId,
        /// The process that holds the name now.
        later: MemberId,
    },
    /// This coordinator's view of the configured group changed.
    QuorumChanged(QuorumView),
    /// This coordinator rejoined under a new identity: other members had declared it failed, or may have done so.
    Rejoined,
    /// The process was stopped or starved for this number of seconds.
    Paused(Seconds),
}
