//! The table of open requests: their parts, the attempts sent and the results received.

mod open_request;
mod recent_names;

use crate::configuration::Config;
use crate::messages::{AttemptId, AttemptResult, ClientRequest, OutboundAttempt, PartSpec};
use cairnroad_settings::Deployment;
use cairnroad_types::{Class, Idempotency, RequestId, Seconds, Time};
pub use open_request::OpenRequest;
use recent_names::RecentNames;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// A request that fails this close to its deadline counts as late, in seconds and in ticks, whichever is more: failures
/// come some ticks before the deadline.
const LATE_MARGIN: Seconds = 0.05;
const LATE_MARGIN_TICKS: f64 = 5.0;
/// How long a request's name is remembered, in seconds and in longest deadlines, whichever is more: longer than the
/// request can be open, and long enough for an abandoned part to be answered after all. Clients use a new name for each
/// request, also for a retry.
const NAME_RETENTION: Seconds = 10.0;
const NAME_RETENTION_DEADLINES: f64 = 2.0;
/// No attempt at a part of a class with a deduplication window is sent later than this before the window ends, as a
/// share of the window and in ticks, whichever is more: the attempt takes time to arrive. That holds for the first
/// attempt as well, which may wait for its connection while a hedge runs.
const RETRY_WINDOW_MARGIN: f64 = 0.02;
const RETRY_WINDOW_MARGIN_TICKS: f64 = 2.0;

/// An open part of an open request.
struct OpenPart {
    request: RequestId,
    /// The part's index in its request.
    index: usize,
    /// How many attempts were sent.
    attempts: u8,
    /// How many of them are known never to have run.
    never_ran: u8,
    /// When the first attempt was sent that may have run or may still run.
    first_sent: Option<Time>,
}

/// All open requests and their parts.
pub struct RequestTable {
    /// Limit on open requests and open parts together.
    capacity: usize,
    requests: BTreeMap<RequestId, OpenRequest>,
    parts: BTreeMap<RequestId, OpenPart>,
    /// The id that the next request gets; its parts get the ids after it.
    next_id: u64,
    class_names: Vec<Arc<str>>,
    /// For each class how long after a part's first attempt another may be sent, in seconds; `None`: no limit.
    retry_windows: Vec<Option<Seconds>>,
    late_margin: Seconds,
    /// Attempts of closed requests that the pool has not been told of yet.
    orphaned: Vec<AttemptId>,
    recent_names: RecentNames,
}

impl RequestTable {
    /// An empty table.
    pub fn new(config: &Config) -> Self {
        let mut table = RequestTable {
            capacity: 0,
            requests: BTreeMap::new(),
            parts: BTreeMap::new(),
            next_id: 1,
            class_names: Vec::new(),
            retry_windows: Vec::new(),
            late_margin: LATE_MARGIN,
            orphaned: Vec::new(),
            recent_names: RecentNames::default(),
        };
        table.reconfigure(&config.served.deployment);
        table
    }

    /// Applies a reloaded deployment.
    ///
    /// The place of a removed class keeps the class's name for the requests that still use it.
    pub fn reconfigure(&mut self, deployment: &Deployment) {
        let policy = &deployment.policy;
        let retention = NAME_RETENTION_DEADLINES * deployment.longest_deadline();
        self.recent_names.retention = NAME_RETENTION.max(retention);
        self.capacity = deployment.max_in_flight;
        self.late_margin = LATE_MARGIN.max(LATE_MARGIN_TICKS * policy.tick);
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

    /// Whether an open request uses a class's place.
    pub fn has_request_of_class(&self, class: usize) -> bool {
        let mut open = self.requests.values();
        open.any(|open| open.class() == class)
    }

    /// Whether a request of this many parts fits under the limit on open requests and parts.
    pub fn has_capacity_for(&self, parts: usize) -> bool {
        self.requests.len() + self.parts.len() + 1 + parts <= self.capacity
    }

    /// Whether a request of this name is open or was recently.
    pub fn is_recent_name(&self, name: &str) -> bool {
        self.recent_names.contains(name)
    }

    /// How many attempts of an open part were sent.
    pub fn attempt_count(&self, part: RequestId) -> u8 {
        self.parts.get(&part).map_or(0, |part| part.attempts)
    }

    /// Opens a request. Returns its id and its parts' ids.
    pub fn open(
        &mut self,
        now: Time,
        client: ClientRequest,
    ) -> (RequestId, Vec<(RequestId, PartSpec)>) {
        self.recent_names
            .insert(now, client.request.external_id.clone());
        let id = RequestId(self.next_id);
        let part_ids = (id.0 + 1..).map(RequestId);
        let parts: Vec<_> = part_ids.zip(client.request.parts.iter().cloned()).collect();
        self.next_id += 1 + parts.len() as u64;
        for (index, (part, _)) in parts.iter().enumerate() {
            let open = OpenPart {
                request: id,
                index,
                attempts: 0,
                never_ran: 0,
                first_sent: None,
            };
            self.parts.insert(*part, open);
        }
        let part_ids = parts.iter().map(|(part, _)| *part).collect();
        self.requests.insert(id, OpenRequest::new(client, part_ids));
        (id, parts)
    }

    /// Whether a request's deadline has passed or is about to.
    pub fn is_late(&self, now: Time, open: &OpenRequest) -> bool {
        open.deadline() - now < self.late_margin
    }

    /// Removes a request from the table. Whoever receives it sends the final answer; nobody else can.
    pub fn close(&mut self, id: RequestId) -> Option<OpenRequest> {
        let open = self.requests.remove(&id)?;
        for &part in open.part_ids() {
            let attempts = self.parts.remove(&part).map_or(0, |part| part.attempts);
            let orphaned = (0..attempts).map(|number| AttemptId { part, number });
            self.orphaned.extend(orphaned);
        }
        Some(open)
    }

    /// Takes the attempts of requests closed since the last call. Those that are still queued must not be sent.
    pub fn take_orphaned_attempts(&mut self) -> Vec<AttemptId> {
        std::mem::take(&mut self.orphaned)
    }

    /// The open requests whose clients have left.
    pub fn requests_without_client(&self) -> Vec<RequestId> {
        let left = self
            .requests
            .iter()
            .filter(|(_, open)| open.reply.is_closed());
        left.map(|(&id, _)| id).collect()
    }

    /// Records how an attempt ended. The first value of a part stands.
    pub fn record_result(&mut self, result: &AttemptResult) {
        let Some(part) = self.parts.get_mut(&result.attempt.part) else {
            return;
        };
        part.never_ran += u8::from(result.outcome.never_ran());
        if let Some(open) = self.requests.get_mut(&part.request) {
            open.record_result(result);
        }
    }

    /// The next attempt of an open part, to be waited for until `deadline`. Attempts are numbered as the router numbers
    /// them.
    pub fn next_attempt(
        &mut self,
        now: Time,
        part: RequestId,
        deadline: Time,
    ) -> Option<OutboundAttempt> {
        let open_part = self.parts.get_mut(&part)?;
        let request = self.requests.get(&open_part.request)?.request();
        if open_part.attempts == open_part.never_ran {
            open_part.first_sent = Some(now);
        }
        let first_sent = open_part.first_sent.unwrap_or(now);
        let window = self.retry_windows.get(request.class).copied().flatten();
        let number = open_part.attempts;
        open_part.attempts += 1;
        Some(OutboundAttempt {
            wanted: Rc::new(Cell::new(true)),
            send_by: window.map(|window| first_sent + window),
            attempt: AttemptId { part, number },
            external_id: request.external_id.clone(),
            class: self.class_names.get(request.class)?.clone(),
            shard: request.parts.get(open_part.index)?.shard,
            payload: request.payload.clone(),
            deadline,
            contracts: request.contracts.clone(),
        })
    }
}

/// How long after a part's first attempt another may be sent, in seconds; `None` where the class sets no window.
fn retry_window(class: &Class, tick: Seconds) -> Option<Seconds> {
    let share = RETRY_WINDOW_MARGIN * class.dedup_window;
    let margin = share.max(RETRY_WINDOW_MARGIN_TICKS * tick);
    (class.idempotency == Idempotency::IdempotentWithKey).then_some(class.dedup_window - margin)
}

#[cfg(test)]
mod tests;
