//! Bounds on connections, from the memory and descriptors that the deployment grants.

use super::deployment_file::LimitsJson;

/// Memory of the reference deployment, for deployments that state none.
const DEFAULT_MEMORY_MB: u64 = 192;
/// Descriptors of the reference deployment, for deployments that state none.
pub(super) const DEFAULT_SOCKETS: usize = 1024;
/// Memory that one client may hold: 64 KiB of body twice over, and its buffers.
const CLIENT_MEMORY_KB: usize = 160;
/// Fewest client connections and fewest server connections, however small the machine.
const FEWEST_CONNECTIONS: usize = 8;

/// Bounds on connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionLimits {
    /// Client connections that stay open while idle; above this number those idle for longest are closed. Clients hold
    /// at most a third of the descriptors for their requests, those of idle connections included.
    pub idle_eviction_threshold: usize,
    /// Client connections that may have a request in flight; more are told to retry later.
    pub max_active_clients: usize,
    /// Client connections that are accepted at all.
    pub max_accepted_clients: usize,
    /// Connections to servers.
    pub max_server_connections: usize,
}

impl ConnectionLimits {
    /// Bounds for what the deployment states.
    ///
    /// `processes` is how many processes share the grant: a process that is replaced under load shares it with the one
    /// that replaces it.
    pub(super) fn for_deployment(granted: LimitsJson, processes: usize) -> ConnectionLimits {
        ConnectionLimits::new(
            granted.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) / processes as u64,
            granted.sockets.unwrap_or(DEFAULT_SOCKETS) / processes,
        )
    }

    /// Half of the descriptors for clients with a request in flight and a sixteenth more to tell others to retry,
    /// three eighths for servers; the rest is for discovery and the runtime. Memory caps clients too.
    ///
    /// Round robin uses every replica of a shard, so a coordinator connects to every server of the fleet, and each
    /// connection closed for lack of room costs a handshake later.
    pub(super) fn new(memory_mb: u64, sockets: usize) -> ConnectionLimits {
        let by_memory = (memory_mb as usize).saturating_mul(1024) / CLIENT_MEMORY_KB / 2;
        let max_active_clients = (sockets / 2).min(by_memory).max(FEWEST_CONNECTIONS);
        ConnectionLimits {
            idle_eviction_threshold: (sockets / 5).clamp(FEWEST_CONNECTIONS, max_active_clients),
            max_active_clients,
            max_accepted_clients: sockets / 2 + sockets / 16,
            max_server_connections: (sockets * 3 / 8).max(FEWEST_CONNECTIONS),
        }
    }
}
