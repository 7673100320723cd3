//! The limit of open admin connections.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::task::AbortHandle;

/// Upper limit of connections without a complete request. Some clients say nothing for seconds; operators have few
/// tools.
const MAX_CONNECTIONS: usize = 16;

/// Whether a connection's request was received, shared between its task and [`OpenConnections`].
#[derive(Clone, Default)]
pub(super) struct RequestReceived(Rc<Cell<bool>>);

impl RequestReceived {
    /// Records that the request was received: from now on the connection is not closed for others.
    pub(super) fn set(&self) {
        self.0.set(true);
    }
}

/// An open connection; dropping it aborts its task, which closes the connection.
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
    /// Makes room for one more connection.
    ///
    /// The oldest connections without a complete request are closed; a request that was received is carried out and
    /// answered, which takes less than a second.
    pub(super) fn make_room(&mut self) {
        self.connections
            .retain(|connection| !connection.task.is_finished());
        while self.connections.len() >= MAX_CONNECTIONS {
            let Some(oldest) = self.oldest_without_request() else {
                return;
            };
            self.connections.remove(oldest);
        }
    }

    fn oldest_without_request(&self) -> Option<usize> {
        self.connections
            .iter()
            .position(|connection| !connection.request_received.0.get())
    }

    /// Adds a connection that this task serves.
    pub(super) fn add(&mut self, task: AbortHandle, request_received: RequestReceived) {
        self.connections.push_back(OpenConnection {
            task,
            request_received,
        });
    }
}
