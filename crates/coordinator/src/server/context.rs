//! State shared by the tasks of the program, and the channels between them.

use crate::clock::Clock;
use crate::configuration::Config;
use crate::contract::Contracts;
use crate::fronts::client_connections::ClientConnections;
use crate::messages::{ClientRequest, CoreMessage, ServedConfiguration, ServingPhase};
use crate::observability::shed_counts::ShedCounts;
use crate::pipeline::request_queue::REQUEST_QUEUE_CAPACITY;
use crate::pipeline::CoreChannels;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Capacity of the queue of messages from connections and discovery to the decision loop's next tick.
const MESSAGE_QUEUE_CAPACITY: usize = 4096;

/// Senders and state that all tasks share.
pub struct Context {
    /// The program's clock.
    pub clock: Clock,
    /// The interface descriptions in force, and those that the coordinator publishes.
    pub contracts: Rc<Contracts>,
    /// Sends clients' requests to the decision loop.
    pub requests: mpsc::Sender<ClientRequest>,
    /// Sends all other messages to the decision loop.
    pub messages: mpsc::Sender<CoreMessage>,
    /// The program's phase. The decision loop ends `Starting`; the shutdown sets the last phases.
    pub phase: Rc<watch::Sender<ServingPhase>>,
    /// Whether the client listeners are to be closed.
    pub listeners_closed: watch::Sender<bool>,
    /// The settings that clients' requests are served by.
    pub served_configuration: watch::Receiver<Arc<ServedConfiguration>>,
    /// The client connections of all fronts.
    pub connections: Rc<ClientConnections>,
}

impl Context {
    /// Creates the channels. The decision loop owns the second part of the result.
    pub fn new(config: &Config, clock: Clock, contracts: Rc<Contracts>) -> (Context, CoreChannels) {
        let (request_sender, requests) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let (message_sender, messages) = mpsc::channel(MESSAGE_QUEUE_CAPACITY);
        let (served_sender, served_configuration) = watch::channel(config.served.clone());
        let phase = Rc::new(watch::Sender::new(ServingPhase::Starting));
        let shed_counts = ShedCounts::default();
        let client_memory = config.limits.buffers.clients;
        let core = CoreChannels {
            requests,
            messages,
            message_sender: message_sender.clone(),
            phase: phase.clone(),
            served_configuration: served_sender,
            shed_counts: shed_counts.clone(),
        };
        let context = Context {
            clock,
            contracts,
            requests: request_sender,
            messages: message_sender,
            phase,
            listeners_closed: watch::Sender::new(false),
            served_configuration,
            connections: Rc::new(ClientConnections::new(client_memory, shed_counts)),
        };
        (context, core)
    }
}
