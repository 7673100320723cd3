//! Watches the endpoint files for file system events.

use notify::{RecommendedWatcher, RecursiveMode, Watcher};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::{Duration, Instant};

/// Minimum time between two renewals of the watch.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Capacity of the event queue. One pending event is enough to say that the files changed.
const PENDING_EVENTS: usize = 1;

/// Watches the folder that holds the files. Without a watch, such as while the folder does not exist, no change is
/// reported, but the regular rescan still finds it.
pub(super) struct ChangeWatcher {
    path: PathBuf,
    events: SyncSender<()>,
    changes: Receiver<()>,
    watcher: Option<RecommendedWatcher>,
    renewed_at: Instant,
}

impl ChangeWatcher {
    /// Starts to watch the folder of `path`, or `path` itself if it is a folder.
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

    /// Waits for a change. Returns whether there was one within `timeout`.
    pub(super) fn wait(&self, timeout: Duration) -> bool {
        // The only possible error is the timeout, because `self.events` keeps the channel open.
        let changed = self.changes.recv_timeout(timeout).is_ok();
        // One change of a file causes several events.
        while self.changes.try_recv().is_ok() {}
        changed
    }

    /// Renews the watch, at most once per [`RENEW_INTERVAL`]. If the path's symbolic link now names another folder, the
    /// old watch reports none of its changes.
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

/// Watches the folder rather than the files, so that a file that is renamed over another one is reported too.
fn watch(path: &Path, events: SyncSender<()>) -> Option<RecommendedWatcher> {
    let notify = move |event: notify::Result<notify::Event>| {
        // Reads are reported as access events, and would cause the next read without end.
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
    // The folder may be replaced by changing the symbolic link that names it.
    if let Some(parent) = non_empty(folder.parent()).filter(|_| path.is_symlink()) {
        let _ = watcher.watch(parent, RecursiveMode::NonRecursive);
    }
    Some(watcher)
}

fn non_empty(path: Option<&Path>) -> Option<&Path> {
    path.filter(|path| !path.as_os_str().is_empty())
}
