//! Estimates means and differences with 95 % confidence intervals.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

/// Number of bootstrap resamples.
const RESAMPLES: usize = 4_000;
/// Seed of the resampling, fixed so that the same values give the same interval.
const RESAMPLING_SEED: u64 = 0x5eed;
/// Minimum number of values for a finite interval; fewer don't show the spread.
const MIN_VALUES: usize = 3;
/// The 97.5 % quantiles of Student's t-distribution for 1, 2, 3, … degrees of freedom (the number of values minus one).
const STUDENT_QUANTILES: [f64; 9] = [12.7, 4.3, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26];
/// The 97.5 % quantile of the standard normal distribution.
const NORMAL_QUANTILE: f64 = 1.96;

/// A mean with its 95 % confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// The mean of the values.
    pub mean: f64,
    /// Lower end of the interval; negative infinity for too few values.
    pub low: f64,
    /// Upper end of the interval; infinity for too few values.
    pub high: f64,
}

impl Estimate {
    /// Returns whether the interval contains 0, so that the mean can't be distinguished from no difference.
    pub fn is_noise(&self) -> bool {
        self.low <= 0.0 && self.high >= 0.0
    }
}

/// Estimates the mean of the values by bootstrap resampling; `None` if there are no values.
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
    // The bootstrap understates the spread of few values. Widen the interval by the ratio of Student's quantile to the
    // normal quantile.
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

/// Estimates the mean difference, `second` minus `first`, between two variants over their repeats.
///
/// Values are paired by repeat, because each repeat plays both variants with the same load and faults.
pub fn paired_difference(first: &[f64], second: &[f64]) -> Option<Estimate> {
    let pairs = first.iter().zip(second);
    let differences: Vec<f64> = pairs.map(|(first, second)| second - first).collect();
    bootstrap_mean(&differences)
}

#[cfg(test)]
mod tests;
