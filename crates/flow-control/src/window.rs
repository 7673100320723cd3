//! Counting what happened lately.

use cairnroad_types::Time;
use std::collections::VecDeque;

/// Moments within a sliding window.
#[derive(Default)]
pub struct Window(VecDeque<Time>);

impl Window {
    /// Notes a moment; those older than `span` seconds, the longest that is asked for, are dropped.
    pub fn push(&mut self, now: Time, span: f64) {
        self.0
            .drain(..self.0.partition_point(|&at| now - at > span));
        self.0.push_back(now);
    }
    /// How many lie within the last `span` seconds.
    pub fn count(&self, now: Time, span: f64) -> f64 {
        (self.0.len() - self.0.partition_point(|&at| now - at > span)) as f64
    }
}
