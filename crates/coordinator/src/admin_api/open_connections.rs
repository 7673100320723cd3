//! Limits the number of open admin connections.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::task::AbortHandle;

/// Upper limit on open connections, which only connections with a received request may exceed. Operators have few
/// tools, but some clients stay silent for seconds.
const MAX_CONNECTIONS: usize = 16;

/// Upper limit on open connections in any state. Requests are answered within a second, so that further connections wait
/// in the backlog for no longer.
const MAX_CONNECTIONS_WITH_REQUESTS: usize = 32;

/// Flag that a connection's request was received, shared between its task and [`OpenConnections`].
#[derive(Clone, Default)]
pub(super) struct RequestReceived(Rc<Cell<bool>>);

impl RequestReceived {
    /// Records that the request was received. From now on the connection is not closed in favor of others.
    pub(super) fn set(&self) {
        self.0.set(true);
    }
}

/// An open connection. Dropping the value aborts the connection's task, which closes the connection.
struct OpenConnection {
    task: AbortHandle,
    request_received: RequestReceived,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The open admin connections, the oldest first.
#[derive(Default)]
pub(super) struct OpenConnections {
    connections: VecDeque<OpenConnection>,
}

impl OpenConnections {
    /// Makes room for one more connection by closing the oldest ones without a complete request.
    ///
    /// A request that was received is still carried out and answered, which takes less than a second.
    pub(super) fn make_room(&mut self) {
        self.remove_finished();
        while self.connections.len() >= MAX_CONNECTIONS {
            let Some(oldest) = self.oldest_without_request() else {
                return;
            };
            self.connections.remove(oldest);
        }
    }

    /// Returns whether no further connection may be accepted, even for another one in exchange.
    pub(super) fn is_full(&mut self) -> bool {
        self.remove_finished();
        self.connections.len() >= MAX_CONNECTIONS_WITH_REQUESTS
    }

    fn remove_finished(&mut self) {
        self.connections
            .retain(|connection| !connection.task.is_finished());
    }

    fn oldest_without_request(&self) -> Option<usize> {
        self.connections
            .iter()
            .position(|connection| !connection.request_received.0.get())
    }

    /// Adds a connection that `task` serves.
    pub(super) fn add(&mut self, task: AbortHandle, request_received: RequestReceived) {
        self.connections.push_back(OpenConnection {
            task,
            request_received,
        });
    }
}
