//! Book: the table of open requests and their parts, and what has come in for each.

use crate::config::Config;
use crate::words::{Answer, Ask, Attempt, Ended, Job, PartAnswer, PartSpec, Request, Value};
use cairnroad::{Outcome, RequestId, Time};
use cairnroad_settings::Deployment;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use tokio::sync::oneshot;

/// How long before its end a request counts as late, in seconds: ends come some ticks early.
const LATE: f64 = 0.05;
/// How long a request's name is remembered, in seconds: longer than it can be open, and long enough for a part that
/// was given up to be answered after all. A name is fresh for each request, a retry included.
const NAME_KEPT: f64 = 10.0;

/// An open request.
pub struct Open {
    request: Request,
    pub reply: oneshot::Sender<Answer>,
    parts: Vec<RequestId>,
    values: BTreeMap<RequestId, Result<Value, &'static str>>,
    /// Ends seen, of any kind.
    ends: u32,
}

impl Open {
    /// What came for each part, in the request's order.
    pub fn answers(&self) -> Vec<PartAnswer> {
        let parts = self.parts.iter().zip(&self.request.parts);
        let answer = |(id, spec): (&RequestId, &PartSpec)| PartAnswer {
            shard: spec.shard,
            value: self.values.get(id).cloned().unwrap_or(Err("no answer in time")),
        };
        parts.map(answer).collect()
    }

    /// Whether nothing of it came back: then it was refused for want of room.
    pub fn never_sent(&self) -> bool {
        self.ends == 0
    }

    pub fn is_late(&self, now: Time) -> bool {
        self.request.due - now < LATE
    }
}

/// All that is open.
#[derive(Default)]
pub struct Book {
    cap: usize,
    classes: Vec<Arc<str>>,
    next: u64,
    queries: BTreeMap<RequestId, Open>,
    /// Each open part's query, its place in it, and how many attempts it had.
    parts: BTreeMap<RequestId, (RequestId, usize, u8)>,
    /// The names taken of late, and when each was.
    names: BTreeSet<Arc<str>>,
    taken: VecDeque<(Time, Arc<str>)>,
}

impl Book {
    pub fn new(config: &Config) -> Self {
        let mut book = Book { next: 1, ..Book::default() };
        book.retune(&config.offer.deployment);
        book
    }

    /// Takes other settings. A place whose class is gone keeps its last name for the requests that hold it.
    pub fn retune(&mut self, deployment: &Deployment) {
        self.cap = deployment.open_cap;
        self.classes.resize(deployment.class_names.len(), "".into());
        for (place, name, _) in deployment.offered() {
            self.classes[place] = name.into();
        }
    }

    /// Whether a request that is open holds a class's place.
    pub fn holds(&self, class: usize) -> bool {
        self.queries.values().any(|open| open.request.class == class)
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
        self.parts.get(&part).map_or(0, |&(_, _, attempts)| attempts)
    }

    /// Opens a request: its id, and its parts' ids.
    pub fn open(&mut self, now: Time, ask: Ask) -> (RequestId, Vec<(RequestId, PartSpec)>) {
        while self.taken.front().is_some_and(|(at, _)| now - *at > NAME_KEPT) {
            if let Some((_, name)) = self.taken.pop_front() {
                self.names.remove(&name);
            }
        }
        self.names.insert(ask.request.name.clone());
        self.taken.push_back((now, ask.request.name.clone()));
        let id = RequestId(self.next);
        let parts: Vec<_> = (id.0 + 1..).map(RequestId).zip(ask.request.parts.iter().cloned()).collect();
        self.next += 1 + parts.len() as u64;
        for (at, (part, _)) in parts.iter().enumerate() {
            self.parts.insert(*part, (id, at, 0));
        }
        let ids = parts.iter().map(|(part, _)| *part).collect();
        let open =
            Open { request: ask.request, reply: ask.reply, parts: ids, values: BTreeMap::new(), ends: 0 };
        self.queries.insert(id, open);
        (id, parts)
    }

    /// Takes a request out of the table: whoever holds it gives the final answer, and nobody else can.
    pub fn close(&mut self, id: RequestId) -> Option<Open> {
        let open = self.queries.remove(&id)?;
        for part in &open.parts {
            self.parts.remove(part);
        }
        Some(open)
    }

    /// The requests whose clients are gone.
    pub fn lost_clients(&self) -> Vec<RequestId> {
        self.queries.iter().filter(|(_, open)| open.reply.is_closed()).map(|(&id, _)| id).collect()
    }

    /// Notes how an attempt ended. The first value stands.
    pub fn note(&mut self, ended: &Ended) {
        let Some((query, ..)) = self.parts.get(&ended.attempt.part) else { return };
        let Some(open) = self.queries.get_mut(query) else { return };
        open.ends += 1;
        let result = match (ended.outcome, &ended.value) {
            (Outcome::Ok, Some(value)) => Ok(value.clone()),
            (Outcome::Full, _) => Err("turned away"),
            (Outcome::ConnectFailed | Outcome::Moot, _) => Err("no connection"),
            (Outcome::Reset, _) => Err("the connection broke"),
            (Outcome::Timeout, _) => Err("no answer in time"),
            _ => Err("the server answered with an error"),
        };
        let entry = open.values.entry(ended.attempt.part).or_insert_with(|| result.clone());
        if entry.is_err() {
            *entry = result;
        }
    }

    /// The next attempt of an open part, as a backend sends it. Attempts are numbered as the decisions do.
    pub fn job(&mut self, part: RequestId, until: Time) -> Option<Job> {
        let (query, at, attempts) = self.parts.get_mut(&part)?;
        let (request, at, number) = (&self.queries.get(query)?.request, *at, *attempts);
        *attempts += 1;
        Some(Job {
            attempt: Attempt { part, number },
            name: request.name.clone(),
            class: self.classes.get(request.class)?.clone(),
            shard: request.parts.get(at)?.shard,
            text: request.text.clone(),
            until,
            judge: request.judge.clone(),
        })
    }
}
