//! The list of servers from watched files: a thread of its own watches, reads and keeps; what is decided about it
//! stands in `cairnroad_endpoint_files`. The core is told whole lists, as by discovery.

use crate::configuration::Source;
use crate::messages::{EndpointEntry, EndpointListUpdate, Message};
use cairnroad_endpoint_files::activation_schedule::ActivationSchedule;
use cairnroad_endpoint_files::debounce::Debounce;
use cairnroad_endpoint_files::endpoint_set::{join_lines, EndpointSet, Phase};
use cairnroad_endpoint_files::parse::{parse_files, File, MAX_BYTES, MAX_FILES};
use cairnroad_endpoint_files::snapshot_store::{recover, save, Snapshot, StateDirectory};
use cairnroad_endpoint_files::update_plan::plan_update;
use cairnroad_endpoint_files::validation::{decide_update, UpdateDecision};
use cairnroad_types::{ServerState, Time};
use notify::{RecursiveMode, Watcher};
use std::collections::BTreeMap;
use std::io::Read;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;

/// How long a watcher that could not be set up, as while its folder is gone, is done without before the next try.
const WATCH_AGAIN: f64 = 1.0;

/// The most changed weights that the core is told at once, and the pause between: some of its ticks.
const MOST_AT_ONCE: usize = 256;
const BETWEEN: Duration = Duration::from_millis(10);

/// What tells that a file is another than before: its inode, length and time of change.
type Stamp = Option<(u64, u64, i64, i64)>;

/// The files of a roster as they stand. What can't be read is a file with the reason.
pub fn files(path: &Path) -> Vec<File> {
    scan(path).0
}

fn scan(path: &Path) -> (Vec<File>, Vec<Stamp>) {
    let paths = match paths(path) {
        Ok(paths) => paths,
        Err(cause) => return (vec![(path.display().to_string(), Err(cause))], Vec::new()),
    };
    let stamps = stamps(&paths);
    let one = |path: &PathBuf| {
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        (name, text(path))
    };
    (paths.iter().map(one).collect(), stamps)
}

/// The file, or those of the folder that make up a roster.
fn paths(path: &Path) -> Result<Vec<PathBuf>, String> {
    if !std::fs::metadata(path).map_err(|e| e.to_string())?.is_dir() {
        return Ok(vec![path.to_path_buf()]);
    }
    let entries = std::fs::read_dir(path).map_err(|e| e.to_string())?;
    let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    // What editors put beside a file begins with a dot or ends otherwise.
    let listed = |path: &PathBuf| {
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        name.ends_with(".toml") && !name.starts_with('.')
    };
    paths.retain(listed);
    paths.sort();
    paths.truncate(MAX_FILES + 1);
    Ok(paths)
}

fn stamps(paths: &[PathBuf]) -> Vec<Stamp> {
    let stamp = |path: &PathBuf| {
        let about = std::fs::metadata(path).ok()?;
        Some((about.ino(), about.len(), about.mtime(), about.mtime_nsec()))
    };
    paths.iter().map(stamp).collect()
}

/// A file's text; one that is too large or no plain file is not read at all.
fn text(path: &Path) -> Result<String, String> {
    let about = std::fs::metadata(path).map_err(|e| e.to_string())?;
    if !about.is_file() {
        return Err("this is no plain file".into());
    }
    let mut text = String::new();
    let file = std::fs::File::open(path).map_err(|e| e.to_string())?;
    file.take(MAX_BYTES as u64 + 1)
        .read_to_string(&mut text)
        .map_err(|e| e.to_string())?;
    if text.len() > MAX_BYTES {
        return Err(format!("the file has more than {MAX_BYTES} bytes"));
    }
    Ok(text)
}

fn unix() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
}

/// The thread's state.
struct EndpointSource {
    source: Source,
    core: mpsc::Sender<Message>,
    schedule: ActivationSchedule,
    in_force: Option<EndpointSet>,
    /// When servers started, as far as it matters: `None` is long ago.
    started: BTreeMap<String, Option<f64>>,
    slot: Option<usize>,
    /// What the core was told of each server, and weights that it is still to be told.
    rows: BTreeMap<String, EndpointEntry>,
    weighed: BTreeMap<String, EndpointEntry>,
    /// The stamps of the files that hold what is in force.
    clear: Vec<Stamp>,
    /// The faults that were told last, so that each is told once, and whether the state folder failed last time.
    told: String,
    unkept: u64,
}

/// Starts the thread. It ends with the core.
pub fn start(source: Source, core: mpsc::Sender<Message>) -> Result<(), String> {
    let keeper = EndpointSource {
        source,
        core,
        schedule: ActivationSchedule::default(),
        in_force: None,
        started: BTreeMap::new(),
        rows: BTreeMap::new(),
        weighed: BTreeMap::new(),
        clear: Vec::new(),
        slot: None,
        told: String::new(),
        unkept: 0,
    };
    let thread = std::thread::Builder::new().name("roster".into());
    thread
        .spawn(move || keeper.run())
        .map(drop)
        .map_err(|e| format!("a thread: {e}"))
}

impl EndpointSource {
    fn run(mut self) {
        let born = Instant::now();
        let now = || born.elapsed().as_secs_f64();
        let (events, changes) = channel();
        let mut watcher = watch(&self.source.path, &events);
        let mut watched = now();
        let mut settle = Debounce::new(now());
        self.begin();
        let clear = self.look();
        settle.on_read(now(), clear);
        while !self.core.is_closed() {
            let own = self
                .schedule
                .next_change(unix())
                .map_or(f64::MAX, |at| now() + (at - unix()));
            let wait = Duration::from_secs_f64((settle.next_read_at().min(own) - now()).max(0.0));
            let wait = if self.weighed.is_empty() {
                wait
            } else {
                wait.min(BETWEEN)
            };
            match changes.recv_timeout(wait) {
                Ok(()) => {
                    settle.on_change(now());
                    // One change of a file is several events.
                    while changes.try_recv().is_ok() {}
                }
                Err(RecvTimeoutError::Timeout) => {}
                // The other end is held here.
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if now() >= settle.next_read_at() {
                let clear = self.look();
                settle.on_read(now(), clear);
                // A folder that was swapped by its link is another one: the old watch sees nothing of it.
                if now() - watched > WATCH_AGAIN {
                    watched = now();
                    watcher = watch(&self.source.path, &events).or(watcher);
                }
            }
            if now() >= own && self.in_force.is_some() && !self.tell() {
                return;
            }
            if !self.weighed.is_empty() && !self.tell_weights() {
                return;
            }
        }
        drop(watcher);
    }

    /// Finds the list that was kept.
    fn begin(&mut self) {
        let Some(folder) = self.source.state.clone() else {
            return;
        };
        let (kept, wrong) = recover(&StateDirectory(folder.clone()));
        for cause in wrong {
            tracing::error!(folder = %folder.display(), cause, "roster: a kept list can't be used and is passed over");
        }
        let Some(Snapshot {
            roster,
            saved_at: saved,
            slot,
        }) = kept
        else {
            return;
        };
        self.slot = Some(slot);
        for (id, server) in &roster.endpoints {
            self.started.insert(id.clone(), server.started);
        }
        match parse_files(&files(&self.source.path)) {
            Ok(fresh)
                if !matches!(
                    decide_update(
                        Some(&roster),
                        &fresh,
                        &self.source.layout,
                        self.source.shrink
                    ),
                    UpdateDecision::Reject(_)
                ) => {}
            _ => {
                let age_s = (unix() - saved).max(0.0).round();
                let generation = roster.generation;
                tracing::error!(
                    generation,
                    age_s,
                    "roster: the files can't be used: the list kept last is in force"
                );
            }
        }
        self.take(roster);
    }

    /// Reads the files, if they are others than those in force. Whether they hold what is in force now.
    fn look(&mut self) -> bool {
        // A large list is not read again every second.
        let standing = paths(&self.source.path)
            .map(|paths| stamps(&paths))
            .unwrap_or_default();
        if !standing.is_empty() && standing == self.clear {
            return true;
        }
        self.clear.clear();
        let (files, before) = scan(&self.source.path);
        if !before.is_empty() && before != stamps(&paths(&self.source.path).unwrap_or_default()) {
            return false; // written while it was read: what was read may be of no writer's meaning
        }
        let verdict = match parse_files(&files) {
            Err(faults) => UpdateDecision::Reject(faults),
            Ok(roster) => {
                let verdict = decide_update(
                    self.in_force.as_ref(),
                    &roster,
                    &self.source.layout,
                    self.source.shrink,
                );
                if verdict == UpdateDecision::Apply {
                    self.clear = before;
                    return self.accept(roster);
                }
                verdict
            }
        };
        match verdict {
            UpdateDecision::Reject(faults) => {
                let cause = join_lines(&faults);
                if cause != self.told {
                    let generation = self.in_force.as_ref().map_or(0, |roster| roster.generation);
                    tracing::error!(
                        cause,
                        generation,
                        "roster: the files are refused, the list in force stays"
                    );
                    self.told = cause;
                }
                false
            }
            _ => {
                self.told.clear();
                self.clear = before;
                true
            }
        }
    }

    fn accept(&mut self, roster: EndpointSet) -> bool {
        self.told.clear();
        let plan = plan_update(
            self.in_force.as_ref().unwrap_or(&EndpointSet::default()),
            &roster,
            &self.source.layout,
        );
        let generation = roster.generation;
        // At the first list the fleet is taken to run; a server that joins it later has just started.
        let first = self.in_force.is_none() && self.started.is_empty();
        let now = unix();
        for (id, server) in &roster.endpoints {
            let unknown = if first { None } else { Some(now) };
            let started = self.started.entry(id.clone()).or_insert(unknown);
            *started = server.started.or(*started);
        }
        self.started
            .retain(|id, _| roster.endpoints.contains_key(id));
        if let Some(folder) = self.source.state.clone() {
            match save(&mut StateDirectory(folder.clone()), self.slot, &roster, now) {
                Ok(slot) => (self.slot, self.unkept) = (Some(slot), 0),
                Err(e) => {
                    self.unkept += 1;
                    if self.unkept == 1 {
                        tracing::error!(folder = %folder.display(), cause = %e, "roster: the list can't be kept; serving goes on");
                    }
                }
            }
        }
        let told = self.take(roster);
        let (added, removed, unchanged) = (plan.added.len(), plan.removed.len(), plan.unchanged);
        let (moved, drained, weighed) = (
            plan.readdressed.len(),
            plan.drained.len(),
            plan.reweighted.len(),
        );
        tracing::info!(
            generation,
            added,
            removed,
            moved,
            drained,
            weighed,
            unchanged,
            "roster in force"
        );
        if !plan.single_holder_shards.is_empty() {
            tracing::warn!(
                generation,
                shards = plan.single_holder_shards.len(),
                "roster: shards have one active holder left"
            );
        }
        told
    }

    fn take(&mut self, roster: EndpointSet) -> bool {
        self.schedule.replace(unix(), roster.clone());
        self.in_force = Some(roster);
        self.tell()
    }

    /// Tells the core what counts otherwise than it was told; whether the core is still there. Servers that come, go or
    /// change are told in one word, so that no query sees half of it. Steps of weights follow in small ones: thousands at
    /// once would hold the core's thread up.
    fn tell(&mut self) -> bool {
        let now = unix();
        let roster = self.schedule.endpoint_set();
        let mut rows = BTreeMap::new();
        for (id, server) in &roster.endpoints {
            let Some(at) = self.schedule.status_at(now, id) else {
                continue;
            };
            let state = match at.phase {
                Phase::Active => ServerState::Ready,
                Phase::Draining => ServerState::Draining,
            };
            let before = self.rows.get(id);
            // A server is of the list that brought it, or brought it to its cell.
            let stays = before.filter(|row| row.cell == server.cell);
            let row = EndpointEntry {
                id: id.clone(),
                address: server.address,
                cell: server.cell,
                zone: crate::discovery::endpoint_list::zone(&server.locality),
                state,
                size: 1.0,
                weight: at.weight,
                generation: stays.map_or(roster.generation, |row| row.generation),
                ready_at: self
                    .started
                    .get(id)
                    .copied()
                    .flatten()
                    .map(|secs| Time((secs * 1e6) as i64)),
            };
            rows.insert(id.clone(), row);
        }
        let first = self.rows.is_empty();
        let (mut changed, mut weighed) = (Vec::new(), Vec::new());
        for (id, row) in &rows {
            match self.rows.get(id) {
                Some(before) if before == row => {}
                Some(before)
                    if *before
                        == (EndpointEntry {
                            weight: before.weight,
                            ..row.clone()
                        }) =>
                {
                    weighed.push(row.clone())
                }
                _ => changed.push(row.clone()),
            }
        }
        let gone = self.rows.iter().filter(|(id, _)| !rows.contains_key(*id));
        changed.extend(gone.map(|(_, row)| EndpointEntry {
            state: ServerState::Removed,
            ..row.clone()
        }));
        self.rows = rows;
        let revision = roster.generation;
        let news = |rows, complete| {
            Message::Endpoints(EndpointListUpdate {
                revision,
                complete,
                rows,
            })
        };
        changed
            .iter()
            .for_each(|row| drop(self.weighed.remove(&row.id)));
        self.weighed
            .extend(weighed.into_iter().map(|row| (row.id.clone(), row)));
        (!first && changed.is_empty()) || self.core.blocking_send(news(changed, first)).is_ok()
    }

    /// Tells the core some of the weights that wait; whether the core is still there.
    fn tell_weights(&mut self) -> bool {
        let mut rows = Vec::new();
        while rows.len() < MOST_AT_ONCE {
            let Some((_, row)) = self.weighed.pop_first() else {
                break;
            };
            rows.push(row);
        }
        let revision = self.schedule.endpoint_set().generation;
        self.core
            .blocking_send(Message::Endpoints(EndpointListUpdate {
                revision,
                complete: false,
                rows,
            }))
            .is_ok()
    }
}

/// Watches the folder around the files, so that one that is renamed over another is seen, too. `None`: it can't be, as
/// while the folder is gone; the rescan still sees what changes.
fn watch(path: &Path, events: &Sender<()>) -> Option<notify::RecommendedWatcher> {
    let events = events.clone();
    let tell = move |event: notify::Result<notify::Event>| {
        // Reading is an event, too, and would have files read for ever.
        if event.is_ok_and(|event| !event.kind.is_access()) {
            let _ = events.send(());
        }
    };
    let mut watcher = notify::recommended_watcher(tell).ok()?;
    let folder = if path.is_dir() {
        path
    } else {
        path.parent().unwrap_or(Path::new("."))
    };
    let folder = if folder.as_os_str().is_empty() {
        Path::new(".")
    } else {
        folder
    };
    watcher.watch(folder, RecursiveMode::NonRecursive).ok()?;
    // A folder may be swapped by the link that names it.
    if let Some(around) = folder
        .parent()
        .filter(|p| !p.as_os_str().is_empty() && path.is_symlink())
    {
        let _ = watcher.watch(around, RecursiveMode::NonRecursive);
    }
    Some(watcher)
}
