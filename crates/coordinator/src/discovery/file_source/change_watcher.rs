//! Events of the file system for the endpoint files.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use notify::{RecommendedWatcher, RecursiveMode, Watcher};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::{Duration, Instant};

/// The shortest time between two set-ups of the watch.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// One pending event says as much as many: the files changed.
const PENDING_EVENTS: usize = 1;

/// Watches the folder around the files. Without a watch, as while the folder is gone, nothing is reported and the
/// rescan still finds what changed.
pub(super) struct ChangeWatcher {
    path: PathBuf,
    events: SyncSender<()>,
    changes: Receiver<()>,
    watcher: Option<RecommendedWatcher>,
    renewed_at: Instant,
}

impl ChangeWatcher {
    /// Starts watching.
    pub(super) fn new(path: &Path) -> ChangeWatcher {
        let (events, changes) = sync_channel(PENDING_EVENTS);
        let watcher = watch(path, events.clone());
        ChangeWatcher {
            path: path.to_path_buf(),
            events,
            changes,
            watcher,
            renewed_at: Instant::now(),
        }
    }

    /// Waits for a change; returns whether there was one.
    pub(super) fn wait(&self, timeout: Duration) -> bool {
        // The sender is held here, so that the only error is the end of the time.
        let changed = self.changes.recv_timeout(timeout).is_ok();
        // One change of a file is several events.
        while self.changes.try_recv().is_ok() {}
        changed
    }

    /// Sets the watch up again, at most once in [`RENEW_INTERVAL`]. A folder that was swapped by its link is another
    /// one, in which the old watch sees nothing.
    pub(super) fn renew_if_due(&mut self) {
        if self.renewed_at.elapsed() <= RENEW_INTERVAL {
            return;
        }
        self.renewed_at = Instant::now();
        if let Some(watcher) = watch(&self.path, self.events.clone()) {
            self.watcher = Some(watcher);
        }
    }
}

/// Watches the folder rather than the files, so that a file that is renamed over another is seen too.
fn watch(path: &Path, events: SyncSender<()>) -> Option<RecommendedWatcher> {
    let notify = move |event: notify::Result<notify::Event>| {
        // Reading is an event too, and would have the files read for ever.
        if event.is_ok_and(|event| !event.kind.is_access()) {
            let _ = events.try_send(());
        }
    };
    let mut watcher = notify::recommended_watcher(notify).ok()?;
    let folder = if path.is_dir() {
        path
    } else {
        non_empty(path.parent()).unwrap_or(Path::new("."))
    };
    watcher.watch(folder, RecursiveMode::NonRecursive).ok()?;
    // The folder may be replaced by changing the link that names it.
    if let Some(parent) = non_empty(folder.parent()).filter(|_| path.is_symlink()) {
        let _ = watcher.watch(parent, RecursiveMode::NonRecursive);
    }
    Some(watcher)
}

fn non_empty(path: Option<&Path>) -> Option<&Path> {
    path.filter(|path| !path.as_os_str().is_empty())
}
