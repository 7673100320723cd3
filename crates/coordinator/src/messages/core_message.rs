//! Messages from other tasks to the core, and the outliers that the core publishes to the cluster.

use super::{ConnectionReport, EndpointListUpdate, ServedConfiguration};
use cairnroad_admin::reconfigure::ReconfigureError;
use cairnroad_admin::request::{AdminRequest, AdminResponse};
use cairnroad_types::Time;
use std::sync::Arc;
use tokio::sync::oneshot;

/// A message to the core. At the start of each tick, the core processes all queued messages.
pub enum CoreMessage {
    /// An update of the endpoint list from discovery.
    Endpoints(EndpointListUpdate),
    /// An event on a connection to a server.
    Connection(ConnectionReport),
    /// An operator's request from the admin API.
    Admin {
        /// The request to execute.
        request: AdminRequest,
        /// Receives the response once the request has been executed.
        reply: oneshot::Sender<AdminResponse>,
    },
    /// The ids of endpoints that other coordinators consider outliers.
    OutlierAdvice(Vec<String>),
    /// Limits the deadlines of all open requests to this time, because the program shuts down.
    LimitDeadlines(Time),
    /// A reloaded configuration.
    Reconfigure {
        /// The configuration to apply.
        configuration: Box<ServedConfiguration>,
        /// Receives the configuration that is active afterwards, or the reason why nothing changed.
        reply: oneshot::Sender<Result<Arc<ServedConfiguration>, ReconfigureError>>,
    },
}

/// The outliers that this coordinator found by its own attempts, published for gossip.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalOutliers {
    /// The endpoint ids of the outliers.
    pub endpoint_ids: Vec<String>,
    /// Total number of endpoints in the endpoint list.
    pub endpoint_count: usize,
}
