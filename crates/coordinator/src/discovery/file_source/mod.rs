//! The endpoint list from watched files.
//!
//! A thread of its own watches, reads and stores the list and sends the core complete updates, as discovery does. What
//! is decided about a list stands in `cairnroad_endpoint_files`.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

mod change_watcher;
mod endpoint_source;
mod publisher;
mod scan;
mod start_times;

pub use scan::read_files;

use crate::configuration::EndpointFilesSettings;
use crate::messages::CoreMessage;
use endpoint_source::EndpointSource;
use tokio::sync::mpsc;

/// The thread can't be started.
#[derive(Debug, thiserror::Error)]
#[error("the thread that reads the endpoint files can't be started: {0}")]
pub struct SpawnError(#[source] std::io::Error);

/// Starts the thread that owns the files' state. It ends when the core's receiver is dropped.
pub fn start(
    settings: EndpointFilesSettings,
    core: mpsc::Sender<CoreMessage>,
) -> Result<(), SpawnError> {
    let endpoint_source = EndpointSource::new(settings, core);
    std::thread::Builder::new()
        .name("endpoint-files".into())
        .spawn(move || endpoint_source.run())
        .map(drop)
        .map_err(SpawnError)
}
