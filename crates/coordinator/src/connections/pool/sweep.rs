//! Closing connections that are no longer of use, and forgetting servers that are gone.

use super::Pool;
use cairnroad_types::{ServerId, ServerState, Time};
use std::collections::BTreeSet;

impl Pool {
    /// Closes connections without anything in flight that stand idle, before their server does so unannounced, and
    /// those that get nothing new; forgets removed servers once no connection to them is left.
    pub fn sweep(&mut self, now: Time) {
        for connection in self.connections.values_mut() {
            let server = self.servers.get(&connection.server);
            let is_removed = server.is_none_or(|server| server.state == ServerState::Removed);
            let is_unused = connection.established && connection.is_idle();
            if is_unused && (is_removed || connection.is_superfluous(now, &self.limits)) {
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
