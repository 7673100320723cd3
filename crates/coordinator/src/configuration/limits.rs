//! Limits on connections and their buffers, derived from the memory and descriptors that the deployment grants.

use super::deployment_file::LimitsJson;

/// Memory in megabytes if the deployment does not state it: that of the reference deployment.
const DEFAULT_MEMORY_MB: u64 = 192;
/// Number of descriptors if the deployment does not state it: that of the reference deployment.
pub(super) const DEFAULT_SOCKETS: usize = 1024;
/// Memory in kilobytes that one client may hold: twice a body of 64 KiB, and buffers.
const CLIENT_MEMORY_KB: usize = 160;
/// Minimum of the limits on client and server connections, however small the machine is.
const MIN_CONNECTIONS: usize = 8;
const BYTES_PER_MB: usize = 1024 * 1024;
/// Memory in bytes of the program without connections: its code, its tables, the endpoint list, the admin API.
const BASE_MEMORY: usize = 10 * BYTES_PER_MB;
/// Memory in bytes of one connection without the bytes that it reserves: its task, and a request of usual size or one read
/// from a server.
const CONNECTION_MEMORY: usize = 8 * 1024;
/// Number of request ids that are remembered for each megabyte. A core opens some three thousand requests a second at
/// most, and an id is remembered for ten seconds or more.
const REMEMBERED_IDS_PER_MB: usize = 1024;
/// Memory in bytes of one remembered id.
const REMEMBERED_ID_MEMORY: usize = 64;
/// Share of the remaining memory that buffers may occupy; the allocator loses the rest to fragmentation.
const BUFFER_SHARE: f64 = 0.8;
/// Share of the buffers for what clients send.
const CLIENT_BUFFER_SHARE: f64 = 0.5;
/// Share of the buffers for what servers send; values that are kept for an answer have the same share.
const SERVER_BUFFER_SHARE: f64 = 0.25;
/// Minimum memory in bytes for all buffers, however small the machine is.
const MIN_BUFFER_MEMORY: usize = BYTES_PER_MB;

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
    /// Maximum number of request ids that are remembered to detect ids that are used twice.
    pub remembered_ids: usize,
    /// Limits on the buffers of these connections.
    pub buffers: BufferLimits,
}

/// Limits on the memory of buffers, in bytes. What each connection holds in any case is not part of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BufferLimits {
    /// What clients send: requests that are received, and requests that wait for their answers.
    pub clients: usize,
    /// What servers send, until it forms a complete answer.
    pub servers: usize,
    /// Values that servers gave for requests that are not answered yet.
    pub values: usize,
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
        let memory_mb = memory_mb as usize;
        let by_memory = memory_mb.saturating_mul(1024) / CLIENT_MEMORY_KB / 2;
        let max_active_clients = (sockets / 2).min(by_memory).max(MIN_CONNECTIONS);
        let max_accepted_clients = sockets / 2 + sockets / 16;
        let max_server_connections = (sockets * 3 / 8).max(MIN_CONNECTIONS);
        let connections = max_accepted_clients + max_server_connections;
        ConnectionLimits {
            idle_eviction_threshold: (sockets / 5).clamp(MIN_CONNECTIONS, max_active_clients),
            max_active_clients,
            max_accepted_clients,
            max_server_connections,
            remembered_ids: memory_mb.saturating_mul(REMEMBERED_IDS_PER_MB),
            buffers: BufferLimits::new(memory_mb, connections),
        }
    }
}

impl BufferLimits {
    /// Divides the memory that the program and its connections leave.
    fn new(memory_mb: usize, connections: usize) -> BufferLimits {
        let occupied = occupied_memory(memory_mb, connections);
        let left = memory_mb
            .saturating_mul(BYTES_PER_MB)
            .saturating_sub(occupied);
        let buffers = (left as f64 * BUFFER_SHARE).max(MIN_BUFFER_MEMORY as f64);
        BufferLimits {
            clients: (buffers * CLIENT_BUFFER_SHARE) as usize,
            servers: (buffers * SERVER_BUFFER_SHARE) as usize,
            values: (buffers * SERVER_BUFFER_SHARE) as usize,
        }
    }

    /// Returns the memory that the process may occupy, in bytes: the program, this number of connections, and all
    /// buffers.
    #[cfg(test)]
    pub(super) fn peak_memory(&self, memory_mb: usize, connections: usize) -> usize {
        let buffers = (self.clients + self.servers + self.values) as f64 / BUFFER_SHARE;
        occupied_memory(memory_mb, connections) + buffers as usize
    }
}

/// Returns the memory of the program and of this number of connections without their buffers, in bytes.
fn occupied_memory(memory_mb: usize, connections: usize) -> usize {
    let ids = memory_mb.saturating_mul(REMEMBERED_IDS_PER_MB * REMEMBERED_ID_MEMORY);
    let connections = connections.saturating_mul(CONNECTION_MEMORY);
    BASE_MEMORY.saturating_add(ids).saturating_add(connections)
}
