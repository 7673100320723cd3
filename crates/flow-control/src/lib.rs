//! What the decisions count by: what is due when, windows, rations and gaps of probes and list calls, the budget of
//! attempts, turns by weight, what servers take, and chance. It has no clock and decides nothing about a query.

mod agenda;
mod budget;
mod take;
mod turns;
mod window;

pub use agenda::Agenda;
pub use budget::Budget;
use cairnroad_types::Outcome;
pub use take::Take;
pub use turns::owed;
pub use window::Window;

/// Probes earned by each part sent, saved up to one a server: one bad server found, all can be looked at.
const PROBE_SHARE: f64 = 0.3;
/// Mean gap between two probes of a node, as a share of the shortest aim: no wave, yet a fleet in two aims.
const PROBE_GAP: f64 = 0.02;
/// Weight of one probe in the count of requests that a server typically holds.
const TYPICAL_GAIN: f64 = 0.03;
/// First back-off before asking for the list again, as a share of the time in which it must be asked.
const ASK_AGAIN: f64 = 0.02;
/// Doublings of that back-off.
const MOST_DOUBLINGS: u32 = 3;

/// A node's only source of chance, from its seed on (splitmix64).
#[derive(Default)]
pub struct Chance(pub u64);

impl Chance {
    /// The next number, from 0 to under 1.
    #[expect(
        clippy::should_implement_trait,
        reason = "it never ends, and is no iterator"
    )]
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The ration of probes, and what is typical among their answers.
pub struct Probing {
    earned: f64,
    typical: f64,
    /// Whether one is due.
    pub armed: bool,
}

impl Default for Probing {
    fn default() -> Self {
        Probing {
            earned: 0.0,
            typical: 1.0,
            armed: false,
        }
    }
}

impl Probing {
    /// A part was sent; `most` probes can be saved up.
    pub fn earn(&mut self, most: f64) {
        self.earned = (self.earned + PROBE_SHARE).min(most);
    }

    /// Takes one probe off the ration, if it has one.
    pub fn take(&mut self) -> bool {
        let enough = self.earned >= 1.0;
        self.earned -= if enough { 1.0 } else { 0.0 };
        enough
    }

    /// Seconds to the next probe, by chance.
    pub fn gap(shortest_aim: f64, chance: f64) -> f64 {
        shortest_aim * PROBE_GAP * 2.0 * chance
    }

    /// What a probe makes of a server, as a multiple of what is typical; `worst` where it failed.
    pub fn hint(&mut self, outcome: Outcome, held: Option<f64>, worst: f64) -> Option<f64> {
        match (outcome, held.filter(|held| held.is_finite())) {
            (Outcome::Ok, Some(held)) => {
                self.typical *= (TYPICAL_GAIN * (held - self.typical).signum()).exp();
                Some((held.max(0.0) + 1.0) / (self.typical + 1.0))
            }
            (Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset, _) => Some(worst),
            _ => None,
        }
    }
}

/// Whether changes of the list are coming, and how long to wait where they are not.
#[derive(Default)]
pub struct Asking {
    failures: u32,
    /// Whether changes are coming.
    pub subscribed: bool,
}

impl Asking {
    /// The list came.
    pub fn told(&mut self) {
        *self = Asking {
            failures: 0,
            subscribed: true,
        };
    }

    /// Seconds to wait after a failure: doubling, by chance, so that many nodes don't ask together.
    pub fn failed(&mut self, must_ask: f64, chance: f64) -> f64 {
        let doublings = self.failures.min(MOST_DOUBLINGS);
        *self = Asking {
            failures: self.failures.saturating_add(1),
            subscribed: false,
        };
        must_ask * ASK_AGAIN * f64::from(1u32 << doublings) * (0.5 + chance)
    }
}

#[cfg(test)]
mod tests;
