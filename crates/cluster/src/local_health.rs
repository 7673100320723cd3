//! A coordinator's doubt of itself (after Lifeguard: Dadgar, Phillips, Currey 2018). One that was stopped, starved or
//! can't be heard sees others fail, though it is the one that failed: the more it doubts itself, the longer it waits
//! before it says so.

/// The most doubt.
pub const MAX_SCORE: u32 = 8;
/// By how much timers are stretched at most: one that is cut off alone has to find out in the end.
const MAX_TIMEOUT_MULTIPLIER: u32 = 3;
/// With so much doubt a coordinator does nothing for others: what it sees may be its own fault.
pub const DEGRADED_SCORE: u32 = 4;

/// What tells for or against oneself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthEvidence {
    /// A probe of ours was answered.
    ProbeAnswered,
    /// A probe of ours was not, and of those who were asked then nobody heard us.
    Unreachable,
    /// Others suspected us, and we had to refute it.
    Suspected,
    /// We did not run for a while.
    Paused,
}

/// How much a coordinator doubts itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth(u32);

impl LocalHealth {
    /// Takes in a sign.
    pub fn record(&mut self, evidence: HealthEvidence) {
        self.0 = match evidence {
            HealthEvidence::ProbeAnswered => self.0.saturating_sub(1),
            HealthEvidence::Suspected => (self.0 + 1).min(MAX_SCORE),
            HealthEvidence::Unreachable | HealthEvidence::Paused => (self.0 + 2).min(MAX_SCORE),
        };
    }

    /// How much it is.
    pub fn score(self) -> u32 {
        self.0
    }

    /// By how much timers that lead to a verdict on others are stretched.
    pub fn timeout_multiplier(self) -> u32 {
        (self.0 + 1).min(MAX_TIMEOUT_MULTIPLIER)
    }

    /// Whether it is too much to do anything for others.
    pub fn is_degraded(self) -> bool {
        self.0 >= DEGRADED_SCORE
    }
}

#[cfg(test)]
mod tests;
