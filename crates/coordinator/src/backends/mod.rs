//! The protocols for servers: each backend encodes attempts as requests of its protocol and decodes answers into
//! outcomes.
//!
//! A backend runs one task per connection. The task receives commands and reports events through its
//! [`ConnectionHandle`]; it does not know of other connections.

pub mod frames;
pub mod opensearch;

use crate::configuration::BackendKind;
use crate::connections::handle::ConnectionHandle;

/// Starts the task of a connection on the current `LocalSet`. The task ends when the connection is closed.
pub fn spawn(kind: BackendKind, handle: ConnectionHandle) {
    match kind {
        BackendKind::Frames => tokio::task::spawn_local(frames::run(handle)),
        BackendKind::OpenSearch => tokio::task::spawn_local(opensearch::run(handle)),
    };
}
