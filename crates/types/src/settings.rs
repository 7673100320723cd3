//! What one deployment states: classes of query, limits and capacities.

use crate::Seconds;

/// Whether a part may run a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated at will.
    Idempotent,
    /// Servers drop repeats within the class's [`dedup_window`](Class::dedup_window).
    IdempotentWithKey,
    /// It must run once at most.
    AtMostOnce,
}

/// One class of query.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full priority weight.
    pub latency_objective: Seconds,
    /// Further seconds of latency objective for each second of expected work.
    pub objective_per_work: f64,
    /// The longest that a client waits over all its tries.
    pub deadline: Seconds,
    /// What a complete answer in time is worth, relative to the other classes.
    pub priority_weight: f64,
    /// Share of the priority weight that a late answer earns.
    pub late_answer_share: f64,
    /// Whether its parts may run twice.
    pub idempotency: Idempotency,
    /// How long servers drop repeats of a part with an idempotency key.
    pub dedup_window: Seconds,
    /// Share of the first step's weight that makes an answer complete.
    pub complete_threshold: f64,
    /// Least share for any answer.
    pub minimum_share: f64,
    /// Share of the priority weight that a partial answer earns, times its share over `complete_threshold`.
    pub partial_answer_share: f64,
    /// Parts of the second step; 0 where there is none.
    pub second_step_parts: u32,
}

/// The shares of weight that one step of a query needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletionThresholds {
    /// Least share of a complete answer.
    pub complete: f64,
    /// Least share of any answer.
    pub minimum: f64,
}

impl Class {
    /// Returns the latency objective of a query with this much expected work, where that is known.
    pub fn latency_objective_for(&self, work: Option<Seconds>) -> Seconds {
        let work = work.filter(|work| work.is_finite()).unwrap_or(0.0).max(0.0);
        (self.latency_objective + self.objective_per_work * work).min(self.deadline)
    }

    /// Returns the thresholds of one of a query's two steps.
    ///
    /// The second step needs all of its parts, unless the class allows partial answers.
    pub fn completion_thresholds(&self, second_step: bool) -> CompletionThresholds {
        let allows_partial = self.minimum_share < self.complete_threshold;
        match (second_step, allows_partial) {
            (false, _) => CompletionThresholds {
                complete: self.complete_threshold,
                minimum: self.minimum_share.min(self.complete_threshold),
            },
            (true, true) => CompletionThresholds {
                complete: 1.0,
                minimum: self.minimum_share,
            },
            (true, false) => CompletionThresholds {
                complete: 1.0,
                minimum: 1.0,
            },
        }
    }
}

/// A stated limit on attempts beyond each part's first.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetLimits {
    /// Further attempts that are always allowed within the window.
    pub always_allowed: f64,
    /// Further attempts earned by each query or part that arrived in the window.
    pub share_of_arrivals: f64,
    /// Length of the window.
    pub window: Seconds,
}

/// The facts of one deployment.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Classes of query.
    pub classes: Vec<Class>,
    /// Number of coordinators in the deployment.
    pub coordinator_count: u32,
    /// Number of cells; shard s is held by cells s to s + `cells_per_shard` - 1, modulo this.
    pub cells: u32,
    /// Cells in a row that hold a shard.
    pub cells_per_shard: u32,
    /// Most parts that one call to a server may carry.
    pub max_parts_per_call: u32,
    /// Shortest time between two calls of the router.
    pub tick: Seconds,
    /// Most attempts for a part.
    pub max_attempts: u32,
    /// Which value of a load report is the count of requests that the server holds; `None` where servers may
    /// not be checked.
    pub in_flight_report_index: Option<usize>,
    /// Whether an attempt may be cancelled.
    pub cancellation_enabled: bool,
    /// Whether a part may have two attempts in flight at once.
    pub hedging_enabled: bool,
    /// The longest retry-after advice that clients heed; `None` where none is passed on.
    pub max_retry_after: Option<Seconds>,
    /// Where lists come only on request: longest time without a poll.
    pub max_poll_interval: Option<Seconds>,
    /// Time within which sends to a draining or removed server must end.
    pub drain_grace: Seconds,
    /// Capacity share at which a server starts, at least.
    pub slow_start_share: f64,
    /// Time after which a started server has warmed up, at the latest.
    pub slow_start_duration: Seconds,
    /// Multiple of its present capacity that overloads a server in slow start.
    pub overload_multiple: f64,
    /// How long that multiple has to be kept up to do so.
    pub overload_window: Seconds,
    /// The stated limit on further attempts, if any.
    pub retry_budget: Option<RetryBudgetLimits>,
}
