//! The endpoint list from watched files.
//!
//! A separate thread watches, reads and stores the list, and sends updates to the core as the discovery watch does. The
//! decisions about a list are made in `cairnroad_endpoint_files`.

mod change_watcher;
mod endpoint_source;
mod in_place_changes;
mod publisher;
mod scan;
mod start_times;
mod watched_folders;

pub use scan::read_files;

use crate::configuration::EndpointFilesSettings;
use crate::messages::CoreMessage;
use endpoint_source::EndpointSource;
use tokio::sync::mpsc;

/// The error when the thread can't be started.
#[derive(Debug, thiserror::Error)]
#[error("failed to start the thread that reads the endpoint files: {0}")]
pub struct SpawnError(#[source] std::io::Error);

/// Starts the thread that follows the files. The thread ends when the core's receiver is dropped.
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
