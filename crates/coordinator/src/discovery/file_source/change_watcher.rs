//! Watches the endpoint files for file system events.

use super::watched_folders::watched_folders;
use notify::{RecommendedWatcher, RecursiveMode, Watcher};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::{Duration, Instant};

/// Time after which the watch is renewed though its folders have the same names: another folder may have been moved there.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Capacity of the event queue. One pending event is enough to say that the files changed.
const PENDING_EVENTS: usize = 1;

/// Watches the folders that hold the files and the links to them. Without a watch, such as while the folder does not exist,
/// no change is reported, but the regular rescan still finds it.
pub(super) struct ChangeWatcher {
    path: PathBuf,
    events: SyncSender<()>,
    changes: Receiver<()>,
    watcher: Option<RecommendedWatcher>,
    /// The folders that `watcher` watches.
    folders: BTreeSet<PathBuf>,
    renewed_at: Instant,
}

impl ChangeWatcher {
    /// Starts to watch the files at `path`, which is a file or a folder.
    pub(super) fn new(path: &Path) -> ChangeWatcher {
        let (events, changes) = sync_channel(PENDING_EVENTS);
        let folders = watched_folders(path);
        let watcher = watch(&folders, events.clone());
        ChangeWatcher {
            path: path.to_path_buf(),
            events,
            changes,
            watcher,
            folders,
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

    /// Renews the watch if a link leads to another folder now, or if it is old. Called before the files are read, so that
    /// no later change is missed.
    pub(super) fn renew_if_needed(&mut self) {
        let folders = watched_folders(&self.path);
        if folders == self.folders && self.renewed_at.elapsed() <= RENEW_INTERVAL {
            return;
        }
        self.renewed_at = Instant::now();
        if let Some(watcher) = watch(&folders, self.events.clone()) {
            self.watcher = Some(watcher);
            self.folders = folders;
        }
    }
}

/// Watches folders rather than files, so that a file that is renamed over another one is reported too. Returns `None` if
/// none of the folders can be watched.
fn watch(folders: &BTreeSet<PathBuf>, events: SyncSender<()>) -> Option<RecommendedWatcher> {
    let notify = move |event: notify::Result<notify::Event>| {
        // Reads are reported as access events, and would cause the next read without end.
        if event.is_ok_and(|event| !event.kind.is_access()) {
            let _ = events.try_send(());
        }
    };
    let mut watcher = notify::recommended_watcher(notify).ok()?;
    let watched = folders
        .iter()
        .filter(|folder| watcher.watch(folder, RecursiveMode::NonRecursive).is_ok());
    (watched.count() > 0).then_some(watcher)
}
