//! The task that watches the discovery agent and passes its endpoint list on to the pipeline.

use crate::clock::Clock;
use crate::contract::{Contracts, ObservedMessage};
use crate::discovery::agent_connection::{
    target, AgentConnection, PolledResponse, MAX_LIST_MEMORY,
};
use crate::discovery::endpoint_list::EndpointListPayload;
use crate::discovery::late_polls::LatePolls;
use crate::memory::MemoryPool;
use crate::messages::{ContractsInForce, CoreMessage, ServedConfiguration};
use cairnroad_contract::drift::Interface;
use cairnroad_contract::schema::Direction;
use cairnroad_discovery_watch::{DiscoveryWatch, WatchError};
use cairnroad_types::Seconds;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Channel of the published description to which polls and lists belong.
const CONTRACT_CHANNEL: &str = "watch";
/// Name of the agent in the log of contract violations.
const CONTRACT_PARTY: &str = "agent";

/// Watches the agent until the pipeline ends, and sends every list to the pipeline.
///
/// A new agent address cancels the polls in flight, or the backoff before the next one, because the old agent may never
/// respond. The watch then restarts at the new agent.
pub async fn watch_endpoints(
    mut agents: watch::Receiver<SocketAddr>,
    pipeline: mpsc::Sender<CoreMessage>,
    served: watch::Receiver<Arc<ServedConfiguration>>,
    contracts: Rc<Contracts>,
    clock: Clock,
) {
    let mut task = WatchTask {
        watch: DiscoveryWatch::new(clock.now()),
        late_polls: LatePolls::default(),
        list_memory: MemoryPool::new(MAX_LIST_MEMORY),
        pipeline,
        served,
        contracts,
        clock,
    };
    loop {
        let agent = *agents.borrow_and_update();
        tokio::select! {
            biased;
            Ok(()) = agents.changed() => {
                task.late_polls.clear();
                task.watch.on_agent_changed(task.clock.now());
            }
            () = task.follow(agent) => return,
        }
    }
}

/// The state of the task.
struct WatchTask {
    watch: DiscoveryWatch,
    /// The polls whose time limit has passed. A slow agent may still respond to them, while a silent connection would
    /// never bring a response: so the watch goes on with a new poll, and takes whichever response comes first.
    late_polls: LatePolls,
    /// The memory for lists that are being received.
    list_memory: MemoryPool,
    pipeline: mpsc::Sender<CoreMessage>,
    /// The settings in force, which state the grace period of drains.
    served: watch::Receiver<Arc<ServedConfiguration>>,
    contracts: Rc<Contracts>,
    clock: Clock,
}

impl WatchTask {
    /// Follows one agent until the pipeline ends.
    async fn follow(&mut self, agent: SocketAddr) {
        let mut polled = self.poll_after(agent, 0.0).await;
        while !self.pipeline.is_closed() {
            let applied = match polled {
                Ok(polled) => self.apply(agent, polled).await,
                Err(error) => Err(error),
            };
            polled = match applied {
                Ok(Some(connection)) => self.poll(connection).await,
                Ok(None) => {
                    self.poll_after(agent, self.watch.on_connection_closed())
                        .await
                }
                Err(error) => {
                    let backoff = self.on_fault(agent, &error);
                    self.poll_after(agent, backoff).await
                }
            };
        }
    }

    /// Records a fault. Returns the backoff before the next poll.
    fn on_fault(&mut self, agent: SocketAddr, error: &WatchError) -> Seconds {
        let drain_grace = self.served.borrow().deployment.policy.drain_grace;
        let backoff = self.watch.on_fault(error, drain_grace);
        if error.invalidates_revision() {
            // Their responses would be changes since a revision that is not valid any more.
            self.late_polls.clear();
        }
        let consecutive_faults = self.watch.consecutive_faults();
        tracing::warn!(server = %agent, %error, consecutive_faults, help = error.help(), "discovery watch restarted");
        backoff
    }

    /// Sends the next poll on a new connection after the backoff, unless a late response arrives before.
    async fn poll_after(
        &mut self,
        agent: SocketAddr,
        backoff: Seconds,
    ) -> Result<PolledResponse, WatchError> {
        let memory = self.list_memory.empty_reservation();
        let open = async {
            tokio::time::sleep(Duration::from_secs_f64(backoff)).await;
            AgentConnection::open(agent, memory).await
        };
        let connection = tokio::select! {
            biased;
            late = self.late_polls.next_response() => return Ok(late),
            opened = open => opened?,
        };
        self.poll(connection).await
    }

    /// Sends the next poll, and checks it against the contracts in force. Returns the first response to it or to a late
    /// poll. After its time limit it becomes a late poll.
    async fn poll(&mut self, connection: AgentConnection) -> Result<PolledResponse, WatchError> {
        let poll = self.watch.next_poll();
        let target = target(poll.request);
        let contracts_in_force = self.contracts.current();
        self.check_poll(&contracts_in_force, &target);
        let mut response = Box::pin(connection.poll(target, contracts_in_force));
        tokio::select! {
            biased;
            polled = &mut response => return polled,
            late = self.late_polls.next_response() => return Ok(late),
            () = tokio::time::sleep(Duration::from_secs_f64(poll.response_timeout)) => {}
        }
        self.late_polls.add(response);
        Err(WatchError::ResponseTimeout {
            secs: poll.response_timeout,
        })
    }

    /// Passes a list on to the pipeline, and gives up all other polls. Returns the connection for the next poll; `None` if
    /// the agent closes it.
    async fn apply(
        &mut self,
        agent: SocketAddr,
        polled: PolledResponse,
    ) -> Result<Option<AgentConnection>, WatchError> {
        let response = polled.response;
        self.check_list(&polled.contracts, &response.body);
        let payload: EndpointListPayload =
            serde_json::from_slice(&response.body).map_err(WatchError::InvalidEndpointList)?;
        let update = payload.into_update();
        self.late_polls.clear();
        if self.watch.on_response(self.clock.now(), update.revision) {
            tracing::warn!(server = %agent, revision = update.revision, "endpoint list arrived after the notification deadline");
        }
        // Sending fails if the pipeline has ended, which ends the watch.
        let _ = self.pipeline.send(CoreMessage::Endpoints(update)).await;
        Ok((!response.closes_connection).then_some(polled.connection))
    }

    /// Checks a poll against the contracts, which never reject discovery traffic.
    fn check_poll(&self, in_force: &ContractsInForce, target: &str) {
        let message = ObservedMessage {
            channel: CONTRACT_CHANNEL,
            name: "ask",
            direction: Direction::Request,
            payload: b"",
        };
        self.contracts.check_message(
            in_force,
            Interface::Discovery,
            &Arc::from(CONTRACT_PARTY),
            message,
            || target.to_string(),
            query_parameters,
        );
    }

    /// Checks an endpoint list against the contracts, which never reject discovery traffic.
    fn check_list(&self, in_force: &ContractsInForce, payload: &[u8]) {
        let message = ObservedMessage {
            channel: CONTRACT_CHANNEL,
            name: "list",
            direction: Direction::Response,
            payload,
        };
        self.contracts.check_message(
            in_force,
            Interface::Discovery,
            &Arc::from(CONTRACT_PARTY),
            message,
            String::new,
            |_| json!({}),
        );
    }
}

/// Returns a target's query parameters as a JSON object; a value that is not a number becomes `null`.
fn query_parameters(target: &str) -> Value {
    let (_path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let parameters =
        pairs.map(|(name, value)| (name.to_string(), json!(value.parse::<u64>().ok())));
    Value::Object(parameters.collect())
}
