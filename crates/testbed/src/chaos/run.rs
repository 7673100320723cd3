//! Runs one scenario: starts its processes, plays its clients and polls the membership views.

use super::figures::{figures, ChaosReport};
use super::history_check::{History, MembershipView, RequestRecord};
use super::network::FaultyNetwork;
use super::process::{fetch_membership_view, Process, ProcessLauncher};
use super::scenario::{Scenario, TimedFault};
use crate::coordinator_process::coordinator_program;
use crate::deployment::{endpoint_list, DeploymentSpec, ListedNode};
use crate::error::TestbedError;
use crate::fleet::{Fleet, FleetSpec, Wire};
use crate::node_model::NodeSpec;
use crate::workload::{
    arrivals, run_client, ClientOptions, Fronts, IdleConnections, QueryArrival, Workload,
    LISTEN_AFTER_DEADLINE,
};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Interval between two polls of each coordinator's membership view.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Number of shards in a run.
const SHARDS: u32 = 24;
/// Maximum number of cells in a run; fewer nodes than this give one cell each.
const MAX_CELLS: usize = 6;
/// Number of consecutive cells that hold a shard.
const CELLS_PER_SHARD: u32 = 2;
/// Number of cluster seeds in the settings of every coordinator.
const CLUSTER_SEEDS: usize = 3;
/// Number of rooms over which the coordinators are spread.
const ROOMS: usize = 3;
/// Number of coordinators that are started concurrently.
const CONCURRENT_STARTS: usize = 8;

/// One run of a scenario.
pub(super) struct ChaosRun {
    pub(super) scenario: Scenario,
    pub(super) fleet: Rc<Fleet>,
    pub(super) network: Rc<FaultyNetwork>,
    launcher: ProcessLauncher,
    pub(super) processes: RefCell<BTreeMap<usize, Process>>,
    /// Platform fronts of the coordinators that take clients, by coordinator.
    pub(super) fronts: RefCell<BTreeMap<usize, SocketAddr>>,
    /// Proxy addresses of the data nodes, first by coordinator, then by node.
    node_addresses: Vec<Vec<SocketAddr>>,
    pub(super) removed_nodes: RefCell<BTreeSet<usize>>,
    pub(super) history: RefCell<History>,
    errors: RefCell<Vec<TestbedError>>,
    /// Time at which the first client started, in seconds on the fleet's clock.
    started_at: std::cell::Cell<f64>,
}

impl ChaosRun {
    /// Plays a scenario. The logs and settings of its processes are written to `folder`.
    pub(super) async fn play(
        scenario: Scenario,
        folder: &Path,
        program: Option<PathBuf>,
    ) -> Result<ChaosReport, TestbedError> {
        let program = program.map_or_else(coordinator_program, Ok)?;
        let run = Rc::new(ChaosRun::prepare(scenario, folder, program).await?);
        run.clone().start_all().await;
        run.clone().play_to_end().await;
        run.report()
    }

    async fn prepare(
        scenario: Scenario,
        folder: &Path,
        program: PathBuf,
    ) -> Result<ChaosRun, TestbedError> {
        let fleet = Fleet::start(fleet_spec(&scenario), scenario.seed).await?;
        let network = FaultyNetwork::new(scenario.seed);
        let launcher = ProcessLauncher {
            program,
            folder: folder.to_path_buf(),
            deployment: deployment(&scenario, &fleet.spec),
            project_settings: "[log]\nlevel = \"info\"\n".to_string(),
        };
        let mut node_addresses = Vec::new();
        let mut cluster_addresses = Vec::new();
        for member in 0..scenario.coordinators {
            node_addresses.push(proxy_nodes(&network, &fleet, member).await?);
            let datagrams = network.proxy_datagrams(member).await;
            cluster_addresses.push(datagrams.map_err(TestbedError::socket("datagrams"))?);
        }
        let history = History {
            coordinators: scenario.coordinators,
            ..History::default()
        };
        let run = ChaosRun {
            scenario,
            fleet,
            network,
            launcher,
            processes: RefCell::default(),
            fronts: RefCell::default(),
            node_addresses,
            removed_nodes: RefCell::default(),
            history: RefCell::new(history),
            errors: RefCell::default(),
            started_at: std::cell::Cell::new(0.0),
        };
        for member in 0..run.scenario.coordinators {
            run.write_endpoint_list(member)?;
            let cluster_settings = run.cluster_settings(&cluster_addresses, member);
            run.launcher.write_settings(member, &cluster_settings)?;
        }
        Ok(run)
    }

    /// Returns the seconds since the first client started.
    pub(super) fn now(&self) -> f64 {
        self.fleet.now() - self.started_at.get()
    }

    pub(super) fn record_error(&self, error: impl Into<TestbedError>) {
        self.errors.borrow_mut().push(error.into());
    }

    /// Returns the `[peers]` section of a coordinator's settings; empty if the coordinators form no cluster.
    fn cluster_settings(&self, addresses: &[SocketAddr], member: usize) -> String {
        if !self.scenario.clustered {
            return String::new();
        }
        let seeds = addresses.iter().take(CLUSTER_SEEDS);
        let seeds: Vec<String> = seeds.map(|seed| format!("\"{seed}\"")).collect();
        format!(
            "[peers]\nenabled = true\nlisten = \"127.0.0.1:0\"\nadvertise = \"{}\"\ncluster = \"lab\"\nroom = \"r{}\"\n\
             group = [\"n[0-{}]\"]\nseeds = [{}]\n",
            addresses[member],
            member % ROOMS,
            self.scenario.coordinators - 1,
            seeds.join(", ")
        )
    }

    /// Writes a coordinator's endpoint list. It names every data node that is not removed, at the address of the
    /// coordinator's own proxy.
    pub(super) fn write_endpoint_list(&self, member: usize) -> Result<(), TestbedError> {
        let removed = self.removed_nodes.borrow();
        let cells = self.fleet.spec.cells as usize;
        let addresses = self.node_addresses[member].iter().enumerate();
        let remaining = addresses.filter(|(node, _)| !removed.contains(node));
        let entries = remaining.map(|(node, address)| ListedNode {
            id: format!("d-{node}"),
            address: *address,
            cell: node % cells,
            weight: None,
            just_started: false,
        });
        let generation = 1 + removed.len() as u64;
        let list = endpoint_list(generation, entries);
        self.launcher.write_endpoint_list(member, &list)
    }

    async fn start_all(self: Rc<Self>) {
        let members: Vec<usize> = (0..self.scenario.coordinators).collect();
        for batch in members.chunks(CONCURRENT_STARTS) {
            let start = |&member| tokio::task::spawn_local(self.clone().start_member(member));
            let starts: Vec<_> = batch.iter().map(start).collect();
            for start in starts {
                let _ = start.await;
            }
        }
    }

    pub(super) async fn start_member(self: Rc<Self>, member: usize) {
        match self.launcher.start(member, self.scenario.clustered).await {
            Ok(process) => {
                if let Some(address) = process.addresses.cluster {
                    self.network.set_member_address(member, address);
                }
                let front = process.addresses.front;
                self.fronts.borrow_mut().insert(member, front);
                self.processes.borrow_mut().insert(member, process);
            }
            Err(error) => self.record_error(error),
        }
    }

    /// Plays clients, faults and membership polls until the span is over.
    async fn play_to_end(self: Rc<Self>) {
        self.started_at.set(self.fleet.now());
        let start = Instant::now();
        let polls = tokio::task::spawn_local(self.clone().poll_membership_views());
        let mut tasks = Vec::new();
        for TimedFault { at, fault } in self.scenario.faults.clone() {
            let run = self.clone();
            tasks.push(tokio::task::spawn_local(async move {
                tokio::time::sleep_until(start + Duration::from_secs_f64(at)).await;
                run.inject(fault).await;
            }));
        }
        let idle = IdleConnections::default();
        for arrival in arrivals(&self.workload(), SHARDS, self.scenario.seed) {
            tokio::time::sleep_until(start + Duration::from_secs_f64(arrival.due_at)).await;
            let run = self.clone();
            tasks.push(tokio::task::spawn_local(run.play_client(
                arrival,
                start,
                idle.clone(),
            )));
        }
        for task in tasks {
            let _ = task.await;
        }
        polls.abort();
    }

    fn workload(&self) -> Workload {
        Workload {
            rate: self.scenario.rate,
            span: self.scenario.span,
            burst: Vec::new(),
            query_front: 0.0,
            retries: 0,
        }
    }

    /// Plays one client, at the coordinator that is next in turn among those that take clients.
    async fn play_client(
        self: Rc<Self>,
        arrival: QueryArrival,
        start: Instant,
        idle: IdleConnections,
    ) {
        let query = arrival.query;
        let (coordinator, front) = {
            let fronts = self.fronts.borrow();
            if fronts.is_empty() {
                return;
            }
            let turn = query as usize % fronts.len();
            match fronts.iter().nth(turn) {
                Some((&coordinator, &front)) => (coordinator, front),
                None => return,
            }
        };
        let options = ClientOptions {
            fronts: Fronts::single(front),
            start,
            retries: 0,
            confirm_effect: self.scenario.confirm_effect(),
            listen_after_deadline: LISTEN_AFTER_DEADLINE,
        };
        let sent_at = self.now();
        let outcome = run_client(arrival, options, idle).await;
        self.history.borrow_mut().requests.push(RequestRecord {
            coordinator,
            query,
            sent_at,
            ended_at: self.now(),
            ending: outcome.ending,
            answer_fault: outcome.answer_fault,
        });
    }

    /// Polls the membership view of every coordinator until the task is aborted.
    async fn poll_membership_views(self: Rc<Self>) {
        if !self.scenario.clustered {
            return;
        }
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            for (&observer, process) in self.processes.borrow().iter() {
                let admin = process.addresses.admin;
                tokio::task::spawn_local(self.clone().poll_membership_view(observer, admin));
            }
        }
    }

    async fn poll_membership_view(self: Rc<Self>, observer: usize, admin: SocketAddr) {
        let seen_at = self.now();
        let Some(view) = fetch_membership_view(admin).await else {
            return;
        };
        let members = view["members"].as_array().into_iter().flatten();
        let seen_alive = members
            .filter(|member| matches!(member["state"].as_str(), Some("alive" | "suspected")));
        let alive = seen_alive
            .filter_map(|member| member_index(&member["name"]))
            .chain([observer])
            .collect();
        self.history.borrow_mut().views.push(MembershipView {
            seen_at,
            observer,
            alive,
        });
    }

    fn report(&self) -> Result<ChaosReport, TestbedError> {
        if let Some(error) = self.errors.borrow_mut().drain(..).next() {
            return Err(error);
        }
        let mut history = std::mem::take(&mut *self.history.borrow_mut());
        history.faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        let repeat_rules = self.scenario.confirm_effect().repeat_rules();
        history.run_log_violations = self.fleet.run_log.borrow().violations(&repeat_rules);
        Ok(ChaosReport {
            violations: history.violations(self.scenario.settling_seconds),
            figures: figures(self, &history),
        })
    }
}

fn fleet_spec(scenario: &Scenario) -> FleetSpec {
    FleetSpec {
        nodes: scenario.nodes,
        spare: 0,
        cells: scenario.nodes.min(MAX_CELLS) as u32,
        shards: SHARDS,
        wire: Wire::Frames,
        work_ms: [2.0, 2.0],
        spread: 0.4,
        node: NodeSpec {
            cores: 2,
            cold_from: 0.25,
            warm_s: 10.0,
            // These scenarios don't test overload in slow start, so no load overloads a node.
            fall_multiple: 1e9,
            fall_s: 1.0,
            ..NodeSpec::default()
        },
    }
}

fn deployment(scenario: &Scenario, spec: &FleetSpec) -> DeploymentSpec {
    DeploymentSpec {
        cells_per_shard: CELLS_PER_SHARD,
        overload_multiple: 2.5,
        confirm_effect: scenario.confirm_effect(),
        ..DeploymentSpec::for_nodes(&spec.node, spec.cells, spec.shards)
    }
}

async fn proxy_nodes(
    network: &Rc<FaultyNetwork>,
    fleet: &Fleet,
    member: usize,
) -> Result<Vec<SocketAddr>, TestbedError> {
    let mut addresses = Vec::new();
    for server in &fleet.servers {
        let proxy = network.proxy_connections(member, server.index, server.address);
        addresses.push(proxy.await.map_err(TestbedError::socket("connections"))?);
    }
    Ok(addresses)
}

fn member_index(name: &serde_json::Value) -> Option<usize> {
    name.as_str()?.strip_prefix('n')?.parse().ok()
}
