//! Schedule and budget of health checks, and the rating of their results.

use cairnroad_types::{Outcome, Seconds};

/// Health checks earned by each part sent. They accumulate up to one per server, so that all servers can be
/// checked once an outlier is found.
const CREDIT_PER_PART: f64 = 0.3;
/// Mean gap between two health checks of a coordinator, as a share of the shortest latency objective. It is
/// short enough to check a fleet within two objectives, and long enough not to send all checks in one burst.
const MEAN_GAP_SHARE: f64 = 0.02;
/// Weight of one health check in the estimate of how many requests a server typically has in flight.
const TYPICAL_IN_FLIGHT_GAIN: f64 = 0.03;

/// Budget of health checks, and the typical number of requests in flight that servers report.
pub struct HealthCheckSchedule {
    credit: f64,
    typical_in_flight: f64,
    /// Whether the timer of the next health check is set.
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
    /// Adds the credit that one sent part earns, up to a total of `max_credit` health checks.
    pub fn add_credit(&mut self, max_credit: f64) {
        self.credit = (self.credit + CREDIT_PER_PART).min(max_credit);
    }

    /// Spends the credit of one health check. Returns `false` if there isn't enough.
    pub fn try_spend(&mut self) -> bool {
        let is_affordable = self.credit >= 1.0;
        if is_affordable {
            self.credit -= 1.0;
        }
        is_affordable
    }

    /// Returns the delay until the next health check, in seconds.
    ///
    /// `random` is a number from 0 to 1 that spreads the checks of many coordinators over time.
    pub fn delay(shortest_objective: Seconds, random: f64) -> Seconds {
        shortest_objective * MEAN_GAP_SHARE * 2.0 * random
    }

    /// Returns the server's load according to a health check, as a multiple of the typical load.
    ///
    /// `in_flight` is the number of requests in flight that the server reports. A check without an answer gives
    /// `failure_ratio`. `None` means that the check says nothing about the server.
    pub fn load_ratio(
        &mut self,
        outcome: Outcome,
        in_flight: Option<f64>,
        failure_ratio: f64,
    ) -> Option<f64> {
        match (outcome, in_flight.filter(|count| count.is_finite())) {
            (Outcome::Ok, Some(count)) => {
                let direction = (count - self.typical_in_flight).signum();
                self.typical_in_flight *= (TYPICAL_IN_FLIGHT_GAIN * direction).exp();
                Some((count.max(0.0) + 1.0) / (self.typical_in_flight + 1.0))
            }
            (Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset, _) => Some(failure_ratio),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
