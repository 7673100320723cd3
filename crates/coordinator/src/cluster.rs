//! This coordinator's part in its group, on a socket of its own. All that is decided is decided in `cairnroad_cluster`;
//! here are the datagrams, the time, the log, and the words that go to and from the core.

use crate::clock::Clock;
use crate::configuration;
use crate::messages::{Message, Phase};
use cairnroad_cluster::datagram::MAX_DATAGRAM_BYTES;
use cairnroad_cluster::gossip_state::{self, GossipValue};
use cairnroad_cluster::quorum::ClusterAction;
use cairnroad_cluster::view::MemberState;
use cairnroad_cluster::{outlier_advice, Membership, MembershipConfig, Output, TICK_INTERVAL};
use cairnroad_types::Time;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};

/// Datagrams that are taken between two ticks. A flood must not take the whole core.
const MOST_AT_ONCE: usize = 1_024;
/// How often others' doubts are handed to the core, in ticks.
const ADVICE_TICKS: u32 = 10;
/// Calls for the view that may wait.
const CALLS: usize = 16;
/// How long the last words may take to leave this machine.
const LAST_WORDS: Duration = Duration::from_millis(100);

/// Why this coordinator can't take part.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    #[error("peers.listen: {address}: {cause}")]
    Listen {
        address: SocketAddr,
        cause: std::io::Error,
    },
}

impl ClusterError {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            ClusterError::Listen { .. } => {
                "free the port, or name another in 'peers.listen'; 0 takes any, which 'peers.advertise' can't name"
            }
        }
    }
}

/// The way to the task that takes part.
pub struct ClusterHandle {
    calls: mpsc::Sender<ClusterRequest>,
}

enum ClusterRequest {
    View(oneshot::Sender<String>),
    Leave(oneshot::Sender<()>),
}

impl ClusterHandle {
    /// What this coordinator sees, as JSON.
    pub async fn view(&self) -> Option<String> {
        let (reply, view) = oneshot::channel();
        self.calls.try_send(ClusterRequest::View(reply)).ok()?;
        view.await.ok()
    }

    /// Leaves by its own word.
    pub async fn leave(&self) {
        let (reply, left) = oneshot::channel();
        if self.calls.send(ClusterRequest::Leave(reply)).await.is_ok() {
            let _ = tokio::time::timeout(LAST_WORDS, left).await;
        }
    }
}

/// What the task is dependencies beside its settings.
pub struct ClusterDependencies {
    pub name: String,
    pub seed: u64,
    pub clock: Clock,
    pub phases: watch::Receiver<Phase>,
    /// The data nodes that this coordinator's own answers make it doubt, and how many its list names.
    pub doubts: watch::Receiver<(Vec<String>, usize)>,
    pub core: mpsc::Sender<Message>,
}

/// Begins to take part.
pub async fn start(
    settings: &configuration::Peers,
    dependencies: ClusterDependencies,
) -> Result<ClusterHandle, ClusterError> {
    let fault = |cause| ClusterError::Listen {
        address: settings.listen,
        cause,
    };
    let socket = UdpSocket::bind(settings.listen).await.map_err(fault)?;
    let bound = socket.local_addr().map_err(fault)?;
    let address = settings.advertise.unwrap_or(bound);
    tracing::info!(listen = %bound, %address, cluster = settings.cluster, "joining the cluster");
    let now = dependencies.clock.now();
    let setup = MembershipConfig {
        cluster: settings.cluster.clone(),
        name: dependencies.name.clone(),
        room: settings.room.clone(),
        offers: settings.offers.clone(),
        address,
        generation: (now.0 / 1_000) as u64,
        group: settings.group.clone(),
        seeds: settings.seeds.clone(),
        seed: dependencies.seed,
    };
    let (calls, called) = mpsc::channel(CALLS);
    tokio::task::spawn_local(run(
        socket,
        Membership::new(setup, now),
        called,
        dependencies,
    ));
    Ok(ClusterHandle { calls })
}

async fn run(
    socket: UdpSocket,
    mut group: Membership,
    mut calls: mpsc::Receiver<ClusterRequest>,
    mut dependencies: ClusterDependencies,
) {
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(TICK_INTERVAL));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    let mut told = Vec::new();
    let mut ticked = 0u32;
    let clock = dependencies.clock.clone();
    // What it was before this task began is told, too.
    dependencies.phases.mark_changed();
    loop {
        let mut out = Vec::new();
        tokio::select! {
            biased;
            _ = ticks.tick() => {
                // What came during a stop is read before any of its time is judged.
                for _ in 0..MOST_AT_ONCE {
                    match socket.try_recv_from(&mut buffer) {
                        Ok((bytes, _)) => group.on_datagram(clock.now(), &buffer[..bytes], &mut out),
                        Err(cause) if cause.kind() == std::io::ErrorKind::WouldBlock => break,
                        // A peer's port that nobody listens at tells so here; it says nothing of this socket.
                        Err(_) => {}
                    }
                }
                group.tick(clock.now(), &mut out);
                ticked = ticked.wrapping_add(1);
                if ticked.is_multiple_of(ADVICE_TICKS) {
                    advise(&group, &dependencies, &mut told);
                }
            }
            got = socket.recv_from(&mut buffer) => {
                if let Ok((bytes, _)) = got {
                    group.on_datagram(clock.now(), &buffer[..bytes], &mut out);
                }
            }
            Ok(()) = dependencies.phases.changed() => {
                let phase = match *dependencies.phases.borrow_and_update() {
                    Phase::Starting => gossip_state::Phase::Starting,
                    Phase::Serving => gossip_state::Phase::Serving,
                    Phase::Drained => gossip_state::Phase::Draining,
                    Phase::Stopping | Phase::Closing | Phase::Refusing => gossip_state::Phase::Stopping,
                };
                group.publish(clock.now(), GossipValue::Phase(phase));
            }
            Ok(()) = dependencies.doubts.changed() => {
                let doubts = dependencies.doubts.borrow_and_update().0.clone();
                group.publish(clock.now(), GossipValue::Outliers(doubts));
            }
            Some(call) = calls.recv() => match call {
                ClusterRequest::View(reply) => drop(reply.send(view(&group, &dependencies.name, clock.now()))),
                ClusterRequest::Leave(reply) => {
                    group.leave(clock.now(), &mut out);
                    carry_out(&socket, out);
                    let _ = reply.send(());
                    return;
                }
            }
        }
        carry_out(&socket, out);
    }
}

/// Hands the core what others doubt, where that changes or still holds.
fn advise(group: &Membership, dependencies: &ClusterDependencies, told: &mut Vec<String>) {
    let listed = dependencies.doubts.borrow().1;
    let heeded = outlier_advice::confirmed_outliers(
        &group.outlier_reports(),
        group.view().live_count(),
        listed,
    );
    if !heeded.is_empty() {
        let _ = dependencies
            .core
            .try_send(Message::OutlierAdvice(heeded.clone()));
    }
    if heeded != *told {
        tracing::info!(
            servers = heeded.join(", "),
            "outliers reported by the cluster"
        );
        *told = heeded;
    }
}

fn carry_out(socket: &UdpSocket, out: Vec<Output>) {
    for out in out {
        match out {
            // A datagram that finds no room is one that was lost, which the group bears.
            Output::SendDatagram { to, bytes } => drop(socket.try_send_to(&bytes, to)),
            Output::MemberChanged { id, name, state } => {
                let member = name.unwrap_or_else(|| format!("{:016x}", id.name.0));
                match state {
                    MemberState::Alive => {
                        tracing::info!(member, address = %id.address, "member joined")
                    }
                    MemberState::Suspected => tracing::info!(member, "member suspected"),
                    MemberState::Failed => tracing::warn!(member, "member failed"),
                    MemberState::Left => tracing::info!(member, "member left"),
                }
            }
            Output::Replaced { earlier, later } => tracing::warn!(
                previous = %earlier.address, current = %later.address, member = format!("{:016x}", later.name.0),
                "member replaced by a newer process"
            ),
            Output::QuorumChanged(quorum_view) => {
                tracing::info!(?quorum_view, "quorum view changed")
            }
            Output::Rejoined => tracing::warn!("rejoined the cluster"),
            Output::Paused(secs) => tracing::warn!(secs, "process was paused"),
        }
    }
}

/// The view for people and programs.
fn view(group: &Membership, name: &str, now: Time) -> String {
    let view = group.view();
    let members: Vec<_> = view
        .members
        .iter()
        .map(|member| {
            let gossip = group.gossip_of(&member.id);
            let description = gossip.description.as_ref();
            json!({
                "name": description.map(|description| &description.name),
                "room": description.map(|description| &description.room),
                "offers": description.map(|description| &description.offers),
                "state": member.state, "for_s": ((now - member.since) * 10.0).round() / 10.0, "phase": gossip.phase,
                "address": member.id.address.to_string(), "generation": member.id.generation,
                "returns": member.id.rejoins, "incarnation": member.incarnation,
            })
        })
        .collect();
    let allowed = |action: &ClusterAction| (action.key().to_string(), json!(view.allows(*action)));
    let dropped =
        |drops: cairnroad_cluster::DropCount| (drops.cause.to_string(), json!(drops.count));
    json!({
        "name": name, "address": view.local.address.to_string(), "generation": view.local.generation,
        "returns": view.local.rejoins, "standing": view.quorum_view, "epoch": view.epoch,
        "digest": format!("{:016x}", view.digest), "doubt": view.health_score, "there": view.live_count(),
        "agree": view.agreeing, "differ": view.differing, "replaced_by": view.replaced_by.map(|id| id.address.to_string()),
        "may": ClusterAction::ALL.iter().map(allowed).collect::<serde_json::Map<_, _>>(),
        "doubted": group.outlier_reports(), "members": members,
        "dropped": group.drop_counts().map(dropped).collect::<serde_json::Map<_, _>>(),
    })
    .to_string()
}
