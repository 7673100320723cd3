//! The backends: an attempt as one of the servers' wires has it, and the wire's answers as outcomes.

pub mod frames;
pub mod opensearch;

use crate::configuration::BackendKind;
use crate::connections::handle::ConnectionHandle;

/// Starts a connection's task.
pub fn spawn(kind: BackendKind, connection: ConnectionHandle) {
    match kind {
        BackendKind::Frames => tokio::task::spawn_local(frames::run(connection)),
        BackendKind::OpenSearch => tokio::task::spawn_local(opensearch::run(connection)),
    };
}
