//! The limits of the connection pool, derived from the settings.

use crate::configuration::{BackendKind, Config};
use cairnroad_settings::Deployment;
use cairnroad_types::Seconds;

/// Maximum number of commands that wait for a connection task. A task whose queue is full is considered hung.
pub(super) const COMMAND_QUEUE_LENGTH: usize = 256;
/// The unanswered time after which a connection is unresponsive and gets no further calls, as a share of the shortest
/// latency objective. The server's machine, or only the connection, may be gone. A new connection either answers or
/// fails within the dial timeout, which proves that a part never ran, whereas a missing answer proves nothing. A
/// working connection receives many answers in this time.
pub(super) const UNRESPONSIVE_SHARE: f64 = 0.25;
/// Number of unresponsive connections to a server at which they are used again instead of dialling further ones: if the
/// server as a whole is slow, more connections do not help.
pub(super) const MAX_UNRESPONSIVE_PER_SERVER: usize = 3;
/// Idle connections are closed after this share of the keepalive time, at the end of which the server would close them.
pub(super) const IDLE_SHARE: f64 = 0.7;
/// Maximum time between two sweeps, in seconds.
const MAX_SWEEP_INTERVAL: Seconds = 0.5;
/// Maximum time between two sweeps, as a share of the keepalive time: each idle connection must be found before its
/// server closes it.
const SWEEP_SHARE: f64 = 0.1;

/// The limits of a connection pool.
pub(super) struct Limits {
    /// Maximum number of connections to all servers together.
    pub(super) max_connections: usize,
    /// Maximum number of parts in flight on a connection.
    pub(super) max_parts_per_connection: usize,
    /// Maximum number of parts in a call.
    pub(super) max_parts_per_call: usize,
    /// Maximum duration of a dial, in seconds.
    pub(super) dial_timeout: Seconds,
    /// Time after which an idle connection is closed, in seconds.
    pub(super) idle_timeout: Seconds,
    /// Unanswered time after which a connection gets no further calls, in seconds.
    pub(super) unresponsive_after: Seconds,
}

impl Limits {
    pub(super) fn new(config: &Config) -> Self {
        let deployment = &config.served.deployment;
        let max_per_connection = deployment.max_parts_per_connection;
        let (max_parts_per_connection, max_parts_per_call) = match config.backend {
            BackendKind::Frames => {
                let max_per_call = deployment.policy.max_parts_per_call as usize;
                (max_per_connection, max_per_call.min(max_per_connection))
            }
            // An HTTP/1.1 connection carries one request at a time, and each part is a separate search request.
            BackendKind::OpenSearch => (1, 1),
        };
        Limits {
            max_connections: config.limits.max_server_connections,
            max_parts_per_connection,
            max_parts_per_call,
            dial_timeout: deployment.connect_timeout,
            idle_timeout: deployment.idle_timeout * IDLE_SHARE,
            unresponsive_after: unresponsive_after(deployment),
        }
    }
}

/// Returns the unanswered time after which a connection gets no further calls, in seconds.
pub(super) fn unresponsive_after(deployment: &Deployment) -> Seconds {
    deployment.shortest_latency_objective() * UNRESPONSIVE_SHARE
}

/// Returns the interval at which the pool is swept, in seconds.
pub fn sweep_interval(deployment: &Deployment) -> Seconds {
    MAX_SWEEP_INTERVAL.min(SWEEP_SHARE * deployment.idle_timeout)
}
