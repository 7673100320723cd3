//! What an experiment's runs showed.

use super::definition::{Experiment, Variant};
use crate::statistics::{bootstrap_mean, paired_difference, Estimate};
use crate::workload::{earned_value, Ending, QueryOutcome, CLASS_COUNT, PRIORITY_WEIGHTS};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// The longest latency that is told apart, in microseconds.
const MAX_LATENCY_MICROSECONDS: u64 = 10_000_000;
/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 3;

/// What one run of a variant showed.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// The variant's name.
    pub variant: String,
    /// Which repeat, from 0.
    pub repeat: u64,
    /// Queries asked.
    pub queries: usize,
    /// Value earned over value asked for.
    pub service: f64,
    /// The same by class.
    pub by_class: [f64; CLASS_COUNT],
    /// Queries served, rejected, failed and unanswered.
    #[serde(rename = "ends")]
    pub endings: [usize; 4],
    /// Parts that reached nodes for each query.
    #[serde(rename = "attempts")]
    pub parts_per_query: f64,
    /// Median latency of served queries in milliseconds.
    #[serde(rename = "p50")]
    pub p50_ms: f64,
    /// Its 99th percentile.
    #[serde(rename = "p99")]
    pub p99_ms: f64,
    /// Rules that were broken, in words.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// Service by class in each second of the run.
    #[serde(skip)]
    pub service_by_second: [Vec<f64>; CLASS_COUNT],
}

impl RunResult {
    /// Adds a run's outcomes up. `span`: the run's length in seconds; `parts`: parts that reached nodes.
    pub fn new(
        variant: &Variant,
        repeat: u64,
        span: f64,
        outcomes: &[QueryOutcome],
        parts: usize,
        violations: Vec<String>,
    ) -> RunResult {
        let latencies = served_latencies(outcomes);
        let count = |ending: Ending| {
            let matching = outcomes.iter().filter(|outcome| outcome.ending == ending);
            matching.count()
        };
        let failed = count(Ending::Failed) + count(Ending::Late) + count(Ending::Disconnected);
        RunResult {
            variant: variant.name.clone(),
            repeat,
            queries: outcomes.len(),
            service: service(outcomes, |_| true),
            by_class: [0, 1].map(|class| service(outcomes, |outcome| outcome.class == class)),
            endings: [
                count(Ending::Served),
                count(Ending::Rejected),
                failed,
                count(Ending::Unanswered),
            ],
            parts_per_query: parts as f64 / outcomes.len().max(1) as f64,
            p50_ms: quantile_ms(latencies.as_ref(), 0.5),
            p99_ms: quantile_ms(latencies.as_ref(), 0.99),
            violations,
            service_by_second: [0, 1].map(|class| service_by_second(outcomes, span, class)),
        }
    }
}

/// Returns the value earned over the value asked for, of the outcomes that are included.
fn service(outcomes: &[QueryOutcome], included: impl Fn(&QueryOutcome) -> bool) -> f64 {
    let included: Vec<&QueryOutcome> = outcomes.iter().filter(|one| included(one)).collect();
    let asked: f64 = included.iter().map(|one| PRIORITY_WEIGHTS[one.class]).sum();
    let earned: f64 = included.iter().map(|one| earned_value(one)).sum();
    if asked > 0.0 {
        earned / asked
    } else {
        1.0
    }
}

fn service_by_second(outcomes: &[QueryOutcome], span: f64, class: usize) -> Vec<f64> {
    let in_second = |second: usize| {
        service(outcomes, |outcome| {
            outcome.class == class && outcome.due_at as usize == second
        })
    };
    (0..span.ceil() as usize).map(in_second).collect()
}

fn served_latencies(outcomes: &[QueryOutcome]) -> Option<Histogram<u64>> {
    let mut latencies =
        Histogram::<u64>::new_with_max(MAX_LATENCY_MICROSECONDS, LATENCY_DIGITS).ok()?;
    let served = outcomes.iter().filter(|one| one.ending == Ending::Served);
    for outcome in served {
        latencies.saturating_record((outcome.latency * 1e6) as u64);
    }
    Some(latencies)
}

fn quantile_ms(latencies: Option<&Histogram<u64>>, quantile: f64) -> f64 {
    latencies.map_or(0.0, |latencies| {
        latencies.value_at_quantile(quantile) as f64 / 1000.0
    })
}

/// What is written of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// The experiment's name.
    pub name: String,
    /// All runs.
    pub runs: Vec<RunResult>,
    /// By variant: the mean service.
    pub service: BTreeMap<String, Estimate>,
    /// Each variant compared with the first.
    pub differences: BTreeMap<String, Estimate>,
}

impl Summary {
    /// Compares an experiment's runs.
    pub fn new(experiment: &Experiment, runs: Vec<RunResult>) -> Summary {
        let services = |name: &str| -> Vec<f64> {
            let of_variant = runs.iter().filter(|run| run.variant == name);
            of_variant.map(|run| run.service).collect()
        };
        let first = services(&experiment.variant[0].name);
        let mut service = BTreeMap::new();
        let mut differences = BTreeMap::new();
        for (index, variant) in experiment.variant.iter().enumerate() {
            let own = services(&variant.name);
            let mean = bootstrap_mean(&own);
            service.extend(mean.map(|estimate| (variant.name.clone(), estimate)));
            if index > 0 {
                let difference = paired_difference(&first, &own);
                differences.extend(difference.map(|estimate| (variant.name.clone(), estimate)));
            }
        }
        Summary {
            name: experiment.name.clone(),
            runs,
            service,
            differences,
        }
    }
}
