//! This coordinator's part in its cluster: a task that owns the UDP socket.
//!
//! All decisions are made by [`Membership`]; the task gives it datagrams and the time, sends what it returns, logs
//! changes, and exchanges outliers with the core.
#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

mod page;

use crate::clock::Clock;
use crate::configuration;
use crate::messages::{CoreMessage, LocalOutliers, ServingPhase};
use cairnroad_cluster::datagram::MAX_DATAGRAM_BYTES;
use cairnroad_cluster::gossip_state::{self, GossipValue};
use cairnroad_cluster::identity::MemberId;
use cairnroad_cluster::view::MemberState;
use cairnroad_cluster::{outlier_advice, Membership, MembershipConfig, Output, TICK_INTERVAL};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Interval, MissedTickBehavior};

/// Most datagrams that are read in one tick: a flood must not occupy the core's thread.
const MAX_DATAGRAMS_PER_TICK: usize = 1_024;
/// How often outlier advice is passed to the core, in ticks.
const ADVICE_INTERVAL_TICKS: u32 = 10;
/// Capacity of the channel of requests to the task.
const MAX_WAITING_REQUESTS: usize = 16;
/// How long the announcement that this coordinator leaves may take to be sent.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Why this coordinator can't join its cluster.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The socket can't be bound.
    #[error("peers.listen: {address}: {source}")]
    Bind {
        /// The address of the setting `peers.listen`.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
}

impl ClusterError {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            ClusterError::Bind { .. } => {
                "free the port, or name another in 'peers.listen'; 0 takes any, which 'peers.advertise' can't name"
            }
        }
    }
}

/// Sends requests to the cluster task.
pub struct ClusterHandle {
    requests: mpsc::Sender<ClusterRequest>,
}

/// A request to the cluster task, with the channel for its answer.
enum ClusterRequest {
    /// Render the page of `GET /v1/peers`.
    View(oneshot::Sender<String>),
    /// Announce that this coordinator leaves, and end the task.
    Leave(oneshot::Sender<()>),
}

impl ClusterHandle {
    /// What this coordinator sees, as JSON. `None` if the task has ended or has too many requests waiting.
    pub async fn members_page(&self) -> Option<String> {
        let (reply, page) = oneshot::channel();
        self.requests.try_send(ClusterRequest::View(reply)).ok()?;
        page.await.ok()
    }

    /// Announces to the other members that this coordinator leaves.
    pub async fn leave(&self) {
        let (reply, left) = oneshot::channel();
        if self
            .requests
            .send(ClusterRequest::Leave(reply))
            .await
            .is_ok()
        {
            // Unannounced, the others find this coordinator failed instead.
            let _ = tokio::time::timeout(LEAVE_TIMEOUT, left).await;
        }
    }
}

/// What the cluster task needs of the program beside its settings.
pub struct ClusterDependencies {
    /// This coordinator's name.
    pub name: String,
    /// Seeds the random generator.
    pub random_seed: u64,
    /// The program's clock.
    pub clock: Clock,
    /// The program's phase, published to the cluster.
    pub phase_updates: watch::Receiver<ServingPhase>,
    /// The data nodes that this coordinator's own requests show to be outliers, published to the cluster.
    pub outlier_updates: watch::Receiver<LocalOutliers>,
    /// The core, which receives outlier advice.
    pub core_messages: mpsc::Sender<CoreMessage>,
}

/// Binds the socket and spawns the cluster task on the current thread. The task ends with
/// [`ClusterHandle::leave`].
pub async fn start(
    settings: &configuration::ClusterSettings,
    dependencies: ClusterDependencies,
) -> Result<ClusterHandle, ClusterError> {
    let listen_error = |source| ClusterError::Bind {
        address: settings.listen_address,
        source,
    };
    let socket = UdpSocket::bind(settings.listen_address)
        .await
        .map_err(listen_error)?;
    let bound = socket.local_addr().map_err(listen_error)?;
    let address = settings.advertised_address.unwrap_or(bound);
    tracing::info!(listen = %bound, %address, cluster = settings.cluster_name, "joining the cluster");
    let now = dependencies.clock.now();
    let config = MembershipConfig {
        cluster_name: settings.cluster_name.clone(),
        name: dependencies.name.clone(),
        room: settings.room.clone(),
        offers: settings.offers.clone(),
        address,
        generation: (now.0 / 1_000) as u64,
        member_names: settings.member_names.clone(),
        seeds: settings.seeds.clone(),
        random_seed: dependencies.random_seed,
    };
    let (sender, requests) = mpsc::channel(MAX_WAITING_REQUESTS);
    let task = ClusterTask {
        socket,
        membership: Membership::new(config, now),
        requests,
        dependencies,
        buffer: [0; MAX_DATAGRAM_BYTES + 1],
        ticks: 0,
        confirmed_outliers: Vec::new(),
    };
    tokio::task::spawn_local(task.run());
    Ok(ClusterHandle { requests: sender })
}

struct ClusterTask {
    socket: UdpSocket,
    membership: Membership,
    requests: mpsc::Receiver<ClusterRequest>,
    dependencies: ClusterDependencies,
    /// One byte longer than a datagram may be, so that a longer one is seen to be.
    buffer: [u8; MAX_DATAGRAM_BYTES + 1],
    ticks: u32,
    /// The outlier advice that was logged last.
    confirmed_outliers: Vec<String>,
}

/// What wakes the cluster task.
enum Input {
    Tick,
    /// A datagram of this length is in the buffer.
    Datagram(usize),
    /// Nothing could be read from the socket.
    ReceiveFailed,
    PhaseChanged,
    OutliersChanged,
    Request(ClusterRequest),
}

/// Whether the task goes on.
#[derive(PartialEq)]
enum Progress {
    Continue,
    Finished,
}

impl ClusterTask {
    async fn run(mut self) {
        let mut interval = tokio::time::interval(Duration::from_secs_f64(TICK_INTERVAL));
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // The phase that was reached before this task began is published, too.
        self.dependencies.phase_updates.mark_changed();
        loop {
            let input = self.next_input(&mut interval).await;
            if self.handle(input) == Progress::Finished {
                return;
            }
        }
    }

    async fn next_input(&mut self, interval: &mut Interval) -> Input {
        tokio::select! {
            biased;
            _ = interval.tick() => Input::Tick,
            received = self.socket.recv_from(&mut self.buffer) => match received {
                Ok((length, _)) => Input::Datagram(length),
                Err(_) => Input::ReceiveFailed,
            },
            Ok(()) = self.dependencies.phase_updates.changed() => Input::PhaseChanged,
            Ok(()) = self.dependencies.outlier_updates.changed() => Input::OutliersChanged,
            Some(request) = self.requests.recv() => Input::Request(request),
        }
    }

    fn handle(&mut self, input: Input) -> Progress {
        match input {
            Input::Tick => self.tick(),
            Input::Datagram(length) => self.handle_datagram(length),
            Input::ReceiveFailed => {}
            Input::PhaseChanged => self.publish_phase(),
            Input::OutliersChanged => self.publish_outliers(),
            Input::Request(ClusterRequest::View(reply)) => {
                let now = self.dependencies.clock.now();
                let page = page::render(&self.membership, &self.dependencies.name, now);
                // An asker that has gone needs no answer.
                let _ = reply.send(page);
            }
            Input::Request(ClusterRequest::Leave(reply)) => {
                self.leave();
                let _ = reply.send(());
                return Progress::Finished;
            }
        }
        Progress::Continue
    }

    fn tick(&mut self) {
        let mut out = Vec::new();
        self.read_waiting_datagrams(&mut out);
        self.membership
            .tick(self.dependencies.clock.now(), &mut out);
        self.ticks = self.ticks.wrapping_add(1);
        if self.ticks.is_multiple_of(ADVICE_INTERVAL_TICKS) {
            self.pass_on_advice();
        }
        self.carry_out(out);
    }

    /// What arrived during a pause is read before the pause itself is judged.
    fn read_waiting_datagrams(&mut self, out: &mut Vec<Output>) {
        for _ in 0..MAX_DATAGRAMS_PER_TICK {
            match self.socket.try_recv_from(&mut self.buffer) {
                Ok((length, _)) => {
                    let now = self.dependencies.clock.now();
                    self.membership
                        .on_datagram(now, &self.buffer[..length], out);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // A peer's port that is closed is reported here; it says nothing of this socket.
                Err(_) => {}
            }
        }
    }

    fn handle_datagram(&mut self, length: usize) {
        let mut out = Vec::new();
        let now = self.dependencies.clock.now();
        self.membership
            .on_datagram(now, &self.buffer[..length], &mut out);
        self.carry_out(out);
    }

    fn publish_phase(&mut self) {
        let phase = gossip_phase(*self.dependencies.phase_updates.borrow_and_update());
        let now = self.dependencies.clock.now();
        self.membership.publish(now, GossipValue::Phase(phase));
    }

    fn publish_outliers(&mut self) {
        let servers = self
            .dependencies
            .outlier_updates
            .borrow_and_update()
            .endpoint_ids
            .clone();
        let now = self.dependencies.clock.now();
        self.membership.publish(now, GossipValue::Outliers(servers));
    }

    fn leave(&mut self) {
        let mut out = Vec::new();
        self.membership
            .leave(self.dependencies.clock.now(), &mut out);
        self.carry_out(out);
    }

    /// Passes on the outliers that enough members report, as long as there are any, and logs changes.
    fn pass_on_advice(&mut self) {
        let listed_servers = self.dependencies.outlier_updates.borrow().endpoint_count;
        let reports = self.membership.outlier_reports();
        let live_members = self.membership.view().live_count();
        let confirmed = outlier_advice::confirmed_outliers(&reports, live_members, listed_servers);
        if !confirmed.is_empty() {
            // A core that is too busy gets the advice anew at the next interval.
            let advice = CoreMessage::OutlierAdvice(confirmed.clone());
            let _ = self.dependencies.core_messages.try_send(advice);
        }
        if confirmed != self.confirmed_outliers {
            tracing::info!(
                servers = confirmed.join(", "),
                "outliers reported by the cluster"
            );
            self.confirmed_outliers = confirmed;
        }
    }

    fn carry_out(&self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::SendDatagram { to, bytes } => {
                    // A datagram that can't be sent is one that was lost, which the protocol tolerates.
                    let _ = self.socket.try_send_to(&bytes, to);
                }
                Output::MemberChanged { id, name, state } => log_member_change(&id, name, state),
                Output::MemberReplaced { earlier, later } => tracing::warn!(
                    member = format!("{:016x}", later.name.0),
                    previous = %earlier.address,
                    current = %later.address,
                    "member replaced by a newer process"
                ),
                Output::QuorumChanged(quorum_view) => {
                    tracing::info!(?quorum_view, "quorum view changed");
                }
                Output::Rejoined => tracing::warn!("rejoined the cluster"),
                Output::Paused(seconds) => tracing::warn!(seconds, "process was paused"),
            }
        }
    }
}

/// Logs a member's new state. A member whose name has not arrived yet is logged by its hash.
fn log_member_change(id: &MemberId, name: Option<String>, state: MemberState) {
    let member = name.unwrap_or_else(|| format!("{:016x}", id.name.0));
    match state {
        MemberState::Alive => tracing::info!(member, address = %id.address, "member alive"),
        MemberState::Suspected => tracing::info!(member, "member suspected"),
        MemberState::Failed => tracing::warn!(member, "member failed"),
        MemberState::Left => tracing::info!(member, "member left"),
    }
}

/// The phase that is published to other members.
fn gossip_phase(phase: ServingPhase) -> gossip_state::MemberPhase {
    match phase {
        ServingPhase::Starting => gossip_state::MemberPhase::Starting,
        ServingPhase::Serving => gossip_state::MemberPhase::Serving,
        ServingPhase::DrainedByOperator => gossip_state::MemberPhase::Draining,
        ServingPhase::ShuttingDown
        | ServingPhase::IdleConnectionsClosing
        | ServingPhase::PartialRequestsRejected => gossip_state::MemberPhase::Stopping,
    }
}
