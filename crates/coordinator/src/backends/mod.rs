//! The servers' wires: attempts as requests of a wire, and its answers as outcomes.
//!
//! A wire is the task of one connection. It holds a [`ConnectionHandle`], from which it takes commands and through
//! which it reports; it knows nothing of other connections.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

pub mod frames;
pub mod opensearch;

use crate::configuration::BackendKind;
use crate::connections::handle::ConnectionHandle;

/// Starts a connection's task on the current `LocalSet`. The task ends when the connection is closed.
pub fn spawn(kind: BackendKind, handle: ConnectionHandle) {
    match kind {
        BackendKind::Frames => tokio::task::spawn_local(frames::run(handle)),
        BackendKind::OpenSearch => tokio::task::spawn_local(opensearch::run(handle)),
    };
}
