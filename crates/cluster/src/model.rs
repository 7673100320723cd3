//! The words of the group: identities, members, quorum_views, and the one table of what each quorum_view allows.

use cairnroad_types::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A name as it travels: the hash of the text, which the member's card spells out.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NameHash(pub u64);

impl NameHash {
    /// The name that this text is.
    pub fn of(text: &str) -> NameHash {
        NameHash(xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
    }
}

/// One life of a coordinator. Of two under one name, the later one is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// Its name.
    pub name: NameHash,
    /// When the process started, in Unix milliseconds, or later than any earlier life that it met.
    pub generation: u64,
    /// How often it came back after others had declared it failed, in this life.
    pub rejoins: u16,
    /// Where its datagrams go.
    pub address: SocketAddr,
}

impl MemberId {
    /// Whether this one is meant where both bear one name.
    pub fn supersedes(&self, other: &MemberId) -> bool {
        (self.generation, self.rejoins, self.address)
            > (other.generation, other.rejoins, other.address)
    }

    /// Whether it is another process than the other one.
    pub fn is_another_process(&self, other: &MemberId) -> bool {
        (self.generation, self.address) != (other.generation, other.address)
    }

    /// A number that two views share only if they share this member.
    pub(crate) fn digest(&self) -> u64 {
        let mut bytes = [0; 18];
        bytes[..8].copy_from_slice(&self.name.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.generation.to_le_bytes());
        bytes[16..].copy_from_slice(&self.rejoins.to_le_bytes());
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}

/// Where a member stands in one coordinator's eyes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It answers, or others say that it does.
    Alive,
    /// Somebody got no answer from it. It still counts as there.
    Suspected,
    /// It did not refute the suspicion in time.
    Failed,
    /// It said that it leaves.
    Left,
}

impl MemberState {
    /// Whether it counts as there.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspected)
    }
}

/// What one coordinator knows of another.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Which life of which name.
    pub id: MemberId,
    /// Its state.
    pub state: MemberState,
    /// Since when, on this coordinator's clock.
    pub since: Time,
    /// The member's number for refuting suspicion.
    pub incarnation: u16,
}

/// How much of the configured group a coordinator sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum QuorumView {
    /// Nobody but itself; or it can't trust what it sees: it was replaced, or has just been stopped for long.
    #[serde(rename = "alone")]
    Isolated,
    /// Half of the group or less; or it doubts itself.
    Minority,
    /// More than half.
    Majority,
    /// All.
    #[serde(rename = "whole")]
    Complete,
}

impl QuorumView {
    /// The quorum_view of one that sees `there` of `all` names, itself included.
    pub fn from_counts(live: usize, configured: usize) -> QuorumView {
        match live {
            _ if live >= configured => QuorumView::Complete,
            0 | 1 => QuorumView::Isolated,
            _ if 2 * live > configured => QuorumView::Majority,
            _ => QuorumView::Minority,
        }
    }
}

/// What a coordinator may want to do and has to ask for first. Later features add a line here and to [`may`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClusterAction {
    /// Serve clients by its own list.
    ServeClients,
    /// Tell others what it knows: its phase, which data nodes it doubts.
    ShareState,
    /// Heed what others tell, as advice.
    UseAdvice,
    /// Do something for the whole group, of which there may be only one at a time.
    ActForCluster,
    /// Take over something from one that has failed.
    TakeOver,
}

/// All features, in the order of the table.
pub const CLUSTER_ACTIONS: [ClusterAction; 5] = [
    ClusterAction::ServeClients,
    ClusterAction::ShareState,
    ClusterAction::UseAdvice,
    ClusterAction::ActForCluster,
    ClusterAction::TakeOver,
];

impl ClusterAction {
    /// The key of this action on the page of `GET /v1/peers`.
    pub fn key(self) -> &'static str {
        match self {
            ClusterAction::ServeClients => "serve",
            ClusterAction::ShareState => "tell",
            ClusterAction::UseAdvice => "heed",
            ClusterAction::ActForCluster => "actforall",
            ClusterAction::TakeOver => "takeover",
        }
    }
}

/// The one table of what each action may do in each quorum_view.
///
/// | | alone | minority | majority | whole |
/// | --- | --- | --- | --- | --- |
/// | `Serve` | yes | yes | yes | yes |
/// | `Tell` | yes | yes | yes | yes |
/// | `Heed` | no | yes | yes | yes |
/// | `ActForAll` | no | no | yes | yes |
/// | `TakeOver` | no | no | yes | yes |
pub fn is_allowed(quorum_view: QuorumView, action: ClusterAction) -> bool {
    match action {
        // Cut off or not, a coordinator owes its clients answers, and its own list is all that this takes.
        ClusterAction::ServeClients => true,
        // Whoever hears it can use it, and nobody else is misled.
        ClusterAction::ShareState => true,
        // What was heard before one was alone is old, and one that doubts itself as much may hear wrong.
        ClusterAction::UseAdvice => quorum_view > QuorumView::Isolated,
        // Two sides of a cut can't both see more than half of the group.
        ClusterAction::ActForCluster | ClusterAction::TakeOver => {
            quorum_view >= QuorumView::Majority
        }
    }
}

/// What one coordinator sees at one moment: always whole, never a mix of two.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterView {
    /// Counts up with every change, here or, where others counted further, there.
    pub epoch: u64,
    /// Equal at all coordinators that see the same members.
    pub digest: u64,
    /// This coordinator.
    pub local: MemberId,
    /// Its quorum_view.
    pub quorum_view: QuorumView,
    /// How much it doubts itself, from 0.
    pub health_score: u32,
    /// Another process under this one's name has taken its place.
    pub replaced_by: Option<MemberId>,
    /// Of those who are there: how many last spoke from an equal view, and how many from another.
    pub agreeing: usize,
    /// See `agree`.
    pub differing: usize,
    /// All members that are known, this one left out.
    pub members: Vec<Member>,
}

impl ClusterView {
    /// How many are there, this one included.
    pub fn live_count(&self) -> usize {
        1 + self
            .members
            .iter()
            .filter(|member| member.state.is_live())
            .count()
    }

    /// Whether this coordinator may do a thing now.
    pub fn allows(&self, action: ClusterAction) -> bool {
        is_allowed(self.quorum_view, action)
    }
}

#[cfg(test)]
mod tests;
