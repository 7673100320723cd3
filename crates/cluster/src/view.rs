//! Members as one coordinator sees them.

use crate::identity::MemberId;
use crate::quorum::{is_allowed, ClusterAction, QuorumView};
use cairnroad_types::Time;
use serde::Serialize;

/// Most members that are tracked, failed and departed ones included: a group's names, and as many processes as
/// change in an hour.
pub const MAX_MEMBERS: usize = 8_192;

/// A member's state as one coordinator sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It answers probes, or others say that it does.
    Alive,
    /// Some member got no answer from it. It still counts as live.
    Suspected,
    /// It did not refute the suspicion in time.
    Failed,
    /// It announced that it leaves.
    Left,
}

impl MemberState {
    /// Whether the member counts as live.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspected)
    }
}

/// What one coordinator knows of another.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its newest known process.
    pub id: MemberId,
    /// Its state.
    pub state: MemberState,
    /// Since when it is in this state, on the observer's clock.
    pub since: Time,
    /// SWIM incarnation: how often it refuted a suspicion.
    pub incarnation: u16,
}

/// A consistent snapshot of what one coordinator sees.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterView {
    /// Increases with every change of the view. Members with equal digests adopt the highest epoch among them.
    pub epoch: u64,
    /// Equal at all coordinators that see the same members.
    pub digest: u64,
    /// The observing coordinator.
    pub local: MemberId,
    /// How much of the configured group it sees.
    pub quorum_view: QuorumView,
    /// Its local health score: 0 is healthy, see [`LocalHealth`](crate::local_health::LocalHealth).
    pub health_score: u32,
    /// A newer process under the observer's name that took its place.
    pub replaced_by: Option<MemberId>,
    /// Live members whose last message carried this view's digest.
    pub agreeing_count: usize,
    /// Live members whose last message carried another digest.
    pub differing_count: usize,
    /// All known members except the observer.
    pub members: Vec<Member>,
}

impl ClusterView {
    /// The number of live members, the observer included.
    pub fn live_count(&self) -> usize {
        let others = self
            .members
            .iter()
            .filter(|member| member.state.is_live())
            .count();
        1 + others
    }

    /// Whether the observer may do this now.
    pub fn allows(&self, action: ClusterAction) -> bool {
        is_allowed(self.quorum_view, action)
    }
}
