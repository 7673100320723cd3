//! The clients' listeners, one a front.

use super::context::Context;
use super::error::ServerError;
use crate::configuration::Config;
use crate::fronts;
use crate::fronts::{Front, FrontKind};
use crate::messages::ServingPhase;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The accepting tasks of all fronts.
pub struct ClientListeners {
    tasks: Vec<JoinHandle<()>>,
    /// Whether the platform's listening socket is inherited, so that another process may accept from it too.
    shared: bool,
}

impl ClientListeners {
    /// Opens a listener for each front that is on, and starts to accept.
    ///
    /// `inherited` stands in for the first front's own socket.
    pub async fn start(
        config: &Config,
        inherited: Option<std::net::TcpListener>,
        context: &Context,
    ) -> Result<ClientListeners, ServerError> {
        let shared = inherited.is_some();
        let platform = listen(config, config.listen, FrontKind::Platform, inherited).await?;
        let mut tasks = vec![accept(
            config,
            platform,
            FrontKind::Platform,
            shared,
            context,
        )];
        if let Some(address) = config.opensearch_listen {
            let opensearch = listen(config, address, FrontKind::OpenSearch, None).await?;
            tasks.push(accept(
                config,
                opensearch,
                FrontKind::OpenSearch,
                shared,
                context,
            ));
        }
        Ok(ClientListeners { tasks, shared })
    }

    /// Stops accepting if another process shares the socket: new connections are that process's.
    pub fn hand_over(&self) {
        if self.shared {
            self.tasks.iter().for_each(JoinHandle::abort);
        }
    }
}

async fn listen(
    config: &Config,
    address: SocketAddr,
    kind: FrontKind,
    inherited: Option<std::net::TcpListener>,
) -> Result<TcpListener, ServerError> {
    let error = |source| ServerError::Listen { address, source };
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener),
        None => TcpListener::bind(address).await,
    };
    let listener = listener.map_err(error)?;
    let bound = listener.local_addr().map_err(error)?;
    tracing::info!(name = config.name, front = label(kind), address = %bound, "listening");
    Ok(listener)
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
    shared: bool,
    context: &Context,
) -> JoinHandle<()> {
    let front = Front {
        served: context.served.clone(),
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
    let closed = context.listeners_closed.subscribe();
    tokio::task::spawn_local(async move {
        // Clients that wait at a shared socket are the other process's until this one can serve.
        if shared && !has_started(phase).await {
            return;
        }
        fronts::listen(listener, Rc::new(front), closed).await;
    })
}

/// Waits until the program serves; false if it ends before.
async fn has_started(mut phase: watch::Receiver<ServingPhase>) -> bool {
    let started = phase
        .wait_for(|phase| *phase != ServingPhase::Starting)
        .await;
    started.is_ok()
}
