//! Constants that several decisions share.
//!
//! A constant that one decision uses alone stands in that decision's module.

/// A part's hedged request is sent after this share of its class's latency objective: the design's default.
pub(crate) const HEDGE_DELAY_SHARE: f64 = 0.5;

/// Slowness ratio above which a server is an outlier.
pub(crate) const OUTLIER_RATIO: f64 = 3.0;

/// The highest slowness ratio that is remembered, and the ratio that an error counts for: about two good
/// trial parts restore a server.
pub(crate) const MAX_SLOWNESS_RATIO: f64 = 8.0;

/// Weight of one answer in its class's typical latency, which thus covers about the last thirty.
pub(crate) const TYPICAL_LATENCY_GAIN: f64 = 0.03;

/// Floor for latencies that are divided by, in seconds.
pub(crate) const MIN_LATENCY: f64 = 1e-6;

/// Tolerance when shares of weights are compared with thresholds: half of the least weight that clients write.
pub(crate) const WEIGHT_TOLERANCE: f64 = 5e-7;

/// The recent span, in multiples of the longest latency objective: the lives of several queries, yet short.
pub(crate) const RECENT_OBJECTIVES: f64 = 5.0;

/// The long recent span, in multiples of the recent span. A coordinator with little traffic sends few parts
/// within a few objectives, and an unreachable zone holds a third of one query's parts.
pub(crate) const LONG_SPAN_FACTOR: f64 = 10.0;

/// Deadlines are kept this many ticks early, so that a late tick still meets them.
pub(crate) const DEADLINE_MARGIN_TICKS: f64 = 3.0;

/// The span over which a warm server's throughput is counted, in multiples of the slow-start duration.
pub(crate) const THROUGHPUT_SPAN_RAMPS: f64 = 0.5;
