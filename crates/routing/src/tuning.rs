//! Constants that several decisions share.
//!
//! A constant that only one decision uses is defined in that decision's module.

/// Delay of a part's hedged request, as a share of its class's latency objective. This is the design's default.
pub(crate) const HEDGE_DELAY_SHARE: f64 = 0.5;

/// Slowness ratio above which a server is an outlier.
pub(crate) const OUTLIER_RATIO: f64 = 3.0;

/// Upper limit of a server's slowness ratio, and the ratio that an error counts as. From this value, about two
/// trial parts with typical latency return a server to rotation.
pub(crate) const MAX_SLOWNESS_RATIO: f64 = 8.0;

/// Weight of one answer in its class's typical latency, which thus covers about the last 30 answers.
pub(crate) const TYPICAL_LATENCY_GAIN: f64 = 0.03;

/// Lower limit of latencies that are used as divisors, in seconds.
pub(crate) const MIN_LATENCY: f64 = 1e-6;

/// Tolerance when shares of weights are compared with thresholds: half of the smallest weight that clients
/// can write.
pub(crate) const WEIGHT_TOLERANCE: f64 = 5e-7;

/// Length of the recent window, in multiples of the longest latency objective: short, but longer than the
/// lifetime of several successive queries.
pub(crate) const RECENT_WINDOW_OBJECTIVES: f64 = 5.0;

/// Length of the long recent window, in multiples of the recent window. A coordinator with little traffic
/// sends few parts within a few objectives, and an unreachable zone holds up a third of the parts of one
/// query.
pub(crate) const LONG_WINDOW_FACTOR: f64 = 10.0;

/// Margin before deadlines in ticks, so that a late tick still meets them.
pub(crate) const DEADLINE_MARGIN_TICKS: f64 = 3.0;

/// Length of the window over which a warm server's throughput is counted, in multiples of the slow-start
/// duration.
pub(crate) const THROUGHPUT_WINDOW_SLOW_STARTS: f64 = 0.5;
