//! Runs one variant: starts a fleet and a coordinator, applies timed faults and endpoint lists, and plays the clients.

use super::definition::{EndpointListChange, Experiment, NodeFault, Variant};
use super::summary::RunResult;
use crate::coordinator_process::{
    coordinator_program, fleet_endpoint_list, Coordinator, CoordinatorOptions,
};
use crate::deployment::write_atomically;
use crate::error::TestbedError;
use crate::fleet::Fleet;
use crate::workload::{
    arrivals, play, ClientOptions, ConfirmEffect, Ending, QueryOutcome, LISTEN_AFTER_DEADLINE,
};
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Delay between the coordinator's readiness and the start of the run.
const START_DELAY: Duration = Duration::from_millis(200);

/// The state that the tasks of one run share.
struct VariantRun {
    fleet: Rc<Fleet>,
    program: PathBuf,
    folder: PathBuf,
    project_settings: String,
    start: Instant,
    coordinator: RefCell<Option<Coordinator>>,
}

/// Plays one repeat of a variant. The coordinator's settings and log are written to `folder`.
pub async fn play_variant(
    experiment: &Experiment,
    variant: &Variant,
    repeat: u64,
    folder: &Path,
) -> Result<RunResult, TestbedError> {
    let seed = experiment.seed + repeat;
    let run = Rc::new(VariantRun::start(experiment, variant, seed, folder).await?);
    for fault in experiment.fault.clone() {
        tokio::task::spawn_local(run.clone().inject_at(fault));
    }
    let mut listed_before = experiment.fleet.nodes;
    for (index, change) in variant.endpoint_lists.iter().cloned().enumerate() {
        let generation = index as u64 + 2;
        let nodes = change.nodes;
        tokio::task::spawn_local(
            run.clone()
                .change_list_at(change, generation, listed_before),
        );
        listed_before = nodes;
    }
    let outcomes = run.play_clients(experiment, seed).await?;
    let coordinator = run.coordinator.take();
    if let Some(coordinator) = coordinator {
        coordinator.stop().await;
    }
    let violations = run.violations(&outcomes);
    let parts = run.fleet.run_log.borrow().arrivals.len();
    let span = experiment.workload.span;
    Ok(RunResult::new(
        variant, repeat, span, &outcomes, parts, violations,
    ))
}

impl VariantRun {
    async fn start(
        experiment: &Experiment,
        variant: &Variant,
        seed: u64,
        folder: &Path,
    ) -> Result<VariantRun, TestbedError> {
        let fleet = Fleet::start(experiment.fleet.clone(), seed).await?;
        let program = match &variant.program {
            Some(program) => program.clone(),
            None => coordinator_program()?,
        };
        let nodes: Vec<usize> = (0..experiment.fleet.nodes).collect();
        let options = CoordinatorOptions {
            program: &program,
            folder,
            endpoint_list: &fleet_endpoint_list(&fleet, 1, &nodes, &[], &[]),
            project_settings: &variant.project_settings,
            fronts: None,
        };
        let coordinator = Coordinator::start(&fleet, options).await?;
        Ok(VariantRun {
            fleet,
            program,
            folder: folder.to_path_buf(),
            project_settings: variant.project_settings.clone(),
            start: Instant::now() + START_DELAY,
            coordinator: RefCell::new(Some(coordinator)),
        })
    }

    async fn wait_until(&self, seconds: f64) {
        tokio::time::sleep_until(self.start + Duration::from_secs_f64(seconds)).await;
    }

    async fn inject_at(self: Rc<Self>, fault: NodeFault) {
        self.wait_until(fault.at).await;
        for &node in &fault.nodes {
            if let Some(times) = fault.slowdown {
                self.fleet.slow_down(node, times);
            }
            if let Some(behavior) = fault.behavior {
                if let Err(cause) = self.fleet.set_behavior(node, behavior).await {
                    eprintln!("cannot inject a fault into node {node}: {cause}");
                }
            }
        }
    }

    /// Applies an endpoint list at its time. `listed_before` is the number of nodes on the previous list.
    async fn change_list_at(
        self: Rc<Self>,
        change: EndpointListChange,
        generation: u64,
        listed_before: usize,
    ) {
        self.wait_until(change.at).await;
        let nodes: Vec<usize> = (0..change.nodes).collect();
        let just_started: Vec<usize> = (listed_before..change.nodes).collect();
        for &node in &just_started {
            self.fleet.restart_cold(node);
        }
        let weights = &change.weights;
        let list = fleet_endpoint_list(&self.fleet, generation, &nodes, &just_started, weights);
        if let Err(cause) = self.apply_list(&list, change.restart).await {
            eprintln!("cannot apply endpoint list {generation}: {cause}");
        }
        let now = self.fleet.now();
        let removed = change.nodes..listed_before;
        let mut run_log = self.fleet.run_log.borrow_mut();
        run_log.removed_at.extend(removed.map(|node| (node, now)));
    }

    async fn apply_list(&self, list: &str, restart: bool) -> Result<(), TestbedError> {
        let written = write_atomically(&self.folder.join("servers.toml"), list);
        let running = restart.then(|| self.coordinator.take()).flatten();
        if let Some(running) = running {
            let fronts = running.fronts;
            running.stop().await;
            let options = CoordinatorOptions {
                program: &self.program,
                folder: &self.folder,
                endpoint_list: list,
                project_settings: &self.project_settings,
                fronts: Some(fronts),
            };
            let restarted = Coordinator::start(&self.fleet, options).await?;
            self.coordinator.replace(Some(restarted));
        }
        written
    }

    async fn play_clients(
        &self,
        experiment: &Experiment,
        seed: u64,
    ) -> Result<Vec<QueryOutcome>, TestbedError> {
        let fronts = self.coordinator.borrow().as_ref().map(|one| one.fronts);
        let options = ClientOptions {
            fronts: fronts.ok_or(TestbedError::NoCoordinator)?,
            start: self.start,
            retries: experiment.workload.retries,
            confirm_effect: ConfirmEffect::AtMostOnce,
            listen_after_deadline: LISTEN_AFTER_DEADLINE,
        };
        let arrivals = arrivals(&experiment.workload, experiment.fleet.shards, seed);
        let outcomes: Rc<RefCell<Vec<QueryOutcome>>> = Rc::default();
        play(arrivals, options, outcomes.clone()).await;
        Ok(outcomes.take())
    }

    fn violations(&self, outcomes: &[QueryOutcome]) -> Vec<String> {
        let mut violations = self
            .fleet
            .run_log
            .borrow()
            .violations(&ConfirmEffect::AtMostOnce.repeat_rules());
        violations.extend(outcomes.iter().filter_map(|one| one.answer_fault.clone()));
        let unanswered = outcomes
            .iter()
            .filter(|one| one.ending == Ending::Unanswered)
            .count();
        if unanswered > 0 {
            violations.push(format!(
                "{unanswered} queries had no answer, half a second after their clients' time at the latest"
            ));
        }
        violations
    }
}
