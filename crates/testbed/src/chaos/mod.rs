//! Faults between processes: many coordinators and emulated data nodes, everything that passes between them held up, lost
//! or cut by a scenario, and a checker of the whole history. See `docs/LAB.md`.

pub mod check;
mod net;
mod process;
pub mod scenario;

use crate::fleet::{program, Fleet, FleetSpec, Mood};
use crate::load::{arrivals, client, Idle, Load, LISTENS, ONCE};
use check::{Asked, History, Sight};
use net::{Net, Party};
use process::{Plan, Process};
use scenario::{Fault, Scenario};
use serde_json::json;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How often each coordinator is asked what it sees.
const LOOK: Duration = Duration::from_millis(500);
/// Shards of a run, and cells that hold them, two in a row each.
const SHARDS: u32 = 24;
/// Seeds that every coordinator knows.
const SEEDS: usize = 3;
/// How many are started at a time.
const AT_ONCE: usize = 8;

/// What a run shows.
pub struct Outcome {
    pub violations: Vec<String>,
    /// For people and programs.
    pub figures: serde_json::Value,
}

/// A run's parts.
struct Run {
    scenario: Scenario,
    fleet: Rc<Fleet>,
    net: Rc<Net>,
    plan: Plan,
    processes: RefCell<BTreeMap<usize, Process>>,
    /// Those that clients are sent to.
    fronts: RefCell<BTreeMap<usize, SocketAddr>>,
    /// Where each coordinator reaches each data node.
    ways: Vec<Vec<SocketAddr>>,
    removed: RefCell<BTreeSet<usize>>,
    history: RefCell<History>,
    errors: RefCell<Vec<String>>,
}

/// Plays a scenario's file and prints what it showed. Whether nothing was wrong.
pub async fn run(path: &Path, keep: Option<&Path>, other: Option<PathBuf>) -> Result<bool, String> {
    let scenario =
        scenario::load(path).map_err(|fault| format!("{fault}\nhelp: {}", fault.help()))?;
    let folder = match keep {
        Some(folder) => folder.to_path_buf(),
        None => std::env::temp_dir().join(format!("cairnroad-chaos-{}", std::process::id())),
    };
    let outcome = play(scenario, &folder, other).await;
    if keep.is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let outcome = outcome?;
    println!("{:#}", outcome.figures);
    for violation in &outcome.violations {
        println!("violation: {violation}");
    }
    println!("{} violations", outcome.violations.len());
    Ok(outcome.violations.is_empty())
}

/// Plays a scenario; logs and settings of its processes stand in `folder`.
pub async fn play(
    scenario: Scenario,
    folder: &Path,
    other: Option<PathBuf>,
) -> Result<Outcome, String> {
    let node =
        json!({"cores": 2, "cold_from": 0.25, "warm_s": 10.0, "fall_multiple": 1e9, "fall_s": 1.0});
    let spec = json!({"nodes": scenario.nodes, "cells": scenario.nodes.min(6), "shards": SHARDS, "work_ms": [2.0, 2.0],
        "node": node});
    let spec: FleetSpec = serde_json::from_value(spec).map_err(|e| e.to_string())?;
    let cells = spec.cells;
    let fleet = Fleet::start(spec, scenario.seed).await?;
    let net = Net::new(scenario.seed);
    let own = "[log]\nlevel = \"info\"\n".to_string();
    let program = other.map_or_else(program, Ok)?;
    let plan = Plan {
        program,
        folder: folder.to_path_buf(),
        cells,
        shards: SHARDS,
        own,
    };
    let io = |e: std::io::Error| e.to_string();
    let mut ways = Vec::new();
    let mut addresses = Vec::new();
    for member in 0..scenario.coordinators {
        let mut nodes = Vec::new();
        for server in &fleet.servers {
            nodes.push(
                net.connections(member, server.index, server.address)
                    .await
                    .map_err(io)?,
            );
        }
        ways.push(nodes);
        addresses.push(net.datagrams(member).await.map_err(io)?);
    }
    let history = RefCell::new(History {
        coordinators: scenario.coordinators,
        ..History::default()
    });
    let run = Rc::new(Run {
        scenario,
        fleet,
        net,
        plan,
        processes: RefCell::default(),
        fronts: RefCell::default(),
        ways,
        removed: RefCell::default(),
        history,
        errors: RefCell::default(),
    });
    for member in 0..run.scenario.coordinators {
        run.list(member)?;
        run.plan
            .settle(member, &run.group(&addresses, member))
            .map_err(|e| e.to_string())?;
    }
    let members: Vec<usize> = (0..run.scenario.coordinators).collect();
    for some in members.chunks(AT_ONCE) {
        let starts: Vec<_> = some
            .iter()
            .map(|&member| tokio::task::spawn_local(run.clone().start(member)))
            .collect();
        for start in starts {
            let _ = start.await;
        }
    }
    run.clone().through().await;
    run.finish()
}

impl Run {
    fn now(&self) -> f64 {
        self.fleet.now()
    }

    /// The lines of a member's part in the group.
    fn group(&self, addresses: &[SocketAddr], member: usize) -> String {
        if !self.scenario.peers {
            return String::new();
        }
        let seeds: Vec<String> = addresses
            .iter()
            .take(SEEDS)
            .map(|seed| format!("\"{seed}\""))
            .collect();
        format!(
            "[peers]\nenabled = true\nlisten = \"127.0.0.1:0\"\nadvertise = \"{}\"\ncluster = \"lab\"\nroom = \"r{}\"\n\
             group = [\"n[0-{}]\"]\nseeds = [{}]\n",
            addresses[member],
            member % 3,
            self.scenario.coordinators - 1,
            seeds.join(", ")
        )
    }

    /// Writes a member's list: every data node that is not removed, by the member's own way to it.
    fn list(&self, member: usize) -> Result<(), String> {
        let removed = self.removed.borrow();
        let mut text = format!("generation = {}\nallow_shrink = true\n", 1 + removed.len());
        for (node, address) in self.ways[member]
            .iter()
            .enumerate()
            .filter(|(node, _)| !removed.contains(node))
        {
            let cell = node % self.plan.cells as usize;
            text.push_str(&format!(
                "[[server]]\nid = \"d-{node}\"\naddress = \"{address}\"\ncell = {cell}\nstarted = 2000-01-01T00:00:00Z\n"
            ));
        }
        self.plan
            .list(member, &(text + "# end\n"))
            .map_err(|e| e.to_string())
    }

    async fn start(self: Rc<Self>, member: usize) {
        match self.plan.start(member, self.scenario.peers).await {
            Ok(process) => {
                if let Some(address) = process.places.peers {
                    self.net.place(member, address);
                }
                self.fronts
                    .borrow_mut()
                    .insert(member, process.places.front);
                self.processes.borrow_mut().insert(member, process);
            }
            Err(fault) => self.errors.borrow_mut().push(fault.to_string()),
        }
    }

    /// Plays clients, faults and looks until the span is over.
    async fn through(self: Rc<Self>) {
        let begun = self.now();
        let start = Instant::now();
        let load = Load {
            rate: self.scenario.rate,
            span: self.scenario.span,
            burst: Vec::new(),
            query_front: 0.0,
            retries: 0,
        };
        let mut tasks = Vec::new();
        let looks = tokio::task::spawn_local(self.clone().look(begun));
        for (at, fault) in self.scenario.faults.clone() {
            let run = self.clone();
            tasks.push(tokio::task::spawn_local(async move {
                tokio::time::sleep_until(start + Duration::from_secs_f64(at)).await;
                run.strike(begun, fault).await;
            }));
        }
        let idle: Idle = Rc::default();
        for due in arrivals(&load, SHARDS, self.scenario.seed) {
            tokio::time::sleep_until(start + Duration::from_secs_f64(due.at)).await;
            let fronts: Vec<(usize, SocketAddr)> = self
                .fronts
                .borrow()
                .iter()
                .map(|(member, front)| (*member, *front))
                .collect();
            if fronts.is_empty() {
                continue;
            }
            let (coordinator, front) = fronts[due.query as usize % fronts.len()];
            let (run, idle) = (self.clone(), idle.clone());
            tasks.push(tokio::task::spawn_local(async move {
                let (at, query) = (run.now() - begun, due.query);
                let ended = client(due, [front, front], start, 0, idle, LISTENS).await;
                let one = Asked {
                    coordinator,
                    query,
                    at,
                    ended: run.now() - begun,
                    end: ended.end,
                    wrong: ended.wrong,
                };
                run.history.borrow_mut().asked.push(one);
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
        looks.abort();
    }

    /// Asks every coordinator what it sees, again and again.
    async fn look(self: Rc<Self>, begun: f64) {
        if !self.scenario.peers {
            return;
        }
        loop {
            tokio::time::sleep(LOOK).await;
            let doors: Vec<(usize, SocketAddr)> = self
                .processes
                .borrow()
                .iter()
                .map(|(member, process)| (*member, process.places.door))
                .collect();
            for (by, door) in doors {
                let run = self.clone();
                tokio::task::spawn_local(async move {
                    let at = run.now() - begun;
                    let Some(view) = process::view(door).await else {
                        return;
                    };
                    let there = view["members"].as_array().into_iter().flatten();
                    let there = there.filter(|member| {
                        matches!(member["state"].as_str(), Some("alive" | "suspected"))
                    });
                    let number =
                        |name: &serde_json::Value| name.as_str()?.strip_prefix('n')?.parse().ok();
                    let there = there
                        .filter_map(|member| number(&member["name"]))
                        .chain([by])
                        .collect();
                    run.history
                        .borrow_mut()
                        .sights
                        .push(Sight { at, by, there });
                });
            }
        }
    }

    async fn strike(self: &Rc<Self>, begun: f64, fault: Fault) {
        let at = self.now() - begun;
        self.history.borrow_mut().faults.push((at, fault.clone()));
        let each = |act: &dyn Fn(&Process)| {
            let processes = self.processes.borrow();
            fault
                .members()
                .iter()
                .filter_map(|member| processes.get(member))
                .for_each(act);
        };
        match &fault {
            Fault::Cut { members, nodes } => {
                let members = members.iter().map(|member| Party::Member(*member));
                self.net.cut(
                    members
                        .chain(nodes.iter().map(|node| Party::Node(*node)))
                        .collect(),
                );
            }
            Fault::Mute { members } => self.net.mute(members),
            Fault::Heal => self.net.heal(),
            Fault::Loss {
                loss,
                twice,
                delay_ms,
            } => self.net.lose(*loss, *twice, *delay_ms),
            Fault::Reset { members } => members.iter().for_each(|member| self.net.reset(*member)),
            Fault::Stop { .. } => each(&|process| process.signal("STOP")),
            Fault::Resume { .. } => each(&|process| process.signal("CONT")),
            Fault::Reload { .. } => each(&|process| process.signal("HUP")),
            Fault::Kill { members } => {
                for member in members {
                    self.fronts.borrow_mut().remove(member);
                    let process = self.processes.borrow_mut().remove(member);
                    if let Some(process) = process {
                        process.kill().await;
                    }
                }
            }
            Fault::Start { members } => {
                for &member in members {
                    self.clone().start(member).await;
                }
            }
            Fault::Restart { members } => {
                for &member in members {
                    // Clients learn from its health that it stops; what they have open goes on.
                    self.fronts.borrow_mut().remove(&member);
                    let process = self.processes.borrow_mut().remove(&member);
                    if let Some(process) = process {
                        if let Err(fault) = process.stop().await {
                            self.errors.borrow_mut().push(fault.to_string());
                        }
                    }
                    self.clone().start(member).await;
                }
                // From the last start on the views have to be right again.
                let at = self.now() - begun;
                self.history.borrow_mut().faults.push((
                    at,
                    Fault::Start {
                        members: members.clone(),
                    },
                ));
            }
            Fault::Remove { nodes } => {
                self.removed.borrow_mut().extend(nodes);
                for member in 0..self.scenario.coordinators {
                    if let Err(fault) = self.list(member) {
                        self.errors.borrow_mut().push(fault);
                    }
                }
                // Files are looked at within a quarter of a second.
                let told = self.fleet.now() + 0.25;
                let mut ledger = self.fleet.ledger.borrow_mut();
                ledger
                    .removed
                    .extend(nodes.iter().map(|node| (*node, told)));
            }
            Fault::Lie { nodes } => {
                for &node in nodes {
                    if let Err(fault) = self.fleet.set(node, Mood::Lies).await {
                        self.errors.borrow_mut().push(fault);
                    }
                }
            }
        }
    }

    fn finish(&self) -> Result<Outcome, String> {
        if let Some(fault) = self.errors.borrow().first() {
            return Err(fault.clone());
        }
        let mut history = std::mem::take(&mut *self.history.borrow_mut());
        history.faults.sort_by(|a, b| a.0.total_cmp(&b.0));
        history.ledger = self.fleet.ledger.borrow().broken(&ONCE);
        let violations = history.violations(self.scenario.settled_s);
        let ends = |end| {
            history
                .asked
                .iter()
                .filter(|asked| asked.end == end)
                .count()
        };
        let sent = self.net.sent.borrow();
        let (datagrams, bytes) = sent
            .values()
            .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let per =
            |total: u64| total as f64 / self.scenario.span / self.scenario.coordinators as f64;
        let round = |figure: f64| (figure * 10.0).round() / 10.0;
        let usage: Vec<(f64, f64)> = self
            .processes
            .borrow()
            .values()
            .filter_map(Process::usage)
            .collect();
        let many = usage.len().max(1) as f64;
        let (cpu, memory) = usage
            .iter()
            .fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        use crate::load::End;
        let figures = json!({
            "coordinators": self.scenario.coordinators, "nodes": self.scenario.nodes, "span_s": self.scenario.span,
            "queries": history.asked.len(), "served": ends(End::Served), "refused": ends(End::Refused),
            "failed": ends(End::Failed), "late": ends(End::Late), "unanswered": ends(End::Silent) + ends(End::Cut),
            "cpu_ms_a_process_s": round(cpu * 1e3 / many / self.scenario.span), "memory_mb": round(memory / many),
            "looks": history.sights.len(), "datagrams_a_member_s": round(per(datagrams)),
            "bytes_a_member_s": round(per(bytes)), "detection_s": self.detection(&history),
        });
        Ok(Outcome {
            violations,
            figures,
        })
    }

    /// How long after a kill each survivor first saw it: the median, the 99th percentile and the most, in seconds.
    fn detection(&self, history: &History) -> Option<[f64; 3]> {
        let mut took = Vec::new();
        for (at, fault) in &history.faults {
            let Fault::Kill { members } = fault else {
                continue;
            };
            for &of in members {
                let mut first: BTreeMap<usize, f64> = BTreeMap::new();
                for sight in history
                    .sights
                    .iter()
                    .filter(|sight| sight.at > *at && !sight.there.contains(&of))
                {
                    let seen = first.entry(sight.by).or_insert(sight.at);
                    *seen = seen.min(sight.at);
                }
                took.extend(first.values().map(|seen| seen - at));
            }
        }
        took.sort_by(f64::total_cmp);
        let at = |share: f64| {
            took.get(((took.len() as f64 * share) as usize).min(took.len().saturating_sub(1)))
        };
        Some([*at(0.5)?, *at(0.99)?, *took.last()?].map(|secs| (secs * 100.0).round() / 100.0))
    }
}
