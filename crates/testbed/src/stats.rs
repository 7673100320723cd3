//! Differences with their uncertainty.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

/// How often the repeats are drawn anew.
const DRAWS: usize = 4_000;

/// A mean with the interval that holds it in 95 of 100.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
}

impl Estimate {
    /// Whether it may as well be nothing.
    pub fn is_noise(&self) -> bool {
        self.low <= 0.0 && self.high >= 0.0
    }
}

/// The mean of some values, by drawing them anew from a fixed seed. Fewer than three say nothing of their spread.
pub fn mean(values: &[f64]) -> Option<Estimate> {
    if values.is_empty() {
        return None;
    }
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    if values.len() < 3 {
        return Some(Estimate {
            mean,
            low: f64::NEG_INFINITY,
            high: f64::INFINITY,
        });
    }
    let mut rng = StdRng::seed_from_u64(0x5eed);
    let one = |_| {
        (0..values.len())
            .map(|_| values[rng.random_range(0..values.len())])
            .sum::<f64>()
            / values.len() as f64
    };
    let mut means: Vec<f64> = (0..DRAWS).map(one).collect();
    means.sort_by(f64::total_cmp);
    // Few repeats understate the spread; Student's quantile over the normal's widens it.
    let widen = [12.7, 4.3, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26]
        .get(values.len() - 2)
        .map_or(1.0, |t| t / 1.96);
    let (low, high) = (means[DRAWS / 40], means[DRAWS - 1 - DRAWS / 40]);
    Some(Estimate {
        mean,
        low: mean - (mean - low) * widen,
        high: mean + (high - mean) * widen,
    })
}

/// The difference between two variants, repeat by repeat: each repeat gave both the same load and faults.
pub fn difference(a: &[f64], b: &[f64]) -> Option<Estimate> {
    let pairs: Vec<f64> = a.iter().zip(b).map(|(a, b)| b - a).collect();
    mean(&pairs)
}

#[cfg(test)]
mod tests;
