//! Means and differences with their uncertainty.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

/// How often the values are resampled.
const RESAMPLES: usize = 4_000;
/// Seed of the resampling: the same values give the same interval.
const RESAMPLING_SEED: u64 = 0x5eed;
/// Fewer values say nothing of their spread.
const MIN_VALUES: usize = 3;
/// Student's 97.5 % quantile for 1, 2, 3, … degrees of freedom: one less than the number of values.
const STUDENT_QUANTILES: [f64; 9] = [12.7, 4.3, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26];
/// The normal distribution's 97.5 % quantile.
const NORMAL_QUANTILE: f64 = 1.96;

/// A mean with the interval that holds it in 95 of 100 cases.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// The interval's lower end.
    pub low: f64,
    /// The interval's upper end.
    pub high: f64,
}

impl Estimate {
    /// Returns whether the interval holds 0.
    pub fn is_noise(&self) -> bool {
        self.low <= 0.0 && self.high >= 0.0
    }
}

/// Estimates the mean of some values by resampling them (bootstrap), or `None` if there are none.
pub fn bootstrap_mean(values: &[f64]) -> Option<Estimate> {
    if values.is_empty() {
        return None;
    }
    let count = values.len();
    let mean = values.iter().sum::<f64>() / count as f64;
    if count < MIN_VALUES {
        return Some(Estimate {
            mean,
            low: f64::NEG_INFINITY,
            high: f64::INFINITY,
        });
    }
    let mut rng = StdRng::seed_from_u64(RESAMPLING_SEED);
    let resampled_mean = |_| {
        let sum: f64 = (0..count).map(|_| values[rng.random_range(0..count)]).sum();
        sum / count as f64
    };
    let mut means: Vec<f64> = (0..RESAMPLES).map(resampled_mean).collect();
    means.sort_by(f64::total_cmp);
    // Few values understate the spread; Student's quantile over the normal's widens it.
    let widening = STUDENT_QUANTILES
        .get(count - 2)
        .map_or(1.0, |quantile| quantile / NORMAL_QUANTILE);
    let tail = RESAMPLES / 40;
    let low = means[tail];
    let high = means[RESAMPLES - 1 - tail];
    Some(Estimate {
        mean,
        low: mean - (mean - low) * widening,
        high: mean + (high - mean) * widening,
    })
}

/// Estimates the difference between two variants, repeat by repeat: each repeat gave both the same load and faults.
pub fn paired_difference(first: &[f64], second: &[f64]) -> Option<Estimate> {
    let pairs = first.iter().zip(second);
    let differences: Vec<f64> = pairs.map(|(first, second)| second - first).collect();
    bootstrap_mean(&differences)
}

#[cfg(test)]
mod tests;
