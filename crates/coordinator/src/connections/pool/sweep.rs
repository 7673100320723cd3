//! Closes connections that are no longer needed, and forgets removed servers.

use super::Pool;
use cairnroad_types::{ServerId, ServerState, Time};
use std::collections::BTreeSet;

impl Pool {
    /// Closes established connections without an attempt in flight that have been idle for too long, before their
    /// servers close them without notice, and those that are unresponsive, accept no further calls or lead to a removed
    /// server. Forgets removed servers to which no connection is left.
    pub fn sweep(&mut self, now: Time) {
        for connection in self.connections.values_mut() {
            let server = self.servers.get(&connection.server);
            let is_removed = server.is_none_or(|server| server.state == ServerState::Removed);
            let is_unused = connection.established && connection.is_idle();
            if is_unused && (is_removed || connection.is_unneeded(now, &self.limits)) {
                connection.close();
            }
        }
        let connected: BTreeSet<ServerId> = self
            .connections
            .values()
            .map(|connection| connection.server)
            .collect();
        self.servers
            .retain(|id, server| server.state != ServerState::Removed || connected.contains(id));
    }
}
