//! The stated limit on attempts beyond each part's first, counted.

use crate::Window;
use cairnroad_types::{RetryBudgetLimits, Time};

/// What was taken and what was sent again within the limit's window. Where no limit is stated nobody counts, and
/// nothing piles up.
#[derive(Default)]
pub struct Budget {
    taken: Window,
    further: Window,
}

impl Budget {
    /// A query or a part was taken.
    pub fn took(&mut self, now: Time, stated: Option<RetryBudgetLimits>) {
        if let Some(stated) = stated {
            self.taken.push(now, stated.window);
        }
    }

    /// A part was sent again.
    pub fn repeated(&mut self, now: Time, stated: Option<RetryBudgetLimits>) {
        if let Some(stated) = stated {
            self.further.push(now, 2.0 * stated.window);
        }
    }

    /// Further attempts that are allowed now, whoever's clock is off by `margin` seconds.
    pub fn left(&self, now: Time, stated: Option<RetryBudgetLimits>, margin: f64) -> f64 {
        let Some(stated) = stated else {
            return f64::MAX;
        };
        stated.always_allowed
            + stated.share_of_arrivals * self.taken.count(now, stated.window - margin)
            - self.further.count(now, stated.window + margin)
    }
}

#[cfg(test)]
mod tests;
