//! Draws the arrivals of queries in advance.

use super::Workload;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};

/// Minimum arrival rate, in queries per second; the exponential distribution needs a rate above 0.
const MIN_RATE: f64 = 1e-6;

/// A scheduled query.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryArrival {
    /// Time at which the query is due, in seconds since the start of the run.
    pub due_at: f64,
    /// Number of the query, from 1.
    pub query: u64,
    /// Index of the query's class.
    pub class: usize,
    /// The shards that the query needs.
    pub shards: Vec<u32>,
    /// Whether the query is sent to the query front instead of the platform front.
    pub query_front: bool,
}

/// Draws all arrivals of a workload. Equal seeds give equal arrivals.
pub fn arrivals(workload: &Workload, shards: u32, seed: u64) -> Vec<QueryArrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut due_at = 0.0;
    loop {
        // Can't fail, because the rate is above 0.
        let Ok(gap) = Exp::new(rate_at(workload, due_at).max(MIN_RATE)) else {
            return arrivals;
        };
        due_at += gap.sample(&mut rng);
        if due_at >= workload.span {
            return arrivals;
        }
        let query = arrivals.len() as u64 + 1;
        arrivals.push(draw_query(workload, shards, due_at, query, &mut rng));
    }
}

fn rate_at(workload: &Workload, at: f64) -> f64 {
    let bursts = workload.burst.iter();
    let active = bursts.filter(|burst| (burst.at..burst.at + burst.lasts).contains(&at));
    workload.rate * active.map(|burst| burst.times).fold(1.0, f64::max)
}

fn draw_query(
    workload: &Workload,
    shards: u32,
    due_at: f64,
    query: u64,
    rng: &mut StdRng,
) -> QueryArrival {
    let class = usize::from(rng.random::<bool>());
    let wanted = if class == 0 {
        (shards * 3 / 5).max(1)
    } else {
        1 + u32::from(rng.random::<bool>())
    };
    let count = wanted.min(shards);
    let first = rng.random_range(0..shards);
    let query_front = rng.random::<f64>() < workload.query_front;
    QueryArrival {
        due_at,
        query,
        class,
        shards: (0..count).map(|step| (first + step) % shards).collect(),
        query_front,
    }
}
