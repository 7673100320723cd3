//! The brief's two classes: a search over many shards that may run twice and may be answered in part, and a confirm
//! over one or two shards that may not.

/// Number of classes.
pub const CLASS_COUNT: usize = 2;
/// The classes' names.
pub const CLASSES: [&str; CLASS_COUNT] = ["stock-search", "pick-confirm"];
/// The classes' `effect` in the coordinator's settings.
pub const IDEMPOTENCY: [&str; CLASS_COUNT] = ["idempotent", "at_most_once"];
/// Whether each part of a class may run only once.
pub const AT_MOST_ONCE: [bool; CLASS_COUNT] = [false, true];
/// Seconds within which an answer earns its full priority weight.
pub const LATENCY_OBJECTIVE: f64 = 1.0;
/// Seconds from the due time of a query to its deadline, by class.
pub const DEADLINES: [f64; CLASS_COUNT] = [2.0, 2.5];
/// Value of an answer within the latency objective, by class.
pub const PRIORITY_WEIGHTS: [f64; CLASS_COUNT] = [3.0, 1.0];
/// Share of the priority weight that an answer between the latency objective and the deadline earns.
pub const LATE_ANSWER_SHARE: f64 = 0.3;
/// Minimum share of a search's parts in an answer.
pub const SEARCH_MINIMUM_SHARE: f64 = 0.8;
