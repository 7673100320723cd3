//! This coordinator's part in its group, on a socket of its own. All that is decided is decided in `cairnroad_cluster`;
//! here are the datagrams, the time, the log, and the words that go to and from the core.

use crate::clock::Clock;
use crate::configuration;
use crate::messages::{LocalOutliers, Message, Phase};
use cairnroad_cluster::envelope::MOST_BYTES;
use cairnroad_cluster::facts::{self, What};
use cairnroad_cluster::model::{may, State, FEATURES};
use cairnroad_cluster::{advice, Group, Out, Setup, TICK};
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
pub enum Fault {
    #[error("peers.listen: {address}: {cause}")]
    Listen {
        address: SocketAddr,
        cause: std::io::Error,
    },
}

impl Fault {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Fault::Listen { .. } => {
                "free the port, or name another in 'peers.listen'; 0 takes any, which 'peers.advertise' can't name"
            }
        }
    }
}

/// The way to the task that takes part.
pub struct Peers {
    calls: mpsc::Sender<Call>,
}

enum Call {
    View(oneshot::Sender<String>),
    Leave(oneshot::Sender<()>),
}

impl Peers {
    /// What this coordinator sees, as JSON.
    pub async fn view(&self) -> Option<String> {
        let (reply, view) = oneshot::channel();
        self.calls.try_send(Call::View(reply)).ok()?;
        view.await.ok()
    }

    /// Leaves by its own word.
    pub async fn leave(&self) {
        let (reply, left) = oneshot::channel();
        if self.calls.send(Call::Leave(reply)).await.is_ok() {
            let _ = tokio::time::timeout(LAST_WORDS, left).await;
        }
    }
}

/// What the task is given beside its settings.
pub struct Given {
    pub name: String,
    pub seed: u64,
    pub clock: Clock,
    pub phases: watch::Receiver<Phase>,
    /// The data nodes that this coordinator's own answers make it doubt, and how many its list names.
    pub doubts: watch::Receiver<LocalOutliers>,
    pub core: mpsc::Sender<Message>,
}

/// Begins to take part.
pub async fn start(
    settings: &configuration::ClusterSettings,
    given: Given,
) -> Result<Peers, Fault> {
    let fault = |cause| Fault::Listen {
        address: settings.listen,
        cause,
    };
    let socket = UdpSocket::bind(settings.listen).await.map_err(fault)?;
    let bound = socket.local_addr().map_err(fault)?;
    let address = settings.advertise.unwrap_or(bound);
    tracing::info!(peers = %bound, %address, cluster = settings.cluster, "takes part in its group");
    let now = given.clock.now();
    let setup = Setup {
        cluster: settings.cluster.clone(),
        name: given.name.clone(),
        room: settings.room.clone(),
        offers: settings.offers.clone(),
        address,
        generation: (now.0 / 1_000) as u64,
        group: settings.group.clone(),
        seeds: settings.seeds.clone(),
        seed: given.seed,
    };
    let (calls, called) = mpsc::channel(CALLS);
    tokio::task::spawn_local(run(socket, Group::new(setup, now), called, given));
    Ok(Peers { calls })
}

async fn run(
    socket: UdpSocket,
    mut group: Group,
    mut calls: mpsc::Receiver<Call>,
    mut given: Given,
) {
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(TICK));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = [0; MOST_BYTES + 1];
    let mut told = Vec::new();
    let mut ticked = 0u32;
    let clock = given.clock.clone();
    // What it was before this task began is told, too.
    given.phases.mark_changed();
    loop {
        let mut out = Vec::new();
        tokio::select! {
            biased;
            _ = ticks.tick() => {
                // What came during a stop is read before any of its time is judged.
                for _ in 0..MOST_AT_ONCE {
                    match socket.try_recv_from(&mut buffer) {
                        Ok((bytes, _)) => group.datagram(clock.now(), &buffer[..bytes], &mut out),
                        Err(cause) if cause.kind() == std::io::ErrorKind::WouldBlock => break,
                        // A peer's port that nobody listens at tells so here; it says nothing of this socket.
                        Err(_) => {}
                    }
                }
                group.tick(clock.now(), &mut out);
                ticked = ticked.wrapping_add(1);
                if ticked.is_multiple_of(ADVICE_TICKS) {
                    advise(&group, &given, &mut told);
                }
            }
            got = socket.recv_from(&mut buffer) => {
                if let Ok((bytes, _)) = got {
                    group.datagram(clock.now(), &buffer[..bytes], &mut out);
                }
            }
            Ok(()) = given.phases.changed() => {
                let phase = match *given.phases.borrow_and_update() {
                    Phase::Starting => facts::Phase::Starting,
                    Phase::Serving => facts::Phase::Serving,
                    Phase::DrainedByOperator => facts::Phase::Draining,
                    Phase::ShuttingDown | Phase::IdleConnectionsClosing | Phase::PartialRequestsRejected => facts::Phase::Stopping,
                };
                group.say(clock.now(), What::Phase(phase));
            }
            Ok(()) = given.doubts.changed() => {
                let doubts = given.doubts.borrow_and_update().endpoint_ids.clone();
                group.say(clock.now(), What::Doubts(doubts));
            }
            Some(call) = calls.recv() => match call {
                Call::View(reply) => drop(reply.send(view(&group, &given.name, clock.now()))),
                Call::Leave(reply) => {
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
fn advise(group: &Group, given: &Given, told: &mut Vec<String>) {
    let listed = given.doubts.borrow().endpoint_count;
    let heeded = advice::heeded(&group.advice(), group.view().there(), listed);
    if !heeded.is_empty() {
        let _ = given.core.try_send(Message::OutlierAdvice(heeded.clone()));
    }
    if heeded != *told {
        tracing::info!(servers = heeded.join(", "), "peers doubt these data nodes");
        *told = heeded;
    }
}

fn carry_out(socket: &UdpSocket, out: Vec<Out>) {
    for out in out {
        match out {
            // A datagram that finds no room is one that was lost, which the group bears.
            Out::Send { to, bytes } => drop(socket.try_send_to(&bytes, to)),
            Out::Member { id, name, state } => {
                let peer = name.unwrap_or_else(|| format!("{:016x}", id.name.0));
                match state {
                    State::Alive => tracing::info!(peer, address = %id.address, "peer is there"),
                    State::Suspected => tracing::info!(peer, "peer is suspected"),
                    State::Failed => tracing::warn!(peer, "peer has failed"),
                    State::Left => tracing::info!(peer, "peer has left"),
                }
            }
            Out::Replaced { earlier, later } => tracing::warn!(
                earlier = %earlier.address, later = %later.address, name = format!("{:016x}", later.name.0),
                "a later process took a name over"
            ),
            Out::Standing(standing) => tracing::info!(?standing, "peers: standing"),
            Out::Returned => tracing::warn!("peers: came back under a later number"),
            Out::Late(secs) => tracing::warn!(secs, "peers: this process did not run for a while"),
        }
    }
}

/// The view for people and programs.
fn view(group: &Group, name: &str, now: Time) -> String {
    let view = group.view();
    let members: Vec<_> = view
        .members
        .iter()
        .map(|member| {
            group.told_by(&member.id, |card, phase| {
                json!({
                    "name": card.map(|card| card.0), "room": card.map(|card| card.1), "offers": card.map(|card| card.2),
                    "state": member.state, "for_s": ((now - member.since) * 10.0).round() / 10.0, "phase": phase,
                    "address": member.id.address.to_string(), "generation": member.id.generation,
                    "returns": member.id.returns, "incarnation": member.incarnation,
                })
            })
        })
        .collect();
    let allowed = |feature: &cairnroad_cluster::model::Feature| {
        (
            format!("{feature:?}").to_lowercase(),
            json!(may(view.standing, *feature)),
        )
    };
    let dropped =
        |(cause, count): (cairnroad_cluster::Dropped, u64)| (cause.to_string(), json!(count));
    json!({
        "name": name, "address": view.own.address.to_string(), "generation": view.own.generation,
        "returns": view.own.returns, "standing": view.standing, "epoch": view.epoch,
        "digest": format!("{:016x}", view.digest), "doubt": view.doubt, "there": view.there(),
        "agree": view.agree, "differ": view.differ, "replaced_by": view.replaced_by.map(|id| id.address.to_string()),
        "may": FEATURES.iter().map(allowed).collect::<serde_json::Map<_, _>>(),
        "doubted": group.advice(), "members": members,
        "dropped": group.dropped().map(dropped).collect::<serde_json::Map<_, _>>(),
    })
    .to_string()
}
