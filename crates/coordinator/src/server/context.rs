//! What the tasks of the program share, and the channels between them.

use crate::clock::Clock;
use crate::configuration::Config;
use crate::contract::Contracts;
use crate::fronts::client_connections::ClientConnections;
use crate::messages::{ClientRequest, CoreMessage, ServedConfiguration, ServingPhase};
use crate::pipeline::request_queue::REQUEST_QUEUE_CAPACITY;
use crate::pipeline::CoreChannels;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Messages from connections and discovery that may wait for the decision loop's next tick.
const MESSAGE_QUEUE: usize = 4096;

/// Senders and shared state, for all tasks.
pub struct Context {
    /// The program's clock.
    pub clock: Clock,
    /// The descriptions in force, and the coordinator's own.
    pub contracts: Rc<Contracts>,
    /// Clients' requests to the decision loop.
    pub requests: mpsc::Sender<ClientRequest>,
    /// All other messages to the decision loop.
    pub messages: mpsc::Sender<CoreMessage>,
    /// The program's phase: the decision loop leaves `Starting`, shutdown goes through the last ones.
    pub phase: Rc<watch::Sender<ServingPhase>>,
    /// Whether client listeners are closed.
    pub listeners_closed: watch::Sender<bool>,
    /// What clients may ask for now.
    pub served: watch::Receiver<Arc<ServedConfiguration>>,
    /// The client connections of all fronts.
    pub connections: Rc<ClientConnections>,
}

impl Context {
    /// Opens the channels. The decision loop owns the second part.
    pub fn new(config: &Config, clock: Clock, contracts: Rc<Contracts>) -> (Context, CoreChannels) {
        let (request_sender, requests) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let (message_sender, messages) = mpsc::channel(MESSAGE_QUEUE);
        let (served_sender, served) = watch::channel(config.served.clone());
        let phase = Rc::new(watch::Sender::new(ServingPhase::Starting));
        let core = CoreChannels {
            requests,
            messages,
            message_sender: message_sender.clone(),
            phase: phase.clone(),
            served_configuration: served_sender,
        };
        let context = Context {
            clock,
            contracts,
            requests: request_sender,
            messages: message_sender,
            phase,
            listeners_closed: watch::Sender::new(false),
            served,
            connections: Rc::default(),
        };
        (context, core)
    }
}
