//! A coordinator's estimate of its own health (after Lifeguard: Dadgar, Phillips, Currey 2018).
//!
//! A process that was paused, is starved of CPU time or can't be reached sees other members fail although it is the
//! faulty one itself. The less healthy it is, the longer it waits before it declares other members failed.

/// Score of the worst health.
const MAX_SCORE: u32 = 8;
/// Maximum factor for timeouts. It is bounded because a member that is cut off from all others has to detect that
/// eventually.
const MAX_TIMEOUT_MULTIPLIER: u32 = 3;
/// Score from which a coordinator takes no action for other members: the failures that it sees may be its own.
const DEGRADED_SCORE: u32 = 4;

/// An observation that raises or lowers a coordinator's health score.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthEvidence {
    /// One of the coordinator's probes was answered.
    ProbeAnswered,
    /// One of its probes was not answered, and none of the members queried afterwards replied either.
    Unreachable,
    /// Other members suspected the coordinator, and it had to refute the suspicion.
    Suspected,
    /// The process was stopped or starved for a while.
    Paused,
}

/// Health of a coordinator by its own estimate. The default is fully healthy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Adjusts the score by an observation.
    pub(crate) fn record(&mut self, evidence: HealthEvidence) {
        self.score = match evidence {
            HealthEvidence::ProbeAnswered => self.score.saturating_sub(1),
            HealthEvidence::Suspected => (self.score + 1).min(MAX_SCORE),
            HealthEvidence::Unreachable | HealthEvidence::Paused => (self.score + 2).min(MAX_SCORE),
        };
    }

    /// Returns the score, from 0 (healthy) to 8 (worst).
    pub fn score(self) -> u32 {
        self.score
    }

    /// Returns the factor, from 1 to 3, for the timeouts that lead to declaring other members failed.
    pub fn timeout_multiplier(self) -> u32 {
        (self.score + 1).min(MAX_TIMEOUT_MULTIPLIER)
    }

    /// Returns whether the coordinator is too unhealthy to act for other members.
    pub fn is_degraded(self) -> bool {
        self.score >= DEGRADED_SCORE
    }
}

#[cfg(test)]
mod tests;
