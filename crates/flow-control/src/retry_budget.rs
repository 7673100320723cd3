//! The budget of attempts beyond each part's first.

use crate::SlidingWindow;
use cairnroad_types::{RetryBudgetLimits, Seconds, Time};

/// Arrivals and retries within the window of the configured limits.
///
/// Without limits nothing is counted, so that nothing accumulates.
#[derive(Default)]
pub struct RetryBudget {
    arrivals: SlidingWindow,
    retries: SlidingWindow,
}

impl RetryBudget {
    /// Counts a query or a part that arrived.
    pub fn on_arrival(&mut self, now: Time, limits: Option<RetryBudgetLimits>) {
        if let Some(limits) = limits {
            self.arrivals.push(now, limits.window);
        }
    }

    /// Counts a retry or a hedged request that was sent.
    pub fn on_retry(&mut self, now: Time, limits: Option<RetryBudgetLimits>) {
        if let Some(limits) = limits {
            self.retries.push(now, 2.0 * limits.window);
        }
    }

    /// Returns how many further attempts are allowed now, [`f64::MAX`] without limits.
    ///
    /// Arrivals are counted over `margin` less than the window and retries over `margin` more, so that the
    /// budget holds for an observer whose clock is off by that much.
    pub fn remaining(&self, now: Time, limits: Option<RetryBudgetLimits>, margin: Seconds) -> f64 {
        let Some(limits) = limits else {
            return f64::MAX;
        };
        let arrivals = self.arrivals.count(now, limits.window - margin);
        let retries = self.retries.count(now, limits.window + margin);
        limits.always_allowed + limits.share_of_arrivals * arrivals - retries
    }
}

#[cfg(test)]
mod tests;
