//! The demo: eight emulated nodes, one coordinator that watches its endpoint list, and a light load.

use crate::coordinator_process::{
    coordinator_program, fleet_endpoint_list, Coordinator, CoordinatorOptions,
};
use crate::error::TestbedError;
use crate::fleet::{Fleet, FleetSpec, Wire};
use crate::node_model::NodeSpec;
use crate::workload::{
    arrivals, earned_value, play, ClientOptions, ConfirmEffect, Ending, QueryOutcome, Workload,
    LISTEN_AFTER_DEADLINE, PRIORITY_WEIGHTS,
};
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Interval between two printed lines of figures.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of nodes at the start.
const NODES: usize = 8;
/// Queries per second.
const RATE: f64 = 20.0;
/// Maximum duration of a demo that runs until Ctrl-C, in seconds.
const MAX_SECONDS: f64 = 3600.0;
/// Seed of the fleet and the workload.
const SEED: u64 = 1;

type Outcomes = Rc<RefCell<Vec<QueryOutcome>>>;

/// Runs the demo until Ctrl-C, or for `seconds` if that is above 0. Returns whether there were no violations.
///
/// # Errors
///
/// Returns an error if the fleet or the coordinator does not start.
pub async fn run(seconds: f64) -> Result<bool, TestbedError> {
    let program = coordinator_program()?;
    let fleet = Fleet::start(fleet_spec(), SEED).await?;
    let folder = std::env::temp_dir().join(format!("cairnroad-demo-{}", std::process::id()));
    let nodes: Vec<usize> = (0..NODES).collect();
    let options = CoordinatorOptions {
        program: &program,
        folder: &folder,
        endpoint_list: &fleet_endpoint_list(&fleet, 1, &nodes, &[], &[]),
        project_settings: "",
        fronts: None,
    };
    let coordinator = Coordinator::start(&fleet, options).await?;
    print_introduction(&coordinator, &folder, &program);

    let limit = if seconds > 0.0 { seconds } else { MAX_SECONDS };
    let outcomes = Outcomes::default();
    let clients = start_clients(&fleet, &coordinator, limit, outcomes.clone());
    tokio::select! {
        () = print_lines(&fleet, &outcomes) => {}
        _ = tokio::signal::ctrl_c() => println!("\nshutting down"),
        () = tokio::time::sleep(Duration::from_secs_f64(limit)) => {}
    }
    clients.abort();
    coordinator.stop().await;

    let violations = fleet
        .run_log
        .borrow()
        .violations(&ConfirmEffect::AtMostOnce.repeat_rules());
    for violation in &violations {
        println!("violation: {violation}");
    }
    let _ = std::fs::remove_dir_all(&folder);
    Ok(violations.is_empty())
}

fn fleet_spec() -> FleetSpec {
    FleetSpec {
        nodes: NODES,
        spare: 4,
        cells: 4,
        shards: 16,
        wire: Wire::Frames,
        work_ms: [20.0, 15.0],
        spread: 0.4,
        node: NodeSpec::default(),
    }
}

fn print_introduction(coordinator: &Coordinator, folder: &Path, program: &Path) {
    let platform = coordinator.fronts.platform;
    let query = coordinator.fronts.query;
    let folder = folder.display();
    let program = program.display();
    println!("platform front  http://{platform}/api");
    println!("query front     http://{query}/stock-search/_search");
    println!("roster          {folder}/servers.toml");
    println!("\nTry, in another terminal:\n");
    println!(
        "  curl -s 'http://{query}/stock-search/_search?preference=_shards:1,2' \
         -H 'Content-Type: application/json' -d '{{\"query\":{{\"match\":{{\"sku\":\"A-17\"}}}}}}'"
    );
    println!("  curl -s http://{query}/openapi.json");
    println!(
        "  NODE_CONFIG={folder}/config.json CAIRNROAD_FILE={folder}/own.toml {program} roster show\n"
    );
}

fn start_clients(
    fleet: &Fleet,
    coordinator: &Coordinator,
    seconds: f64,
    outcomes: Outcomes,
) -> tokio::task::JoinHandle<()> {
    let workload = Workload {
        rate: RATE,
        span: seconds,
        burst: Vec::new(),
        query_front: 0.3,
        retries: 1,
    };
    let options = ClientOptions {
        fronts: coordinator.fronts,
        start: Instant::now(),
        retries: workload.retries,
        confirm_effect: ConfirmEffect::AtMostOnce,
        listen_after_deadline: LISTEN_AFTER_DEADLINE,
    };
    let arrivals = arrivals(&workload, fleet.spec.shards, SEED);
    tokio::task::spawn_local(play(arrivals, options, outcomes))
}

async fn print_lines(fleet: &Fleet, outcomes: &Outcomes) {
    let mut printed = 0;
    loop {
        tokio::time::sleep(LINE_INTERVAL).await;
        let outcomes = outcomes.borrow();
        print_line(&outcomes[printed..], fleet.run_log.borrow().arrivals.len());
        printed = outcomes.len();
    }
}

fn print_line(recent: &[QueryOutcome], parts: usize) {
    let served = recent.iter().filter(|one| one.ending == Ending::Served);
    let mut latencies_ms: Vec<f64> = served.map(|one| one.latency * 1000.0).collect();
    latencies_ms.sort_by(f64::total_cmp);
    let quantile = |share: f64| {
        let last = latencies_ms.len().saturating_sub(1);
        let index = ((latencies_ms.len() as f64 * share) as usize).min(last);
        latencies_ms.get(index).copied().unwrap_or(0.0)
    };
    let asked: f64 = recent.iter().map(|one| PRIORITY_WEIGHTS[one.class]).sum();
    let earned: f64 = recent.iter().map(earned_value).sum();
    let service = if asked > 0.0 { earned / asked } else { 1.0 };
    println!(
        "{:3} queries/s  service {service:.2}  p50 {:4.0} ms  p99 {:4.0} ms  {parts} parts in all",
        recent.len(),
        quantile(0.5),
        quantile(0.99),
    );
}
