//! The budget of attempts beyond each part's first: retries and hedged requests.

use crate::SlidingWindow;
use cairnroad_types::{RetryBudgetLimits, Seconds, Time};

/// Counts arrivals and further attempts within the window of the configured limits.
///
/// Without limits, nothing is recorded, so that memory doesn't grow.
#[derive(Default)]
pub struct RetryBudget {
    arrivals: SlidingWindow,
    retries: SlidingWindow,
}

impl RetryBudget {
    /// Records the arrival of a query or a part.
    pub fn on_arrival(&mut self, now: Time, limits: Option<RetryBudgetLimits>) {
        if let Some(limits) = limits {
            self.arrivals.push(now, limits.window);
        }
    }

    /// Records a retry or a hedged request that was sent.
    pub fn on_retry(&mut self, now: Time, limits: Option<RetryBudgetLimits>) {
        if let Some(limits) = limits {
            self.retries.push(now, 2.0 * limits.window);
        }
    }

    /// Returns how many further attempts are allowed now; [`f64::MAX`] without limits.
    ///
    /// Arrivals are counted over a window that is shorter by `margin` seconds, and further attempts over one
    /// that is longer by it, so that the budget also holds for an observer whose clock differs by up to
    /// `margin`.
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
