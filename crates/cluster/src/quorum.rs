//! How much of the configured group a coordinator sees, and the one table of what it may do then.

use serde::Serialize;

/// How much of the configured group a coordinator sees, from least to most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum QuorumView {
    /// Only itself, or it can't trust what it sees: it was replaced, or was paused for long and is not confirmed yet.
    #[serde(rename = "alone")]
    Isolated,
    /// Half of the group or less, or its own health is degraded.
    Minority,
    /// More than half of the group.
    Majority,
    /// The whole group.
    #[serde(rename = "whole")]
    Complete,
}

impl QuorumView {
    /// The view of a coordinator that sees `live` of `configured` names, its own included.
    pub fn from_counts(live: usize, configured: usize) -> QuorumView {
        match live {
            _ if live >= configured => QuorumView::Complete,
            0 | 1 => QuorumView::Isolated,
            _ if 2 * live > configured => QuorumView::Majority,
            _ => QuorumView::Minority,
        }
    }
}

/// What a coordinator may want to do and has to ask [`is_allowed`] for first. Later features add a variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClusterAction {
    /// Serve clients by its own endpoint list.
    ServeClients,
    /// Share its phase and the outliers it found.
    ShareState,
    /// Use what others share, as advice.
    UseAdvice,
    /// Act for the whole cluster, where only one member may at a time.
    ActForCluster,
    /// Take over from a failed member.
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

    /// The key of this action in the `may` object of `GET /v1/peers`.
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

/// Whether an action is allowed with a view of the group.
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
        // Partitioned or not, a coordinator owes its clients answers, and serving takes only its own list.
        ClusterAction::ServeClients => true,
        // Whoever receives it can use it, and nobody else is misled.
        ClusterAction::ShareState => true,
        // What was received before isolation is stale, and an unhealthy member may have received it wrongly.
        ClusterAction::UseAdvice => quorum_view > QuorumView::Isolated,
        // Two sides of a partition can't both see more than half of the group.
        ClusterAction::ActForCluster | ClusterAction::TakeOver => {
            quorum_view >= QuorumView::Majority
        }
    }
}

#[cfg(test)]
mod tests;
