//! The admin API: operators' requests over HTTP/1.1 on a separate listener, one request per connection.
//!
//! [`cairnroad_admin::request`] parses the requests; the pipeline's task carries them out. This module owns the
//! listener ([`listen`]), the limit on open connections ([`open_connections`]), the exchange on one connection
//! ([`exchange`]) and the stored suspensions ([`suspension_store`]).

mod exchange;
mod open_connections;
pub mod suspension_store;

use crate::cluster::ClusterHandle;
use crate::connections::discard::DiscardLimiter;
use crate::messages::{CoreMessage, ServingPhase};
use cairnroad_admin::request::{AdminRequest, AdminResponse, UnavailableReason};
use open_connections::{OpenConnections, RequestReceived};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// Time limit for the pipeline to carry out a request. The pipeline runs every few milliseconds; the limit guards
/// against one that hangs.
const PIPELINE_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval of checks for a free slot while all connections carry out requests.
const FREE_SLOT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Pause after a failed accept, since descriptors may run out for a short time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// State shared by the tasks of all admin connections.
struct AdminApi {
    pipeline: mpsc::Sender<CoreMessage>,
    phase: Rc<watch::Sender<ServingPhase>>,
    cluster: Option<Rc<ClusterHandle>>,
    /// Limits the rate at which admin connections discard what their clients still send.
    discards: DiscardLimiter,
}

/// Accepts admin connections for as long as the process lives, and spawns a task for each.
pub async fn listen(
    listener: TcpListener,
    pipeline: mpsc::Sender<CoreMessage>,
    phase: Rc<watch::Sender<ServingPhase>>,
    cluster: Option<Rc<ClusterHandle>>,
) {
    let api = Rc::new(AdminApi {
        pipeline,
        phase,
        cluster,
        discards: DiscardLimiter::default(),
    });
    let mut connections = OpenConnections::default();
    loop {
        while connections.is_full() {
            tokio::time::sleep(FREE_SLOT_POLL_INTERVAL).await;
        }
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "admin connection not accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        connections.make_room();
        let received = RequestReceived::default();
        let task = exchange::serve(stream, api.clone(), received.clone());
        connections.add(tokio::task::spawn_local(task).abort_handle(), received);
    }
}

impl AdminApi {
    /// Returns the cluster's members as JSON; `None` if this coordinator is in no cluster, or the cluster's task does
    /// not respond in time.
    async fn cluster_members(&self) -> Option<String> {
        let members = self.cluster.as_ref()?.members_page();
        timeout(PIPELINE_TIMEOUT, members).await.ok().flatten()
    }

    /// Returns whether this process is ready to serve.
    fn readiness(&self) -> AdminResponse {
        match *self.phase.borrow() {
            ServingPhase::Serving => AdminResponse::Done,
            ServingPhase::Starting => AdminResponse::Unavailable(UnavailableReason::Starting),
            ServingPhase::DrainedByOperator => {
                AdminResponse::Unavailable(UnavailableReason::Drained)
            }
            ServingPhase::ShuttingDown
            | ServingPhase::IdleConnectionsClosing
            | ServingPhase::PartialRequestsRejected => {
                AdminResponse::Unavailable(UnavailableReason::ShuttingDown)
            }
        }
    }

    /// Sends a request to the pipeline and returns its response.
    async fn execute(&self, request: AdminRequest) -> AdminResponse {
        let busy = AdminResponse::Unavailable(UnavailableReason::Busy);
        let (reply, response) = oneshot::channel();
        let message = CoreMessage::Admin { request, reply };
        if self.pipeline.try_send(message).is_err() {
            return busy;
        }
        match timeout(PIPELINE_TIMEOUT, response).await {
            Ok(Ok(response)) => response,
            _ => busy,
        }
    }
}
