//! Summarizes the runs of an experiment.

use super::definition::{Experiment, Variant};
use crate::statistics::{bootstrap_mean, paired_difference, Estimate};
use crate::workload::{earned_value, Ending, QueryOutcome, CLASS_COUNT, PRIORITY_WEIGHTS};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Upper end of the latency histogram, in microseconds; longer latencies are recorded as this one.
const MAX_LATENCY_MICROSECONDS: u64 = 10_000_000;
/// Significant decimal digits of the latency histogram.
const LATENCY_DIGITS: u8 = 3;

/// The result of one run of a variant.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// Name of the variant.
    pub variant: String,
    /// Number of the repeat, from 0.
    pub repeat: u64,
    /// Number of queries.
    pub queries: usize,
    /// Earned value divided by the total priority weight of all queries.
    pub service: f64,
    /// Service by class.
    pub by_class: [f64; CLASS_COUNT],
    /// Numbers of queries that were served, rejected, failed and unanswered.
    #[serde(rename = "ends")]
    pub endings: [usize; 4],
    /// Mean number of parts that reached nodes per query.
    #[serde(rename = "attempts")]
    pub parts_per_query: f64,
    /// Median latency of served queries in milliseconds.
    #[serde(rename = "p50")]
    pub p50_ms: f64,
    /// 99th percentile of the latency of served queries in milliseconds.
    #[serde(rename = "p99")]
    pub p99_ms: f64,
    /// Descriptions of all violations.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// Service by class in each second of the run.
    #[serde(skip)]
    pub service_by_second: [Vec<f64>; CLASS_COUNT],
}

impl RunResult {
    /// Summarizes the outcomes of a run. `span` is the length of the run in seconds, `parts` the number of parts that
    /// reached nodes.
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

/// Returns the earned value divided by the total priority weight, over the included outcomes; 1 if there are none.
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

/// The summary of an experiment, as written to `summary.json`.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Name of the experiment.
    pub name: String,
    /// The results of all runs, in the order of play.
    pub runs: Vec<RunResult>,
    /// The mean service by variant.
    pub service: BTreeMap<String, Estimate>,
    /// The difference in service from the first variant, by variant.
    pub differences: BTreeMap<String, Estimate>,
}

impl Summary {
    /// Summarizes the runs of an experiment and compares its variants.
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
