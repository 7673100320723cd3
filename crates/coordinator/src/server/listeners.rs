//! The listeners for clients, one per front.

use super::context::Context;
use super::error::ServerError;
use crate::configuration::Config;
use crate::fronts;
use crate::fronts::{Front, FrontKind};
use crate::messages::ServingPhase;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Number of connections that may wait to be accepted. While all slots are occupied, as many clients again may connect at
/// once; the system drops further ones, which try again a second later.
const LISTEN_BACKLOG: u32 = 4096;

/// The accepting tasks of all fronts.
pub struct ClientListeners {
    tasks: Vec<JoinHandle<()>>,
    /// Whether the platform's listening socket is inherited, so that another process may accept from it too.
    is_shared: bool,
}

impl ClientListeners {
    /// Opens a listener for each enabled front and starts to accept connections.
    ///
    /// `inherited` replaces the socket of the platform's front.
    pub async fn start(
        config: &Config,
        inherited: Option<std::net::TcpListener>,
        context: &Context,
    ) -> Result<ClientListeners, ServerError> {
        let is_shared = inherited.is_some();
        let platform = listen(config, config.listen, FrontKind::Platform, inherited)?;
        let mut tasks = vec![accept(
            config,
            platform,
            FrontKind::Platform,
            is_shared,
            context,
        )];
        if let Some(address) = config.opensearch_listen {
            let opensearch = listen(config, address, FrontKind::OpenSearch, None)?;
            tasks.push(accept(
                config,
                opensearch,
                FrontKind::OpenSearch,
                is_shared,
                context,
            ));
        }
        Ok(ClientListeners { tasks, is_shared })
    }

    /// Stops accepting if another process shares the socket, so that new connections go to that process.
    pub fn hand_over(&self) {
        if self.is_shared {
            self.tasks.iter().for_each(JoinHandle::abort);
        }
    }
}

fn listen(
    config: &Config,
    address: SocketAddr,
    kind: FrontKind,
    inherited: Option<std::net::TcpListener>,
) -> Result<TcpListener, ServerError> {
    let error = |source| ServerError::Listen { address, source };
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener),
        None => bind(address),
    };
    let listener = listener.map_err(error)?;
    let bound = listener.local_addr().map_err(error)?;
    tracing::info!(name = config.name, front = label(kind), address = %bound, "listening");
    Ok(listener)
}

/// Opens a listening socket. Another process on this address that has ended does not prevent that.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

fn label(kind: FrontKind) -> &'static str {
    match kind {
        FrontKind::Platform => "platform",
        FrontKind::OpenSearch => "opensearch",
    }
}

/// Starts the accepting task of one front.
fn accept(
    config: &Config,
    listener: TcpListener,
    kind: FrontKind,
    is_shared: bool,
    context: &Context,
) -> JoinHandle<()> {
    let front = Front {
        served: context.served_configuration.clone(),
        request_queue: context.requests.clone(),
        clock: context.clock.clone(),
        phase: context.phase.subscribe(),
        limits: config.limits,
        connections: context.connections.clone(),
        kind,
        request_name_state: Cell::new(config.seed),
        contracts: context.contracts.clone(),
    };
    let phase = context.phase.subscribe();
    let listeners_closed = context.listeners_closed.subscribe();
    tokio::task::spawn_local(async move {
        // The other process accepts clients from a shared socket until this process can serve.
        if is_shared && !has_started(phase).await {
            return;
        }
        fronts::listen(listener, Rc::new(front), listeners_closed).await;
    })
}

/// Waits until the start is complete; returns false if the program ends before that.
async fn has_started(mut phase: watch::Receiver<ServingPhase>) -> bool {
    let started = phase
        .wait_for(|phase| *phase != ServingPhase::Starting)
        .await;
    started.is_ok()
}
