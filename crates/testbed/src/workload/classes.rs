//! The brief's two classes: a search over many shards that may run twice and may be answered in part, and a confirm
//! over one or two shards that may not.

/// Number of classes.
pub const CLASS_COUNT: usize = 2;
/// The classes' names.
pub const CLASSES: [&str; CLASS_COUNT] = ["stock-search", "pick-confirm"];
/// The classes' `effect` in the coordinator's settings.
pub const IDEMPOTENCY: [&str; CLASS_COUNT] = ["idempotent", "at_most_once"];
/// Whether a class's parts may run once only.
pub const AT_MOST_ONCE: [bool; CLASS_COUNT] = [false, true];
/// Seconds within which an answer earns its full priority weight.
pub const LATENCY_OBJECTIVE: f64 = 1.0;
/// Seconds after which a client gives up.
pub const DEADLINES: [f64; CLASS_COUNT] = [2.0, 2.5];
/// What an answer in time is worth.
pub const PRIORITY_WEIGHTS: [f64; CLASS_COUNT] = [3.0, 1.0];
/// Share of that which an answer between the latency objective and the deadline earns.
pub const LATE_ANSWER_SHARE: f64 = 0.3;
/// Least share of a search's parts in any answer.
pub const SEARCH_MINIMUM_SHARE: f64 = 0.8;
