//! An experiment: a fleet, a load, faults by the clock, variants that are played in turn with the same draws, repeats.

use crate::fleet::{program, roster, write, Coordinator, Fleet, FleetSpec, Mood};
use crate::load::{arrivals, play, worth, End, Ended, Load, CLASSES, ONCE, WORTH};
use crate::report;
use crate::stats::{difference, mean, Estimate};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The file's form.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    #[serde(default = "three")]
    pub repeats: u64,
    #[serde(default)]
    pub seed: u64,
    pub fleet: FleetSpec,
    pub load: Load,
    #[serde(default)]
    pub fault: Vec<Fault>,
    pub variant: Vec<Variant>,
}

fn three() -> u64 {
    3
}

/// Something that befalls nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at: f64,
    pub nodes: Vec<usize>,
    /// What they do from then on: "well", "dead", "silent", "reset", "garbage", "refuse".
    pub mood: Option<Mood>,
    /// How many times as long they take from then on.
    pub slow: Option<f64>,
}

/// One way to run it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    pub name: String,
    /// Another program than the one beside this.
    pub program: Option<PathBuf>,
    /// More lines of the project's own file.
    #[serde(default)]
    pub own: String,
    /// New rosters on the way.
    #[serde(default)]
    pub roster: Vec<Change>,
}

/// A roster that is written at a moment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    pub at: f64,
    /// The first so many nodes; those that were not listed before have just started.
    pub nodes: usize,
    #[serde(default)]
    pub weights: Vec<f64>,
    /// The coordinator is ended and started on it, instead of reading it in service.
    #[serde(default)]
    pub restart: bool,
}

/// What one run brought.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    pub variant: String,
    pub repeat: u64,
    pub queries: usize,
    /// Worth answered over worth asked for, of all and by class.
    pub service: f64,
    pub by_class: [f64; 2],
    /// Served, refused, failed, silent.
    pub ends: [usize; 4],
    /// Parts sent for each query.
    pub attempts: f64,
    /// Milliseconds at these quantiles, of served ones.
    pub p50: f64,
    pub p99: f64,
    pub broken: Vec<String>,
    /// Service by class in each second of the run.
    #[serde(skip)]
    pub seconds: [Vec<f64>; 2],
}

/// What is written.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    pub name: String,
    pub runs: Vec<Run>,
    /// By variant: the mean service.
    pub service: BTreeMap<String, Estimate>,
    /// Each variant beside the first.
    pub differences: BTreeMap<String, Estimate>,
}

/// Reads and plays it; whether no rule was broken.
pub async fn run(path: &Path, out: &Path) -> Result<bool, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let experiment: Experiment =
        toml::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    if experiment.variant.is_empty() || experiment.repeats == 0 {
        return Err(format!(
            "{}: a [[variant]] and a repeat at least are needed",
            path.display()
        ));
    }
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let mut runs = Vec::new();
    for repeat in 0..experiment.repeats {
        for variant in &experiment.variant {
            let run = one(
                &experiment,
                variant,
                repeat,
                &out.join(format!("{}-{repeat}", variant.name)),
            )
            .await?;
            println!(
                "{:16} repeat {repeat}: service {:.3} ({} {:.3}, {} {:.3}), p50 {:.0} ms, p99 {:.0} ms, {:.2} parts a query, {} rules broken",
                run.variant, run.service, CLASSES[0], run.by_class[0], CLASSES[1], run.by_class[1], run.p50, run.p99, run.attempts, run.broken.len()
            );
            for broken in run.broken.iter().take(5) {
                println!("    {broken}");
            }
            runs.push(run);
        }
    }
    let of = |name: &str| -> Vec<f64> {
        runs.iter()
            .filter(|run| run.variant == name)
            .map(|run| run.service)
            .collect()
    };
    let first = of(&experiment.variant[0].name);
    let mut summary = Summary {
        name: experiment.name.clone(),
        runs: Vec::new(),
        service: BTreeMap::new(),
        differences: BTreeMap::new(),
    };
    for (at, variant) in experiment.variant.iter().enumerate() {
        let own = of(&variant.name);
        summary
            .service
            .extend(mean(&own).map(|estimate| (variant.name.clone(), estimate)));
        if at > 0 {
            summary
                .differences
                .extend(difference(&first, &own).map(|estimate| (variant.name.clone(), estimate)));
        }
    }
    summary.runs = runs;
    for (name, estimate) in &summary.differences {
        println!(
            "{}",
            report::sentence(&experiment.variant[0].name, name, estimate)
        );
    }
    report::write(&experiment, &summary, out)?;
    Ok(summary.runs.iter().all(|run| run.broken.is_empty()))
}

async fn one(
    experiment: &Experiment,
    variant: &Variant,
    repeat: u64,
    folder: &Path,
) -> Result<Run, String> {
    let seed = experiment.seed + repeat;
    let fleet = Fleet::start(experiment.fleet.clone(), seed).await?;
    let program = match &variant.program {
        Some(program) => program.clone(),
        None => program()?,
    };
    let nodes: Vec<usize> = (0..experiment.fleet.nodes).collect();
    let list = roster(&fleet, 1, &nodes, &[], &[]);
    let coordinator =
        Coordinator::start(&program, &fleet, folder, &list, &variant.own, None).await?;
    let start = Instant::now() + Duration::from_millis(200);
    for fault in experiment.fault.clone() {
        let fleet = fleet.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(start + Duration::from_secs_f64(fault.at)).await;
            for &node in &fault.nodes {
                if let Some(times) = fault.slow {
                    fleet.slow(node, times);
                }
                if let Some(mood) = fault.mood {
                    if let Err(cause) = fleet.set(node, mood).await {
                        eprintln!("fault: {cause}");
                    }
                }
            }
        });
    }
    let ended: Rc<RefCell<Vec<Ended>>> = Rc::default();
    let dues = arrivals(&experiment.load, experiment.fleet.shards, seed);
    let coordinator = Rc::new(RefCell::new(Some(coordinator)));
    for (number, change) in variant.roster.clone().into_iter().enumerate() {
        let (fleet, coordinator, program, own) = (
            fleet.clone(),
            coordinator.clone(),
            program.clone(),
            variant.own.clone(),
        );
        let before = variant.roster[..number]
            .last()
            .map_or(experiment.fleet.nodes, |change| change.nodes);
        let folder = folder.to_path_buf();
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(start + Duration::from_secs_f64(change.at)).await;
            let nodes: Vec<usize> = (0..change.nodes).collect();
            let fresh: Vec<usize> = (before..change.nodes).collect();
            fresh.iter().for_each(|&node| fleet.cold(node));
            let list = roster(&fleet, number as u64 + 2, &nodes, &fresh, &change.weights);
            let written = write(&folder.join("servers.toml"), &list);
            let running = if change.restart {
                coordinator.take()
            } else {
                None
            };
            let restarted = match running {
                Some(running) => {
                    let on = running.fronts;
                    running.stop().await;
                    let fresh =
                        Coordinator::start(&program, &fleet, &folder, &list, &own, Some(on)).await;
                    fresh.map(|fresh| drop(coordinator.replace(Some(fresh))))
                }
                None => Ok(()),
            };
            if let Err(cause) = written.and(restarted) {
                eprintln!("roster: {cause}");
            }
            let now = fleet.now();
            fleet
                .ledger
                .borrow_mut()
                .removed
                .extend((change.nodes..before).map(|node| (node, now)));
        });
    }
    let fronts = coordinator
        .borrow()
        .as_ref()
        .map(|c| c.fronts)
        .ok_or("no coordinator")?;
    play(dues, fronts, start, experiment.load.retries, ended.clone()).await;
    if let Some(coordinator) = coordinator.take() {
        coordinator.stop().await;
    }
    let ended = ended.borrow();
    let mut broken = fleet.ledger.borrow().broken(&ONCE);
    broken.extend(ended.iter().filter_map(|one| one.wrong.clone()));
    let silent = ended.iter().filter(|one| one.end == End::Silent).count();
    if silent > 0 {
        broken.push(format!(
            "{silent} queries had no answer, half a second after their clients' time at the latest"
        ));
    }
    Ok(result(
        variant,
        repeat,
        experiment.load.span,
        &ended,
        &fleet,
        broken,
    ))
}

fn result(
    variant: &Variant,
    repeat: u64,
    span: f64,
    ended: &[Ended],
    fleet: &Fleet,
    broken: Vec<String>,
) -> Run {
    let service = |of: &dyn Fn(&&Ended) -> bool| {
        let asked: f64 = ended.iter().filter(of).map(|one| WORTH[one.class]).sum();
        let earned: f64 = ended.iter().filter(of).map(worth).sum();
        if asked > 0.0 {
            earned / asked
        } else {
            1.0
        }
    };
    let mut seen = hdrhistogram::Histogram::<u64>::new_with_max(10_000_000, 3).ok();
    for one in ended.iter().filter(|one| one.end == End::Served) {
        if let Some(seen) = &mut seen {
            seen.saturating_record((one.took * 1e6) as u64);
        }
    }
    let quantile = |at: f64| {
        seen.as_ref()
            .map_or(0.0, |seen| seen.value_at_quantile(at) as f64 / 1000.0)
    };
    let count = |end: End| ended.iter().filter(|one| one.end == end).count();
    let second = |class: usize| -> Vec<f64> {
        let of = |at: usize| service(&|one: &&Ended| one.class == class && one.due as usize == at);
        (0..span.ceil() as usize).map(of).collect()
    };
    Run {
        variant: variant.name.clone(),
        repeat,
        queries: ended.len(),
        service: service(&|_| true),
        by_class: [
            service(&|one| one.class == 0),
            service(&|one| one.class == 1),
        ],
        ends: [
            count(End::Served),
            count(End::Refused),
            count(End::Failed) + count(End::Late) + count(End::Cut),
            count(End::Silent),
        ],
        attempts: fleet.ledger.borrow().arrivals.len() as f64 / ended.len().max(1) as f64,
        p50: quantile(0.5),
        p99: quantile(0.99),
        broken,
        seconds: [second(0), second(1)],
    }
}
