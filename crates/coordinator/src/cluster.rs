//! The cluster task: I/O of this coordinator's membership in its cluster.
//!
//! The task owns the UDP socket. It passes received datagrams and the time to [`Membership`], which makes all
//! decisions, sends the datagrams that it returns, logs changes, and exchanges outliers with the core.

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

/// Maximum number of datagrams read in one tick. A flood of datagrams must not occupy the core's thread.
const MAX_DATAGRAMS_PER_TICK: usize = 1_024;
/// Interval, in ticks, at which outlier advice is passed to the core.
const ADVICE_INTERVAL_TICKS: u32 = 10;
/// Capacity of the channel for requests to the cluster task.
const REQUEST_CHANNEL_CAPACITY: usize = 16;
/// Time limit for the cluster task to announce that this coordinator leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(100);

/// An error that prevents this coordinator from joining its cluster.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The UDP socket can't be bound.
    #[error("peers.listen: can't bind UDP socket to {address}: {source}")]
    Bind {
        /// The address of the setting `peers.listen`.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

impl ClusterError {
    /// Returns a hint for the operator on how to fix the error.
    pub fn help(&self) -> &'static str {
        match self {
            ClusterError::Bind { .. } => {
                "free the port or set another one in 'peers.listen'; port 0 selects any free port, which 'peers.advertise' can't announce"
            }
        }
    }
}

/// Handle by which other tasks send requests to the cluster task.
pub struct ClusterHandle {
    requests: mpsc::Sender<ClusterRequest>,
}

/// A request to the cluster task, with the channel for the response.
enum ClusterRequest {
    /// Render the page of `GET /v1/peers`.
    MembersPage(oneshot::Sender<String>),
    /// Announce that this coordinator leaves, and end the cluster task.
    Leave(oneshot::Sender<()>),
}

impl ClusterHandle {
    /// Returns the page of `GET /v1/peers` as JSON; `None` if the task has ended or too many requests are waiting.
    pub async fn members_page(&self) -> Option<String> {
        let (reply, page) = oneshot::channel();
        self.requests
            .try_send(ClusterRequest::MembersPage(reply))
            .ok()?;
        page.await.ok()
    }

    /// Announces to the other members that this coordinator leaves.
    pub async fn leave(&self) {
        let (reply, announced) = oneshot::channel();
        if self
            .requests
            .send(ClusterRequest::Leave(reply))
            .await
            .is_ok()
        {
            // Without the announcement, the other members detect a failure instead of a departure.
            let _ = tokio::time::timeout(LEAVE_TIMEOUT, announced).await;
        }
    }
}

/// The values that the cluster task needs in addition to its settings.
pub struct ClusterDependencies {
    /// This coordinator's name.
    pub name: String,
    /// Seed of the membership's random number generator.
    pub random_seed: u64,
    /// The program's clock.
    pub clock: Clock,
    /// Updates of the serving phase, which is published to the cluster.
    pub phase_updates: watch::Receiver<ServingPhase>,
    /// Updates of the outliers that this coordinator's own requests identify, which are published to the cluster.
    pub outlier_updates: watch::Receiver<LocalOutliers>,
    /// The channel of messages to the core, which receives outlier advice.
    pub core_messages: mpsc::Sender<CoreMessage>,
}

/// Binds the socket and spawns the cluster task on the current thread. The task ends with
/// [`ClusterHandle::leave`].
pub async fn start(
    settings: &configuration::ClusterSettings,
    dependencies: ClusterDependencies,
) -> Result<ClusterHandle, ClusterError> {
    let bind_error = |source| ClusterError::Bind {
        address: settings.listen_address,
        source,
    };
    let socket = UdpSocket::bind(settings.listen_address)
        .await
        .map_err(bind_error)?;
    let bound = socket.local_addr().map_err(bind_error)?;
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
    let (sender, requests) = mpsc::channel(REQUEST_CHANNEL_CAPACITY);
    let task = ClusterTask {
        socket,
        membership: Membership::new(config, now),
        requests,
        dependencies,
        buffer: [0; MAX_DATAGRAM_BYTES + 1],
        tick_count: 0,
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
    /// One byte longer than the largest valid datagram, so that longer ones are detected.
    buffer: [u8; MAX_DATAGRAM_BYTES + 1],
    tick_count: u32,
    /// The outlier advice that was last logged.
    confirmed_outliers: Vec<String>,
}

/// An event that the cluster task waits for.
enum Input {
    Tick,
    /// A datagram of this length, in bytes, is in the buffer.
    Datagram(usize),
    /// A read from the socket failed.
    ReceiveFailed,
    PhaseChanged,
    OutliersChanged,
    Request(ClusterRequest),
}

/// Whether the cluster task continues after an input.
#[derive(PartialEq)]
enum Progress {
    Continue,
    Finished,
}

impl ClusterTask {
    async fn run(mut self) {
        let mut interval = tokio::time::interval(Duration::from_secs_f64(TICK_INTERVAL));
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // Publishes the phase that was reached before the task started.
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
            Input::Request(ClusterRequest::MembersPage(reply)) => {
                let now = self.dependencies.clock.now();
                let page = page::render(&self.membership, &self.dependencies.name, now);
                // The requester may have given up waiting.
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
        self.tick_count = self.tick_count.wrapping_add(1);
        if self.tick_count.is_multiple_of(ADVICE_INTERVAL_TICKS) {
            self.forward_outlier_advice();
        }
        self.handle_outputs(out);
    }

    /// Reads all waiting datagrams. Datagrams that arrived during a pause of the process have to be handled before the
    /// tick that detects the pause.
    fn read_waiting_datagrams(&mut self, out: &mut Vec<Output>) {
        for _ in 0..MAX_DATAGRAMS_PER_TICK {
            match self.socket.try_recv_from(&mut self.buffer) {
                Ok((length, _)) => {
                    let now = self.dependencies.clock.now();
                    self.membership
                        .on_datagram(now, &self.buffer[..length], out);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // The error concerns an earlier send, such as to a closed port of a peer, and not this socket.
                Err(_) => {}
            }
        }
    }

    fn handle_datagram(&mut self, length: usize) {
        let mut out = Vec::new();
        let now = self.dependencies.clock.now();
        self.membership
            .on_datagram(now, &self.buffer[..length], &mut out);
        self.handle_outputs(out);
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
        self.handle_outputs(out);
    }

    /// Sends the core the outliers that enough members report, if there are any, and logs changes.
    fn forward_outlier_advice(&mut self) {
        let listed_server_count = self.dependencies.outlier_updates.borrow().endpoint_count;
        let reports = self.membership.outlier_reports();
        let live_member_count = self.membership.view().live_count();
        let confirmed =
            outlier_advice::confirmed_outliers(&reports, live_member_count, listed_server_count);
        if !confirmed.is_empty() {
            // If the core's channel is full, the advice is sent again after the next interval.
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

    fn handle_outputs(&self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::SendDatagram { to, bytes } => {
                    // The protocol tolerates lost datagrams, so one that can't be sent is dropped.
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

/// Logs a member's new state. If the member's name has not arrived yet, its hash is logged.
fn log_member_change(id: &MemberId, name: Option<String>, state: MemberState) {
    let member = name.unwrap_or_else(|| format!("{:016x}", id.name.0));
    match state {
        MemberState::Alive => tracing::info!(member, address = %id.address, "member alive"),
        MemberState::Suspected => tracing::info!(member, "member suspected"),
        MemberState::Failed => tracing::warn!(member, "member failed"),
        MemberState::Left => tracing::info!(member, "member left"),
    }
}

/// Returns the phase that is published to other members for a serving phase of this process.
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
