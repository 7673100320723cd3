//! The task that watches the discovery agent and passes its endpoint list on to the pipeline.

use crate::clock::Clock;
use crate::contract::{Contracts, ObservedMessage};
use crate::discovery::agent_connection::{target, AgentConnection};
use crate::discovery::endpoint_list::EndpointListPayload;
use crate::http;
use crate::messages::{ContractsInForce, CoreMessage, ServedConfiguration};
use cairnroad_contract::drift::Interface;
use cairnroad_contract::schema::Direction;
use cairnroad_discovery_watch::{DiscoveryWatch, WatchError};
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
/// A new agent address cancels the poll in flight, or the backoff before the next one, because the old agent may never
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
        pipeline,
        served,
        contracts,
        clock,
    };
    loop {
        let agent = *agents.borrow_and_update();
        let agent_changed = tokio::select! {
            biased;
            Ok(()) = agents.changed() => true,
            () = task.run_connection_and_back_off(agent) => false,
        };
        if agent_changed {
            task.watch.on_agent_changed(task.clock.now());
        }
        if task.pipeline.is_closed() {
            return;
        }
    }
}

/// The state of the task.
struct WatchTask {
    watch: DiscoveryWatch,
    pipeline: mpsc::Sender<CoreMessage>,
    /// The settings in force, which state the grace period of drains.
    served: watch::Receiver<Arc<ServedConfiguration>>,
    contracts: Rc<Contracts>,
    clock: Clock,
}

impl WatchTask {
    async fn run_connection_and_back_off(&mut self, agent: SocketAddr) {
        let backoff = match self.run_connection(agent).await {
            Ok(()) => self.watch.on_connection_closed(),
            Err(error) => {
                let drain_grace = self.served.borrow().deployment.policy.drain_grace;
                let backoff = self.watch.on_fault(&error, drain_grace);
                let consecutive_faults = self.watch.consecutive_faults();
                tracing::warn!(server = %agent, %error, consecutive_faults, help = error.help(), "discovery watch restarted");
                backoff
            }
        };
        tokio::time::sleep(Duration::from_secs_f64(backoff)).await;
    }

    /// Sends polls on one connection until the agent closes it or the pipeline ends.
    async fn run_connection(&mut self, agent: SocketAddr) -> Result<(), WatchError> {
        let mut connection = AgentConnection::open(agent).await?;
        loop {
            let response = self.poll(&mut connection).await?;
            let payload: EndpointListPayload =
                serde_json::from_slice(&response.body).map_err(WatchError::InvalidEndpointList)?;
            let update = payload.into_update();
            if self.watch.on_response(self.clock.now(), update.revision) {
                tracing::warn!(server = %agent, revision = update.revision, "endpoint list arrived after the notification deadline");
            }
            let pipeline_ended = self
                .pipeline
                .send(CoreMessage::Endpoints(update))
                .await
                .is_err();
            if pipeline_ended || response.closes_connection {
                return Ok(());
            }
        }
    }

    /// Sends the next poll, and checks it and its response against the contracts in force when it is sent.
    async fn poll(&self, connection: &mut AgentConnection) -> Result<http::Response, WatchError> {
        let poll = self.watch.next_poll();
        let target = target(poll.request);
        let contracts_in_force = self.contracts.current();
        self.check_poll(&contracts_in_force, &target);
        let response = connection.poll(&target, poll.response_timeout).await?;
        self.check_list(&contracts_in_force, &response.body);
        Ok(response)
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
