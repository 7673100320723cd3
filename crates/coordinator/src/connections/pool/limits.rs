//! The pool's limits, as they follow from the settings.

use crate::configuration::{BackendKind, Config};
use cairnroad_settings::Deployment;
use cairnroad_types::Seconds;

/// Commands that may wait for a connection's task. One that lets them pile up has hung.
pub(super) const COMMAND_QUEUE_LENGTH: usize = 256;
/// A connection that awaits an answer and has been silent for this share of the shortest latency objective gets
/// nothing new: its machine may be gone, or the connection alone. A fresh one answers, or fails within the dial
/// timeout, which proves that a part never ran; silence proves nothing. A sound connection brings many answers in
/// that time.
pub(super) const SILENCE_SHARE: f64 = 0.25;
/// Connections to one server that may be silent before further dials stop: where a server is slow as a whole, more
/// would not help it.
pub(super) const MAX_SILENT_PER_SERVER: usize = 3;
/// Idle connections are closed after this share of the keepalive time, after which the server closes them.
pub(super) const IDLE_SHARE: f64 = 0.7;
/// The longest time between two sweeps.
const MAX_SWEEP_INTERVAL: Seconds = 0.5;
/// The longest time between two sweeps as a share of the keepalive time, since each idle connection must be found
/// before its server closes it.
const SWEEP_SHARE: f64 = 0.1;

/// The pool's limits.
pub(super) struct Limits {
    /// Connections in all.
    pub(super) max_connections: usize,
    /// Parts that may be in flight on one connection.
    pub(super) max_parts_per_connection: usize,
    /// Parts of one call.
    pub(super) max_parts_per_call: usize,
    /// How long a dial may take.
    pub(super) dial_timeout: Seconds,
    /// How long a connection may stand idle.
    pub(super) idle_timeout: Seconds,
    /// The silence after which a connection gets nothing new.
    pub(super) silence: Seconds,
}

impl Limits {
    pub(super) fn new(config: &Config) -> Self {
        let deployment = &config.served.deployment;
        let streams = deployment.max_parts_per_connection;
        let (max_parts_per_connection, max_parts_per_call) = match config.backend {
            BackendKind::Frames => {
                let max_parts_per_call = deployment.policy.max_parts_per_call as usize;
                (streams, max_parts_per_call.min(streams))
            }
            // HTTP/1.1 carries one request at a time, and a search is a request of its own.
            BackendKind::OpenSearch => (1, 1),
        };
        Limits {
            max_connections: config.limits.max_server_connections,
            max_parts_per_connection,
            max_parts_per_call,
            dial_timeout: deployment.connect_timeout,
            idle_timeout: deployment.idle_timeout * IDLE_SHARE,
            silence: silence_limit(deployment),
        }
    }
}

/// Returns the silence after which a connection gets nothing new.
pub(super) fn silence_limit(deployment: &Deployment) -> Seconds {
    deployment.shortest_latency_objective() * SILENCE_SHARE
}

/// Returns the time between two sweeps of a pool.
pub fn sweep_interval(deployment: &Deployment) -> Seconds {
    MAX_SWEEP_INTERVAL.min(SWEEP_SHARE * deployment.idle_timeout)
}
