//! The thread that keeps the endpoint list of the files in force.

use super::change_watcher::ChangeWatcher;
use super::in_place_changes::InPlaceChanges;
use super::publisher::{CoreStopped, Publisher, WEIGHT_UPDATE_INTERVAL};
use super::scan::{present_stamps, read_files, scan, FileStamps};
use super::start_times::StartTimes;
use crate::configuration::EndpointFilesSettings;
use crate::discovery::endpoint_list::zone_id;
use crate::messages::{CoreMessage, EndpointEntry};
use cairnroad_endpoint_files::activation_schedule::{ActivationSchedule, EndpointStatus};
use cairnroad_endpoint_files::debounce::{Debounce, ReadOutcome};
use cairnroad_endpoint_files::endpoint_set::{Endpoint, EndpointSet, Phase};
use cairnroad_endpoint_files::fault::{join_lines, Fault};
use cairnroad_endpoint_files::parse::parse_files;
use cairnroad_endpoint_files::snapshot_store::{SnapshotStore, StateDirectory};
use cairnroad_endpoint_files::timestamp::UnixSeconds;
use cairnroad_endpoint_files::update_plan::{plan_update, UpdatePlan};
use cairnroad_endpoint_files::validation::{decide_correction, decide_update, UpdateDecision};
use cairnroad_types::{ServerState, Time};
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// The state of the thread.
pub(super) struct EndpointSource {
    settings: EndpointFilesSettings,
    /// The store of the last accepted set; `None` without a state folder.
    store: Option<SnapshotStore<StateDirectory>>,
    publisher: Publisher,
    /// The set in force, with its activation times and weight ramps.
    schedule: ActivationSchedule,
    start_times: StartTimes,
    /// The stamps of the files that hold the set in force; empty if the files hold another set or are faulty.
    stamps_in_force: FileStamps,
    /// Tells whether files that were written in place are complete, and may correct the list in force.
    in_place: InPlaceChanges,
    /// The text of the last logged rejection, so that each rejection is logged once.
    last_rejection: String,
    /// Whether the last save failed, so that a failing disk is logged once.
    save_failed: bool,
}

impl EndpointSource {
    /// Returns a source that has not read any file yet.
    pub(super) fn new(
        settings: EndpointFilesSettings,
        core: mpsc::Sender<CoreMessage>,
    ) -> EndpointSource {
        let store = settings
            .state_dir
            .clone()
            .map(|folder| SnapshotStore::new(StateDirectory(folder)));
        EndpointSource {
            settings,
            store,
            publisher: Publisher::new(core),
            schedule: ActivationSchedule::default(),
            start_times: StartTimes::default(),
            stamps_in_force: FileStamps::new(),
            in_place: InPlaceChanges::default(),
            last_rejection: String::new(),
            save_failed: false,
        }
    }

    /// Follows the files until the core stops.
    pub(super) fn run(mut self) {
        // The thread ends normally when the core stops, whether a send or the loop detects it.
        let _: Result<(), CoreStopped> = self.follow_files();
    }

    fn follow_files(&mut self) -> Result<(), CoreStopped> {
        let started_at = Instant::now();
        let mut watcher = ChangeWatcher::new(&self.settings.path);
        let mut debounce = Debounce::new(started_at.elapsed());
        self.restore_snapshot()?;
        let outcome = self.check_files()?;
        debounce.on_read(started_at.elapsed(), outcome);
        while !self.publisher.is_core_stopped() {
            let scheduled_at = self.next_scheduled_change(started_at.elapsed());
            let next_at = scheduled_at.map_or(debounce.next_read_at(), |at| {
                at.min(debounce.next_read_at())
            });
            let timeout = next_at.saturating_sub(started_at.elapsed());
            if watcher.wait(self.limit_timeout(timeout)) {
                debounce.on_change(started_at.elapsed());
            }
            if started_at.elapsed() >= debounce.next_read_at() {
                watcher.renew_if_needed();
                let outcome = self.check_files()?;
                debounce.on_read(started_at.elapsed(), outcome);
            }
            if scheduled_at.is_some_and(|at| started_at.elapsed() >= at) {
                self.publish()?;
            }
            self.publisher.publish_pending_weights(self.generation())?;
        }
        Ok(())
    }

    /// Returns when the schedule changes without a new set, on the clock of `now`.
    fn next_scheduled_change(&self, now: Duration) -> Option<Duration> {
        let unix_now = unix_now();
        let at = self.schedule.next_change(unix_now)?;
        Some(now + Duration::from_secs_f64((at - unix_now).max(0.0)))
    }

    /// Limits the wait for a change while weights are pending, so that they are sent in time.
    fn limit_timeout(&self, timeout: Duration) -> Duration {
        if self.publisher.has_pending_weights() {
            timeout.min(WEIGHT_UPDATE_INTERVAL)
        } else {
            timeout
        }
    }

    /// Returns the generation in force; 0 if no set is in force.
    fn generation(&self) -> u64 {
        let in_force = self.schedule.endpoint_set();
        in_force.map_or(0, |endpoint_set| endpoint_set.generation)
    }

    /// Puts the stored set into force, so that the process can serve if the files are faulty at its start.
    fn restore_snapshot(&mut self) -> Result<(), CoreStopped> {
        let (Some(folder), Some(store)) = (&self.settings.state_dir, &mut self.store) else {
            return Ok(());
        };
        let recovery = store.recover();
        for slot in recovery.unusable_slots {
            let cause = slot.to_string();
            tracing::error!(folder = %folder.display(), cause, "stored endpoint list unusable");
        }
        let Some(snapshot) = recovery.snapshot else {
            return Ok(());
        };
        self.start_times.restore(&snapshot.endpoint_set);
        if !self.files_may_follow(&snapshot.endpoint_set) {
            tracing::error!(
                generation = snapshot.endpoint_set.generation,
                age_s = (unix_now() - snapshot.saved_at).max(0.0).round(),
                "endpoint files unusable, stored list in force"
            );
        }
        self.put_into_force(snapshot.endpoint_set)
    }

    /// Returns whether the files hold a set that may follow `in_force`.
    fn files_may_follow(&self, in_force: &EndpointSet) -> bool {
        let Ok(endpoint_set) = parse_files(&read_files(&self.settings.path)) else {
            return false;
        };
        let decision = self.decide(Some(in_force), &endpoint_set);
        !matches!(decision, UpdateDecision::Reject(_))
    }

    fn decide(&self, in_force: Option<&EndpointSet>, new: &EndpointSet) -> UpdateDecision {
        decide_update(
            in_force,
            new,
            &self.settings.layout,
            self.settings.max_removed_share,
        )
    }

    /// Reads the files, unless they are unchanged since the set in force was read, and applies the set that they hold.
    fn check_files(&mut self) -> Result<ReadOutcome, CoreStopped> {
        // Unchanged files are skipped, so that a large list is not parsed again at every rescan.
        let present = present_stamps(&self.settings.path);
        if !present.is_empty() && present == self.stamps_in_force {
            return Ok(ReadOutcome::Applied);
        }
        self.stamps_in_force.clear();
        let scan = scan(&self.settings.path);
        if !scan.stamps.is_empty() && scan.stamps != present_stamps(&self.settings.path) {
            // The files changed during the read: the texts may be a mix that no writer intended.
            return Ok(ReadOutcome::Unusable);
        }
        let endpoint_set = match parse_files(&scan.files) {
            Ok(endpoint_set) => endpoint_set,
            Err(faults) => return Ok(self.reject(&faults)),
        };
        if !self.in_place.is_stable(&scan) {
            return Ok(ReadOutcome::Unstable);
        }
        match self.decide(self.schedule.endpoint_set(), &endpoint_set) {
            UpdateDecision::Unchanged => {}
            UpdateDecision::Apply => self.take(endpoint_set, &scan.stamps)?,
            UpdateDecision::Reject(faults) => {
                match self.decide_correction(&endpoint_set, &scan.stamps) {
                    UpdateDecision::Apply => self.correct(endpoint_set, &scan.stamps)?,
                    UpdateDecision::Unchanged | UpdateDecision::Reject(_) => {
                        return Ok(self.reject(&faults));
                    }
                }
            }
        }
        self.last_rejection.clear();
        self.stamps_in_force = scan.stamps;
        Ok(ReadOutcome::Applied)
    }

    /// Decides whether a set may replace the one in force because that was read from the same files while they were being
    /// written.
    fn decide_correction(&self, new: &EndpointSet, stamps: &FileStamps) -> UpdateDecision {
        let Some(correctable) = self.in_place.correctable(stamps) else {
            return UpdateDecision::Reject(Vec::new());
        };
        decide_correction(
            correctable.before,
            new,
            &self.settings.layout,
            self.settings.max_removed_share,
        )
    }

    /// Puts a set of the files into force.
    fn take(&mut self, endpoint_set: EndpointSet, stamps: &FileStamps) -> Result<(), CoreStopped> {
        let before = self.schedule.endpoint_set().cloned();
        self.in_place.on_taken(stamps, before);
        self.apply(endpoint_set)
    }

    /// Puts a set into force instead of one that was read while the files were being written.
    fn correct(
        &mut self,
        endpoint_set: EndpointSet,
        stamps: &FileStamps,
    ) -> Result<(), CoreStopped> {
        tracing::warn!(
            generation = endpoint_set.generation,
            replaced = self.generation(),
            help = "write lists beside the file and rename them over it, so that none is read half-written",
            "endpoint list corrected"
        );
        self.in_place.on_corrected(stamps);
        // The store keeps two sets and restores the one with the higher generation, which may be the wrong one.
        self.save(&endpoint_set, unix_now());
        self.apply(endpoint_set)
    }

    /// Logs a rejection, unless it is the same as the last one.
    fn reject(&mut self, faults: &[Fault]) -> ReadOutcome {
        let cause = join_lines(faults);
        if cause != self.last_rejection {
            let generation = self.generation();
            tracing::error!(cause, generation, "endpoint files rejected");
            self.last_rejection = cause;
        }
        ReadOutcome::Unusable
    }

    /// Stores a set, puts it into force and logs the changes.
    fn apply(&mut self, endpoint_set: EndpointSet) -> Result<(), CoreStopped> {
        let empty = EndpointSet::default();
        let in_force = self.schedule.endpoint_set().unwrap_or(&empty);
        let plan = plan_update(in_force, &endpoint_set, &self.settings.layout);
        let generation = endpoint_set.generation;
        let now = unix_now();
        self.start_times.update(&endpoint_set, now);
        self.save(&endpoint_set, now);
        self.put_into_force(endpoint_set)?;
        log_update(generation, &plan);
        Ok(())
    }

    /// Stores a set. If the disk fails, the set comes into force nevertheless.
    fn save(&mut self, endpoint_set: &EndpointSet, now: UnixSeconds) {
        let (Some(folder), Some(store)) = (&self.settings.state_dir, &mut self.store) else {
            return;
        };
        let saved = store.save(endpoint_set, now);
        if let Err(error) = &saved {
            if !self.save_failed {
                tracing::error!(folder = %folder.display(), cause = %error, "endpoint list not stored");
            }
        }
        self.save_failed = saved.is_err();
    }

    fn put_into_force(&mut self, endpoint_set: EndpointSet) -> Result<(), CoreStopped> {
        self.schedule.replace(unix_now(), endpoint_set);
        self.publish()
    }

    /// Sends the current state of the schedule to the core.
    fn publish(&mut self) -> Result<(), CoreStopped> {
        let Some(endpoint_set) = self.schedule.endpoint_set() else {
            return Ok(());
        };
        let now = unix_now();
        let mut entries = BTreeMap::new();
        for (id, endpoint) in &endpoint_set.endpoints {
            if let Some(status) = self.schedule.status_at(now, id) {
                let entry = self.entry(id, endpoint, status, endpoint_set.generation);
                entries.insert(id.clone(), entry);
            }
        }
        let revision = endpoint_set.generation;
        self.publisher.publish(revision, entries)
    }

    fn entry(
        &self,
        id: &str,
        endpoint: &Endpoint,
        status: EndpointStatus,
        generation: u64,
    ) -> EndpointEntry {
        let state = match status.phase {
            Phase::Active => ServerState::Ready,
            Phase::Draining => ServerState::Draining,
        };
        // An endpoint's generation is the one that added it, or that moved it to its cell.
        let before = self.publisher.published(id);
        let in_same_cell = before.filter(|entry| entry.cell == endpoint.cell);
        let started = self.start_times.get(id);
        EndpointEntry {
            id: id.into(),
            address: endpoint.address,
            cell: endpoint.cell,
            zone: zone_id(&endpoint.locality),
            state,
            size: 1.0,
            weight: status.weight,
            generation: in_same_cell.map_or(generation, |entry| entry.generation),
            ready_at: started.map(|seconds| Time((seconds * MICROSECONDS_PER_SECOND) as i64)),
        }
    }
}

fn log_update(generation: u64, plan: &UpdatePlan) {
    tracing::info!(
        generation,
        added = plan.added.len(),
        removed = plan.removed.len(),
        readdressed = plan.readdressed.len(),
        drained = plan.drained.len(),
        reweighted = plan.reweighted.len(),
        unchanged = plan.unchanged,
        "endpoint list in force"
    );
    if !plan.single_holder_shards.is_empty() {
        tracing::warn!(
            generation,
            shards = plan.single_holder_shards.len(),
            "shards with a single active holder"
        );
    }
}

fn unix_now() -> UnixSeconds {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
}
