//! The table of open requests: their parts, the attempts that were sent and the results that were received.

mod external_ids;
mod open_request;

use crate::configuration::Config;
use crate::memory::MemoryPool;
use crate::messages::{AttemptId, AttemptResult, ClientRequest, OutboundAttempt, PartSpec};
use cairnroad_settings::Deployment;
use cairnroad_types::{Class, Event, Idempotency, RequestId, Seconds, Time};
use external_ids::ExternalIds;
pub use external_ids::SharedIds;
pub use open_request::OpenRequest;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// A request that fails with less time than this left until its deadline counts as timed out, because the router fails
/// a request some ticks before its deadline. In seconds; the longer of this value and [`TIMEOUT_MARGIN_TICKS`] applies.
const TIMEOUT_MARGIN: Seconds = 0.05;
/// The same margin in ticks.
const TIMEOUT_MARGIN_TICKS: f64 = 5.0;
/// How long the external id of a request is remembered: longer than the request can be open, and long enough for a
/// server to answer an abandoned part of it. Clients use a new id for each request, including retries. In seconds; the
/// longer of this value and [`EXTERNAL_ID_RETENTION_DEADLINES`] applies.
const EXTERNAL_ID_RETENTION: Seconds = 10.0;
/// The same retention time, as a multiple of the longest deadline of all classes.
const EXTERNAL_ID_RETENTION_DEADLINES: f64 = 2.0;
/// Safety margin before the end of a deduplication window: no attempt at a part of a class with such a window is sent
/// later than that, because the attempt takes time to arrive. This also applies to the first attempt, which may wait
/// for its connection while a hedge runs. As a share of the window; the longer of this value and
/// [`RETRY_WINDOW_MARGIN_TICKS`] applies.
const RETRY_WINDOW_MARGIN: f64 = 0.02;
/// The same margin in ticks.
const RETRY_WINDOW_MARGIN_TICKS: f64 = 2.0;

/// An open part of an open request.
struct OpenPart {
    request: RequestId,
    /// The position of the part in its request.
    index: usize,
    /// Number of attempts sent.
    attempt_count: u8,
    /// Number of attempts that are known never to have run.
    never_ran_count: u8,
    /// When the earliest attempt that may have run, or may still run, was sent; `None` before the first attempt.
    first_sent: Option<Time>,
}

/// All open requests and their parts.
pub struct RequestTable {
    /// Limit on the total number of open requests and open parts.
    capacity: usize,
    requests: BTreeMap<RequestId, OpenRequest>,
    parts: BTreeMap<RequestId, OpenPart>,
    /// The id of the next request; the ids that follow it are assigned to the request's parts.
    next_id: u64,
    /// Class names by class slot.
    class_names: Vec<Arc<str>>,
    /// Retry windows by class slot, in seconds; `None` for a class without a limit (see [`retry_window`]).
    retry_windows: Vec<Option<Seconds>>,
    timeout_margin: Seconds,
    /// The memory for values of open requests.
    value_memory: MemoryPool,
    /// Attempts of closed requests that have not been withdrawn from the connection pool yet.
    orphaned_attempts: Vec<AttemptId>,
    external_ids: ExternalIds,
}

impl RequestTable {
    /// Creates an empty table.
    pub fn new(config: &Config) -> Self {
        let mut table = RequestTable {
            capacity: 0,
            requests: BTreeMap::new(),
            parts: BTreeMap::new(),
            next_id: 1,
            class_names: Vec::new(),
            retry_windows: Vec::new(),
            timeout_margin: TIMEOUT_MARGIN,
            value_memory: MemoryPool::new(config.limits.buffers.values),
            orphaned_attempts: Vec::new(),
            external_ids: ExternalIds::new(config.limits.remembered_ids),
        };
        table.reconfigure(&config.served.deployment);
        table
    }

    /// Applies a reloaded deployment.
    ///
    /// The slot of a removed class keeps the class's name for the requests that still use it.
    pub fn reconfigure(&mut self, deployment: &Deployment) {
        let policy = &deployment.policy;
        let retention = EXTERNAL_ID_RETENTION_DEADLINES * deployment.longest_deadline();
        self.external_ids
            .set_retention(EXTERNAL_ID_RETENTION.max(retention));
        self.capacity = deployment.max_in_flight;
        self.timeout_margin = TIMEOUT_MARGIN.max(TIMEOUT_MARGIN_TICKS * policy.tick);
        let windows = policy.classes.iter();
        self.retry_windows = windows
            .map(|class| retry_window(class, policy.tick))
            .collect();
        self.class_names
            .resize(deployment.class_names.len(), "".into());
        for offered in deployment.offered_classes() {
            self.class_names[offered.index] = offered.name.into();
        }
    }

    /// Returns whether an open request uses this class slot.
    pub fn has_request_of_class(&self, class: usize) -> bool {
        let mut open = self.requests.values();
        open.any(|open| open.class() == class)
    }

    /// Returns whether a request with this many parts can be opened without exceeding the limit on open requests and
    /// parts.
    pub fn has_capacity_for(&self, parts: usize) -> bool {
        self.requests.len() + self.parts.len() + 1 + parts <= self.capacity
    }

    /// Returns the external ids of open and recent requests.
    pub fn external_ids(&mut self) -> &mut ExternalIds {
        &mut self.external_ids
    }

    /// Returns the number of attempts that were sent for a part; 0 if the part is not open.
    pub fn attempt_count(&self, part: RequestId) -> u8 {
        self.parts.get(&part).map_or(0, |part| part.attempt_count)
    }

    /// Opens a request. Returns the request's id, and its parts with their ids.
    pub fn open(&mut self, client: ClientRequest) -> (RequestId, Vec<(RequestId, PartSpec)>) {
        let id = RequestId(self.next_id);
        let part_ids = (id.0 + 1..).map(RequestId);
        let parts: Vec<_> = part_ids.zip(client.request.parts.iter().cloned()).collect();
        self.next_id += 1 + parts.len() as u64;
        for (index, (part, _)) in parts.iter().enumerate() {
            let open = OpenPart {
                request: id,
                index,
                attempt_count: 0,
                never_ran_count: 0,
                first_sent: None,
            };
            self.parts.insert(*part, open);
        }
        let part_ids = parts.iter().map(|(part, _)| *part).collect();
        let value_memory = self.value_memory.empty_reservation();
        let open = OpenRequest::new(client, part_ids, value_memory);
        self.requests.insert(id, open);
        (id, parts)
    }

    /// Returns whether a request that fails now counts as timed out: its deadline has passed or is closer than the
    /// timeout margin.
    pub fn counts_as_timed_out(&self, now: Time, open: &OpenRequest) -> bool {
        open.deadline() - now < self.timeout_margin
    }

    /// Removes a request from the table and returns it; `None` if it is not open. Since a request is returned only
    /// once, only one caller can send its final answer.
    pub fn close(&mut self, id: RequestId) -> Option<OpenRequest> {
        let open = self.requests.remove(&id)?;
        for &part in open.part_ids() {
            let attempts = self
                .parts
                .remove(&part)
                .map_or(0, |part| part.attempt_count);
            let orphaned = (0..attempts).map(|number| AttemptId { part, number });
            self.orphaned_attempts.extend(orphaned);
        }
        Some(open)
    }

    /// Removes and returns the attempts of requests that were closed since the last call. Attempts among them that are
    /// still queued must not be sent.
    pub fn take_orphaned_attempts(&mut self) -> Vec<AttemptId> {
        std::mem::take(&mut self.orphaned_attempts)
    }

    /// Returns the open requests whose clients have disconnected.
    pub fn requests_without_client(&self) -> Vec<RequestId> {
        let abandoned = self
            .requests
            .iter()
            .filter(|(_, open)| open.reply.is_closed());
        abandoned.map(|(&id, _)| id).collect()
    }

    /// Returns the events for the requests whose clients became unconfirmed, or were confirmed again, since the last
    /// call.
    pub fn client_liveness_changes(&mut self, now: Time) -> Vec<Event> {
        let changed = self.requests.iter_mut().filter_map(|(&id, open)| {
            let is_confirmed = open.client_liveness_change(now)?;
            Some(match is_confirmed {
                true => Event::ClientConfirmed(id),
                false => Event::ClientUnconfirmed(id),
            })
        });
        changed.collect()
    }

    /// Records the result of an attempt. The first value of a part is kept.
    pub fn record_result(&mut self, result: &AttemptResult) {
        let Some(part) = self.parts.get_mut(&result.attempt.part) else {
            return;
        };
        part.never_ran_count += u8::from(result.outcome.never_ran());
        if let Some(open) = self.requests.get_mut(&part.request) {
            open.record_result(result);
        }
    }

    /// Removes the value of an attempt that turned out not to be trusted. The request, if it is still open, fails instead
    /// of being answered.
    pub fn retract_value(&mut self, attempt: AttemptId) {
        let Some(part) = self.parts.get(&attempt.part) else {
            return;
        };
        if let Some(open) = self.requests.get_mut(&part.request) {
            open.retract_value(attempt);
        }
    }

    /// Creates the next attempt of an open part, whose answer is awaited until `deadline`; `None` if the part is not
    /// open. Attempts are numbered in the same order as by the router.
    pub fn next_attempt(
        &mut self,
        now: Time,
        part: RequestId,
        deadline: Time,
    ) -> Option<OutboundAttempt> {
        let open_part = self.parts.get_mut(&part)?;
        let request = self.requests.get(&open_part.request)?.request();
        if open_part.attempt_count == open_part.never_ran_count {
            open_part.first_sent = Some(now);
        }
        let first_sent = open_part.first_sent.unwrap_or(now);
        let window = self.retry_windows.get(request.class).copied().flatten();
        let number = open_part.attempt_count;
        open_part.attempt_count += 1;
        Some(OutboundAttempt {
            send_allowed: Rc::new(Cell::new(true)),
            send_by: window.map(|window| first_sent + window),
            attempt: AttemptId { part, number },
            external_id: request.external_id.clone(),
            class: self.class_names.get(request.class)?.clone(),
            shard: request.parts.get(open_part.index)?.shard,
            idempotency_key: request.idempotency_key.clone(),
            payload: request.payload.clone(),
            deadline,
            contracts: request.contracts.clone(),
            client: request.client.clone(),
            memory: request.memory.clone(),
        })
    }
}

/// Returns how long after the first attempt of a part another attempt may be sent, in seconds; `None` if the class has
/// no deduplication window.
fn retry_window(class: &Class, tick: Seconds) -> Option<Seconds> {
    let share = RETRY_WINDOW_MARGIN * class.dedup_window;
    let margin = share.max(RETRY_WINDOW_MARGIN_TICKS * tick);
    (class.idempotency == Idempotency::IdempotentWithKey).then_some(class.dedup_window - margin)
}

#[cfg(test)]
mod tests;
