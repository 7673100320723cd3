//! Settings of one deployment: classes of query, limits and capacities.

use crate::Seconds;

/// Whether the parts of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A part may be repeated at any time.
    Idempotent,
    /// A part may be repeated within the class's [`dedup_window`](Class::dedup_window), in which servers
    /// recognize and drop the repeat.
    IdempotentWithKey,
    /// A part must run at most once.
    AtMostOnce,
}

/// Settings of one class of query.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Time within which an answer earns the full priority weight.
    pub latency_objective: Seconds,
    /// Seconds added to the latency objective for each second of expected work.
    pub objective_per_work: f64,
    /// Longest time for which a client waits, its own retries included.
    pub deadline: Seconds,
    /// Value of a complete answer in time, relative to the other classes.
    pub priority_weight: f64,
    /// Share of the priority weight that an answer after the latency objective earns, from 0 to 1.
    pub late_answer_share: f64,
    /// Whether the parts of a query may run more than once.
    pub idempotency: Idempotency,
    /// Time for which servers recognize and drop repeats of a part with an idempotency key.
    pub dedup_window: Seconds,
    /// Share of the first step's weight that must be answered for a complete answer.
    pub complete_threshold: f64,
    /// Share of a step's weight that must be answered for a partial answer.
    pub minimum_share: f64,
    /// Share of the priority weight that a partial answer earns at `complete_threshold`; it earns
    /// proportionally less below.
    pub partial_answer_share: f64,
    /// Number of parts of the second step; 0 if the class has no second step.
    pub second_step_parts: u32,
}

/// Shares of the weight of a query's step that must be answered for each kind of answer, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletionThresholds {
    /// Lowest share of a complete answer.
    pub complete: f64,
    /// Lowest share of a partial answer.
    pub minimum: f64,
}

impl Class {
    /// Returns the latency objective of a query, given its expected work in seconds if that is known.
    ///
    /// The objective is never longer than the class's deadline.
    pub fn latency_objective_for(&self, expected_work: Option<Seconds>) -> Seconds {
        let work = expected_work
            .filter(|work| work.is_finite())
            .unwrap_or(0.0)
            .max(0.0);
        (self.latency_objective + self.objective_per_work * work).min(self.deadline)
    }

    /// Returns the thresholds of a query's first or second step.
    ///
    /// A complete second step needs all of its parts. A partial one is possible only if the class allows
    /// partial answers.
    pub fn completion_thresholds(&self, is_second_step: bool) -> CompletionThresholds {
        let allows_partial = self.minimum_share < self.complete_threshold;
        match (is_second_step, allows_partial) {
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

/// Limit on the attempts beyond each part's first: retries and hedged requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetLimits {
    /// Number of further attempts within the window that need no arrivals.
    pub always_allowed: f64,
    /// Number of further attempts that each query or part arriving within the window adds.
    pub share_of_arrivals: f64,
    /// Length of the window in which arrivals and further attempts are counted.
    pub window: Seconds,
}

/// Settings of one deployment.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Classes of query; a [`ClassId`](crate::ClassId) is an index into them.
    pub classes: Vec<Class>,
    /// Number of coordinators in the deployment.
    pub coordinator_count: u32,
    /// Number of cells. Shard `s` is held by the cells `s` to `s + cells_per_shard - 1`, modulo this number.
    pub cells: u32,
    /// Number of consecutive cells that hold a shard.
    pub cells_per_shard: u32,
    /// Largest number of parts in one call to a server.
    pub max_parts_per_call: u32,
    /// Shortest time between two calls of the router.
    pub tick: Seconds,
    /// Largest number of attempts of a part, the first included.
    pub max_attempts: u32,
    /// Index in a load report of the server's number of requests in flight; `None` if the deployment allows no
    /// health checks.
    pub in_flight_report_index: Option<usize>,
    /// Whether attempts in flight may be cancelled.
    pub cancellation_enabled: bool,
    /// Whether parts may be hedged, that is, have two attempts in flight at once.
    pub hedging_enabled: bool,
    /// Longest retry-after advice that clients follow; `None` if none is passed on to them.
    pub max_retry_after: Option<Seconds>,
    /// Longest time between two polls for the endpoint list; `None` if updates are pushed.
    pub max_poll_interval: Option<Seconds>,
    /// Time within which a coordinator must stop sending to a server that is draining or removed.
    pub drain_grace: Seconds,
    /// Share of its full capacity that a server has at its start, at least.
    pub slow_start_share: f64,
    /// Time from its start after which a server has its full capacity, at the latest.
    pub slow_start_duration: Seconds,
    /// Multiple of its current capacity that overloads a server in slow start.
    pub overload_multiple: f64,
    /// Time for which a server must be sent `overload_multiple` to be overloaded.
    pub overload_window: Seconds,
    /// Limit on retries and hedged requests; `None` if there is no limit.
    pub retry_budget: Option<RetryBudgetLimits>,
}
