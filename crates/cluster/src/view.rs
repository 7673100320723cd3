//! The members of a cluster as one coordinator sees them.

use crate::identity::MemberId;
use crate::quorum::{is_allowed, ClusterAction, QuorumView};
use cairnroad_types::Time;
use serde::Serialize;

/// Maximum number of tracked members, including failed and departed ones: the names of a group, and as many processes
/// as are replaced within an hour.
pub const MAX_MEMBERS: usize = 8_192;

/// A member's state as one coordinator sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The member answers probes, or other members report that it does.
    Alive,
    /// A probe of the member got no answer. It still counts as live.
    Suspected,
    /// The member did not refute the suspicion in time.
    Failed,
    /// The member announced that it leaves.
    Left,
}

impl MemberState {
    /// Returns whether the member counts as live.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspected)
    }
}

/// A member as another coordinator, the observer, sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The member's newest known process.
    pub id: MemberId,
    /// The member's state.
    pub state: MemberState,
    /// Time since which the member is in this state, on the observer's clock.
    pub since: Time,
    /// SWIM incarnation: the number of suspicions that the member refuted under this identity.
    pub incarnation: u16,
}

/// A consistent snapshot of the cluster as one coordinator, the observer, sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterView {
    /// Increases with every change of the view. Members with equal digests adopt the highest epoch among them.
    pub epoch: u64,
    /// Digest of the live members; equal at all coordinators that see the same ones.
    pub digest: u64,
    /// The observer's identity.
    pub local: MemberId,
    /// How much of the configured group the observer sees.
    pub quorum_view: QuorumView,
    /// The observer's local health score, from 0 (healthy) to 8, see [`LocalHealth`](crate::local_health::LocalHealth).
    pub health_score: u32,
    /// The newer process that replaced the observer under its name, if any.
    pub replaced_by: Option<MemberId>,
    /// Number of live members whose last message carried this view's digest.
    pub agreeing_count: usize,
    /// Number of live members whose last message carried another digest.
    pub differing_count: usize,
    /// All known members except the observer, failed and departed ones included.
    pub members: Vec<Member>,
}

impl ClusterView {
    /// Returns the number of live members, the observer included.
    pub fn live_count(&self) -> usize {
        let other_members = self
            .members
            .iter()
            .filter(|member| member.state.is_live())
            .count();
        1 + other_members
    }

    /// Returns whether the observer may take this action now.
    pub fn allows(&self, action: ClusterAction) -> bool {
        is_allowed(self.quorum_view, action)
    }
}
