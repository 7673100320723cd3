//! A coordinator's awareness of its own health (after Lifeguard: Dadgar, Phillips, Currey 2018).
//!
//! A process that was paused, starved or can't be heard sees others fail though it is the one that failed. The less
//! healthy it is, the longer it waits before it declares others failed.

/// The worst score.
const MAX_SCORE: u32 = 8;
/// The most by which timeouts are multiplied: a member that is cut off alone has to find out in the end.
const MAX_TIMEOUT_MULTIPLIER: u32 = 3;
/// From this score on a coordinator does nothing for others: what it sees may be its own fault.
const DEGRADED_SCORE: u32 = 4;

/// What counts for or against a coordinator's own health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthEvidence {
    /// One of its probes was answered.
    ProbeAnswered,
    /// One of its probes was not, and none of the members asked afterwards answered either.
    Unreachable,
    /// Others suspected it, and it had to refute that.
    Suspected,
    /// Its process did not run for a while.
    Paused,
}

/// How healthy a coordinator takes itself to be. The default is fully healthy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Adjusts the score.
    pub(crate) fn record(&mut self, evidence: HealthEvidence) {
        self.score = match evidence {
            HealthEvidence::ProbeAnswered => self.score.saturating_sub(1),
            HealthEvidence::Suspected => (self.score + 1).min(MAX_SCORE),
            HealthEvidence::Unreachable | HealthEvidence::Paused => (self.score + 2).min(MAX_SCORE),
        };
    }

    /// The score: 0 is healthy, 8 the worst.
    pub fn score(self) -> u32 {
        self.score
    }

    /// By how much timeouts that lead to declaring others failed are multiplied, 1 to 3.
    pub fn timeout_multiplier(self) -> u32 {
        (self.score + 1).min(MAX_TIMEOUT_MULTIPLIER)
    }

    /// Whether the coordinator is too unhealthy to do anything for others.
    pub fn is_degraded(self) -> bool {
        self.score >= DEGRADED_SCORE
    }
}

#[cfg(test)]
mod tests;
