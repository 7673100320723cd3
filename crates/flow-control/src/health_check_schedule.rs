//! When health checks are sent, and what the answer to one says of a server.

use cairnroad_types::{Outcome, Seconds};

/// Health checks earned by each part sent. They are saved up to one a server, so that once one outlier is
/// found, all servers can be checked.
const CREDIT_PER_PART: f64 = 0.3;
/// Mean gap between two health checks of a coordinator, as a share of the shortest latency objective: short
/// enough to check a fleet within two objectives, long enough not to send a wave.
const GAP_SHARE: f64 = 0.02;
/// Weight of one health check in the estimate of how many requests a server typically holds.
const TYPICAL_GAIN: f64 = 0.03;

/// The budget of health checks, and what is typical among their answers.
pub struct HealthCheckSchedule {
    credit: f64,
    typical_in_flight: f64,
    /// Whether a timer for the next health check is set.
    pub is_scheduled: bool,
}

impl Default for HealthCheckSchedule {
    fn default() -> Self {
        HealthCheckSchedule {
            credit: 0.0,
            typical_in_flight: 1.0,
            is_scheduled: false,
        }
    }
}

impl HealthCheckSchedule {
    /// Adds the credit of a part that was sent, up to `max_credit` health checks.
    pub fn add_credit(&mut self, max_credit: f64) {
        self.credit = (self.credit + CREDIT_PER_PART).min(max_credit);
    }

    /// Spends the credit of one health check; `false` if there isn't enough.
    pub fn try_spend(&mut self) -> bool {
        let affordable = self.credit >= 1.0;
        if affordable {
            self.credit -= 1.0;
        }
        affordable
    }

    /// Returns the delay to the next health check, in seconds.
    ///
    /// `random` is a number from 0 to 1; it spreads the checks of many coordinators.
    pub fn delay(shortest_objective: Seconds, random: f64) -> Seconds {
        shortest_objective * GAP_SHARE * 2.0 * random
    }

    /// Rates a server by its health check, as a multiple of what is typical.
    ///
    /// `in_flight` is the number of requests that the server reports to hold. A check that got no answer rates
    /// the server at `worst`. `None` means that the check says nothing of the server.
    pub fn load_ratio(
        &mut self,
        outcome: Outcome,
        in_flight: Option<f64>,
        worst: f64,
    ) -> Option<f64> {
        match (outcome, in_flight.filter(|count| count.is_finite())) {
            (Outcome::Ok, Some(count)) => {
                let direction = (count - self.typical_in_flight).signum();
                self.typical_in_flight *= (TYPICAL_GAIN * direction).exp();
                Some((count.max(0.0) + 1.0) / (self.typical_in_flight + 1.0))
            }
            (Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset, _) => Some(worst),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
