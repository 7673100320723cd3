//! How much of the configured group a coordinator sees, and the table of the actions that this allows.

use serde::Serialize;

/// How much of the configured group a coordinator sees, from least to most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum QuorumView {
    /// The coordinator sees only itself, or can't trust its view: a newer process replaced it, or it was paused for
    /// long and no other member has confirmed it yet.
    #[serde(rename = "alone")]
    Isolated,
    /// The coordinator sees half of the group or less, or its own health is degraded.
    Minority,
    /// The coordinator sees more than half of the group, but not all of it.
    Majority,
    /// The coordinator sees the whole group.
    #[serde(rename = "whole")]
    Complete,
}

impl QuorumView {
    /// Returns the view of a coordinator that sees `live_count` of `configured_count` members, itself included.
    pub fn from_counts(live_count: usize, configured_count: usize) -> QuorumView {
        match live_count {
            _ if live_count >= configured_count => QuorumView::Complete,
            0 | 1 => QuorumView::Isolated,
            _ if 2 * live_count > configured_count => QuorumView::Majority,
            _ => QuorumView::Minority,
        }
    }
}

/// An action that a coordinator takes only if [`is_allowed`] permits it. New features that act for others add a
/// variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClusterAction {
    /// Serve clients, based on the coordinator's own endpoint list.
    ServeClients,
    /// Publish the coordinator's phase and the outliers that it found.
    ShareState,
    /// Use the state that other members publish, as advice.
    UseAdvice,
    /// Act on behalf of the whole cluster, which only one member may do at a time.
    ActForCluster,
    /// Take over the work of a failed member.
    TakeOver,
}

impl ClusterAction {
    /// All actions, in the order of the table of [`is_allowed`].
    pub const ALL: [ClusterAction; 5] = [
        ClusterAction::ServeClients,
        ClusterAction::ShareState,
        ClusterAction::UseAdvice,
        ClusterAction::ActForCluster,
        ClusterAction::TakeOver,
    ];

    /// Returns the key of this action in the `may` object of `GET /v1/peers`.
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

/// Returns whether an action is allowed with the given view of the group.
///
/// | | isolated | minority | majority | complete |
/// | --- | --- | --- | --- | --- |
/// | `ServeClients` | yes | yes | yes | yes |
/// | `ShareState` | yes | yes | yes | yes |
/// | `UseAdvice` | no | yes | yes | yes |
/// | `ActForCluster` | no | no | yes | yes |
/// | `TakeOver` | no | no | yes | yes |
pub fn is_allowed(quorum_view: QuorumView, action: ClusterAction) -> bool {
    match action {
        // Clients need answers during a partition too, and serving them takes only the coordinator's own endpoint list.
        ClusterAction::ServeClients => true,
        // Any member that receives the state can use it, and no other member is misled.
        ClusterAction::ShareState => true,
        // Advice from before the isolation is stale, and an unhealthy member may have received it incorrectly.
        ClusterAction::UseAdvice => quorum_view > QuorumView::Isolated,
        // Two sides of a partition can't both see more than half of the group.
        ClusterAction::ActForCluster | ClusterAction::TakeOver => {
            quorum_view >= QuorumView::Majority
        }
    }
}

#[cfg(test)]
mod tests;
