//! The brief's two classes: a search over many shards that may run twice and may be answered in part, and a confirm
//! over one or two shards that may not. A scenario may make confirms keyed: then a part may be sent again under the
//! query's idempotency key, and data nodes drop the repeat.

use crate::run_log::RepeatRule;

/// Number of classes.
pub const CLASS_COUNT: usize = 2;
/// The classes' names.
pub const CLASSES: [&str; CLASS_COUNT] = ["stock-search", "pick-confirm"];
/// Index of the class of confirms.
pub const CONFIRM_CLASS: usize = 1;
/// Time for which data nodes drop a repeated part of a keyed class, in seconds.
pub const DEDUP_WINDOW: f64 = 5.0;
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

/// What happens if a part of a confirm is sent twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConfirmEffect {
    /// The part would run twice, so it must not be sent again once it may have run.
    #[default]
    AtMostOnce,
    /// Data nodes drop the repeat by the query's idempotency key.
    Keyed,
}

impl ConfirmEffect {
    /// Returns the classes' `effect` in the coordinator's settings.
    pub fn settings(self) -> [&'static str; CLASS_COUNT] {
        match self {
            ConfirmEffect::AtMostOnce => ["idempotent", "at_most_once"],
            ConfirmEffect::Keyed => ["idempotent", "deduplicated"],
        }
    }

    /// Returns the classes' rules for repeated parts.
    pub fn repeat_rules(self) -> [RepeatRule; CLASS_COUNT] {
        match self {
            ConfirmEffect::AtMostOnce => [RepeatRule::Allowed, RepeatRule::Forbidden],
            ConfirmEffect::Keyed => [RepeatRule::Allowed, RepeatRule::DroppedByKey],
        }
    }

    /// Returns the idempotency key with which a client sends a query, the same for all its tries; `None` if the query's
    /// class has no keys.
    pub fn idempotency_key(self, class: usize, query: u64) -> Option<String> {
        let is_keyed = self == ConfirmEffect::Keyed && class == CONFIRM_CLASS;
        is_keyed.then(|| format!("{query:032x}"))
    }
}
