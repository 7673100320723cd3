//! Messages to the core from other tasks, and what the core publishes for the cluster.

use super::{ConnectionReport, EndpointListUpdate, ServedConfiguration};
use cairnroad_admin::reconfigure::ReconfigureError;
use cairnroad_admin::request::{AdminRequest, AdminResponse};
use cairnroad_types::Time;
use std::sync::Arc;
use tokio::sync::oneshot;

/// A message to the core. The core reads all that are queued at the start of each tick.
pub enum CoreMessage {
    /// Discovery has an update of the endpoint list.
    Endpoints(EndpointListUpdate),
    /// A connection reports an event.
    Connection(ConnectionReport),
    /// An operator's request.
    Admin {
        /// The request.
        request: AdminRequest,
        /// Receives the response once the request is carried out.
        reply: oneshot::Sender<AdminResponse>,
    },
    /// The ids of endpoints that other coordinators consider outliers.
    OutlierAdvice(Vec<String>),
    /// The program shuts down: every open request needs its final answer by this time.
    LimitDeadlines(Time),
    /// A reloaded configuration.
    Reconfigure {
        /// The configuration to apply.
        configuration: Box<ServedConfiguration>,
        /// Receives the configuration in force afterwards, or why it did not change.
        reply: oneshot::Sender<Result<Arc<ServedConfiguration>, ReconfigureError>>,
    },
}

/// The outliers that this coordinator found by its own attempts, published for gossip.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalOutliers {
    /// Ids of the outliers.
    pub endpoint_ids: Vec<String>,
    /// How many endpoints the list names in total.
    pub endpoint_count: usize,
}
