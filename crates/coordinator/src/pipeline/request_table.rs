//! Book: the table of open requests and their parts, and what has come in for each.

use crate::configuration::Config;
use crate::messages::{
    Answer, Attempt, AttemptResult, ClientRequest, OutboundAttempt, PartAnswer, PartSpec, Request,
    Value,
};
use cairnroad_settings::Deployment;
use cairnroad_types::{Class, Idempotency, Outcome, RequestId, Time};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::oneshot;

/// How long before its end a request counts as late, in seconds, and in ticks if that is more: ends come some ticks early.
const LATE: f64 = 0.05;
const LATE_TICKS: f64 = 5.0;
/// How long a request's name is remembered, in seconds, and in longest deadlines if that is more: longer than it can be
/// open, and long enough for a part that was given up to be answered after all. A name is fresh for each request, a
/// retry included.
const NAME_KEPT: f64 = 10.0;
const NAME_KEPT_DEADLINES: f64 = 2.0;
/// No attempt at a part of a class with a window leaves later than this before the window ends, as a share of it and in
/// ticks if that is more: it has a way to go. That holds for the first one, too, which may wait for its connection while
/// a copy runs.
const WINDOW_MARGIN: f64 = 0.02;
const WINDOW_MARGIN_TICKS: f64 = 2.0;

/// An open request.
pub struct OpenRequest {
    request: Request,
    pub reply: oneshot::Sender<Answer>,
    parts: Vec<RequestId>,
    values: BTreeMap<RequestId, Result<Value, &'static str>>,
    /// Ends seen, of any kind.
    ends: u32,
}

impl OpenRequest {
    /// What came for each part, in the request's order.
    pub fn answers(&self) -> Vec<PartAnswer> {
        let parts = self.parts.iter().zip(&self.request.parts);
        let answer = |(id, spec): (&RequestId, &PartSpec)| PartAnswer {
            shard: spec.shard,
            value: self
                .values
                .get(id)
                .cloned()
                .unwrap_or(Err("no answer in time")),
        };
        parts.map(answer).collect()
    }

    /// Whether nothing of it came back: then it was refused for want of room.
    pub fn never_sent(&self) -> bool {
        self.ends == 0
    }
}

/// An open part.
struct OpenPart {
    query: RequestId,
    /// Its place in its query.
    at: usize,
    attempts: u8,
    /// How many of them are proven never to have run.
    never_ran: u8,
    /// When the first one was sent that may have run or may yet.
    first_sent: Time,
}

/// All that is open.
#[derive(Default)]
pub struct RequestTable {
    cap: usize,
    classes: Vec<Arc<str>>,
    next: u64,
    queries: BTreeMap<RequestId, OpenRequest>,
    parts: BTreeMap<RequestId, OpenPart>,
    /// Each class's window for further attempts, in seconds less the margin; `None` where it has none.
    windows: Vec<Option<f64>>,
    name_kept: f64,
    late: f64,
    /// Attempts of requests that ended, which nobody waits for any more.
    unwanted: Vec<Attempt>,
    /// The names taken of late, and when each was.
    names: BTreeSet<Arc<str>>,
    taken: VecDeque<(Time, Arc<str>)>,
}

impl RequestTable {
    pub fn new(config: &Config) -> Self {
        let mut book = RequestTable {
            next: 1,
            ..RequestTable::default()
        };
        book.retune(&config.served.deployment);
        book
    }

    /// Takes other settings. A place whose class is gone keeps its last name for the requests that hold it.
    pub fn retune(&mut self, deployment: &Deployment) {
        self.cap = deployment.max_in_flight;
        self.classes.resize(deployment.class_names.len(), "".into());
        let (policy, longest) = (&deployment.policy, deployment.longest_deadline());
        self.name_kept = NAME_KEPT.max(NAME_KEPT_DEADLINES * longest);
        self.late = LATE.max(LATE_TICKS * policy.tick);
        let window = |class: &Class| {
            let margin =
                (WINDOW_MARGIN * class.dedup_window).max(WINDOW_MARGIN_TICKS * policy.tick);
            (class.idempotency == Idempotency::IdempotentWithKey)
                .then_some(class.dedup_window - margin)
        };
        self.windows = policy.classes.iter().map(window).collect();
        for cairnroad_settings::OfferedClass {
            index: place, name, ..
        } in deployment.offered_classes()
        {
            self.classes[place] = name.into();
        }
    }

    /// Whether a request that is open holds a class's place.
    pub fn holds(&self, class: usize) -> bool {
        self.queries
            .values()
            .any(|open| open.request.class == class)
    }

    /// Whether a query of so many parts fits under the cap on queries and parts held.
    pub fn has_room(&self, parts: usize) -> bool {
        self.queries.len() + self.parts.len() + 1 + parts <= self.cap
    }

    /// Whether a request of this name is open or was of late.
    pub fn knows(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// How many attempts an open part has had.
    pub fn attempts(&self, part: RequestId) -> u8 {
        self.parts.get(&part).map_or(0, |part| part.attempts)
    }

    /// Opens a request: its id, and its parts' ids.
    pub fn open(
        &mut self,
        now: Time,
        ask: ClientRequest,
    ) -> (RequestId, Vec<(RequestId, PartSpec)>) {
        while self
            .taken
            .front()
            .is_some_and(|(at, _)| now - *at > self.name_kept)
        {
            if let Some((_, name)) = self.taken.pop_front() {
                self.names.remove(&name);
            }
        }
        self.names.insert(ask.request.name.clone());
        self.taken.push_back((now, ask.request.name.clone()));
        let id = RequestId(self.next);
        let parts: Vec<_> = (id.0 + 1..)
            .map(RequestId)
            .zip(ask.request.parts.iter().cloned())
            .collect();
        self.next += 1 + parts.len() as u64;
        for (at, (part, _)) in parts.iter().enumerate() {
            let first_sent = Time::default();
            self.parts.insert(
                *part,
                OpenPart {
                    query: id,
                    at,
                    attempts: 0,
                    never_ran: 0,
                    first_sent,
                },
            );
        }
        let ids = parts.iter().map(|(part, _)| *part).collect();
        let open = OpenRequest {
            request: ask.request,
            reply: ask.reply,
            parts: ids,
            values: BTreeMap::new(),
            ends: 0,
        };
        self.queries.insert(id, open);
        (id, parts)
    }

    /// Whether a request's time is all but over.
    pub fn is_late(&self, now: Time, open: &OpenRequest) -> bool {
        open.request.due - now < self.late
    }

    /// Takes a request out of the table: whoever holds it gives the final answer, and nobody else can.
    pub fn close(&mut self, id: RequestId) -> Option<OpenRequest> {
        let open = self.queries.remove(&id)?;
        for part in &open.parts {
            let attempts = self.parts.remove(part).map_or(0, |part| part.attempts);
            self.unwanted.extend((0..attempts).map(|number| Attempt {
                part: *part,
                number,
            }));
        }
        Some(open)
    }

    /// The attempts of requests that ended since the last call. None that is still to be sent may leave.
    pub fn take_unwanted(&mut self) -> Vec<Attempt> {
        std::mem::take(&mut self.unwanted)
    }

    /// The requests whose clients are gone.
    pub fn lost_clients(&self) -> Vec<RequestId> {
        self.queries
            .iter()
            .filter(|(_, open)| open.reply.is_closed())
            .map(|(&id, _)| id)
            .collect()
    }

    /// Notes how an attempt ended. The first value stands.
    pub fn note(&mut self, ended: &AttemptResult) {
        let Some(part) = self.parts.get_mut(&ended.attempt.part) else {
            return;
        };
        part.never_ran += u8::from(ended.outcome.never_ran());
        let Some(open) = self.queries.get_mut(&part.query) else {
            return;
        };
        open.ends += 1;
        let result = match (ended.outcome, &ended.value) {
            (Outcome::Ok, Some(value)) => Ok(value.clone()),
            (Outcome::Rejected, _) => Err("turned away"),
            (Outcome::ConnectFailed | Outcome::NotSent, _) => Err("no connection"),
            (Outcome::Reset, _) => Err("the connection broke"),
            (Outcome::Timeout, _) => Err("no answer in time"),
            _ => Err("the server answered with an error"),
        };
        let entry = open
            .values
            .entry(ended.attempt.part)
            .or_insert_with(|| result.clone());
        if entry.is_err() {
            *entry = result;
        }
    }

    /// The next attempt of an open part, as a backend sends it. Attempts are numbered as the decisions do.
    pub fn job(&mut self, now: Time, part: RequestId, until: Time) -> Option<OutboundAttempt> {
        let open = self.parts.get_mut(&part)?;
        let request = &self.queries.get(&open.query)?.request;
        if open.attempts == open.never_ran {
            open.first_sent = now;
        }
        let window = self.windows.get(request.class).copied().flatten();
        let send_by = window.map(|window| open.first_sent + window);
        let number = open.attempts;
        open.attempts += 1;
        Some(OutboundAttempt {
            attempt: Attempt { part, number },
            wanted: Rc::new(Cell::new(true)),
            send_by,
            name: request.name.clone(),
            class: self.classes.get(request.class)?.clone(),
            shard: request.parts.get(open.at)?.shard,
            text: request.text.clone(),
            until,
            judge: request.judge.clone(),
        })
    }
}

#[cfg(test)]
mod tests;
