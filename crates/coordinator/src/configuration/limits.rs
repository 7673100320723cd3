//! Limits on connections, derived from the memory and descriptors that the deployment grants.

use super::deployment_file::LimitsJson;

/// Memory in megabytes if the deployment does not state it: that of the reference deployment.
const DEFAULT_MEMORY_MB: u64 = 192;
/// Number of descriptors if the deployment does not state it: that of the reference deployment.
pub(super) const DEFAULT_SOCKETS: usize = 1024;
/// Memory in kilobytes that one client may hold: twice a body of 64 KiB, and buffers.
const CLIENT_MEMORY_KB: usize = 160;
/// Minimum of the limits on client and server connections, however small the machine is.
const MIN_CONNECTIONS: usize = 8;

/// Limits on connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionLimits {
    /// Number of open client connections above which those that have been idle for longest are closed. Clients hold at
    /// most a third of the descriptors for their requests, those of idle connections included.
    pub idle_eviction_threshold: usize,
    /// Maximum number of client connections with a request in flight; requests on further ones are answered with 503
    /// and a `Retry-After`.
    pub max_active_clients: usize,
    /// Maximum number of accepted client connections, whatever their state.
    pub max_accepted_clients: usize,
    /// Maximum number of connections to servers.
    pub max_server_connections: usize,
}

impl ConnectionLimits {
    /// Derives the limits from the resources that the deployment grants.
    ///
    /// `processes` is the number of processes that share the resources: a process that is replaced under load shares
    /// them with its replacement.
    pub(super) fn for_deployment(granted: LimitsJson, processes: usize) -> ConnectionLimits {
        ConnectionLimits::new(
            granted.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) / processes as u64,
            granted.sockets.unwrap_or(DEFAULT_SOCKETS) / processes,
        )
    }

    /// Derives the limits from memory and descriptors.
    ///
    /// Half of the descriptors are for clients with a request in flight, a sixteenth for telling further clients to
    /// retry, and three eighths for servers; the rest is for discovery and the runtime. Memory limits the number of
    /// clients too. The share for servers is that large because round robin uses every replica of a shard: a
    /// coordinator connects to every server of the fleet, and a connection that is closed to stay below the limit costs
    /// a handshake later.
    pub(super) fn new(memory_mb: u64, sockets: usize) -> ConnectionLimits {
        let by_memory = (memory_mb as usize).saturating_mul(1024) / CLIENT_MEMORY_KB / 2;
        let max_active_clients = (sockets / 2).min(by_memory).max(MIN_CONNECTIONS);
        ConnectionLimits {
            idle_eviction_threshold: (sockets / 5).clamp(MIN_CONNECTIONS, max_active_clients),
            max_active_clients,
            max_accepted_clients: sockets / 2 + sockets / 16,
            max_server_connections: (sockets * 3 / 8).max(MIN_CONNECTIONS),
        }
    }
}
