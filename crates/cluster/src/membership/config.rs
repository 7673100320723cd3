//! Configuration and outputs of a membership.

use crate::identity::MemberId;
use crate::quorum::QuorumView;
use crate::view::MemberState;
use cairnroad_types::Seconds;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What a coordinator is in its cluster.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The cluster's name: two clusters of different names never merge.
    pub cluster_name: String,
    /// The coordinator's name.
    pub name: String,
    /// The room that it stands in.
    pub room: String,
    /// What it offers to others.
    pub offers: Vec<String>,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// When the process started, in Unix milliseconds.
    pub generation: u64,
    /// The names of the configured group.
    pub member_names: BTreeSet<String>,
    /// Where other members may be found at first.
    pub seeds: Vec<SocketAddr>,
    /// Seeds the random generator, the only source of chance.
    pub random_seed: u64,
}

/// What is to be done, or has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    SendDatagram {
        /// The receiver.
        to: SocketAddr,
        /// The whole datagram.
        bytes: Vec<u8>,
    },
    /// A member's state changed.
    MemberChanged {
        /// The member.
        id: MemberId,
        /// Its name, if its description has arrived.
        name: Option<String>,
        /// Its new state.
        state: MemberState,
    },
    /// A newer process took a member's place under its name.
    MemberReplaced {
        /// The earlier process.
        earlier: MemberId,
        /// The later process.
        later: MemberId,
    },
    /// How much of the group is seen has changed.
    QuorumChanged(QuorumView),
    /// Other members had declared this coordinator failed, or it could not know; it rejoined.
    Rejoined,
    /// This process did not run for so many seconds.
    Paused(Seconds),
}
