//! What is kept of servers, queries, parts and attempts. Nothing here decides.

use crate::router::*;

/// With so many resets, and more than answers, a query is the suspect. (Lost answers leave others answered.)
const SUSPECT_RESETS: u32 = 2;

#[derive(Default)]
pub(crate) struct Server {
    pub(crate) cell: u32,
    pub(crate) size: f64,
    /// Its share of turns, the turns that it is owed by it, and the list's generation that brought it here.
    pub(crate) weight: f64,
    pub(crate) round_robin_credit: f64,
    pub(crate) generation: u64,
    pub(crate) state: ServerState,
    pub(crate) ready_at: Option<Time>,
    /// When its turn was last taken, as a count of turns.
    pub(crate) last_turn: i64,
    /// Attempts out, by the time after which they are overdue.
    pub(crate) in_flight: BTreeSet<(Time, RequestId, u8)>,
    /// Answer times over the usual ones, smoothed. Errors and silence count as slow answers.
    pub(crate) slowness_ratio: f64,
    pub(crate) last_updated: Time,
    /// What its last probe makes of it, as a pace; own answers and time override it.
    pub(crate) health_check_ratio: f64,
    pub(crate) last_health_check: Time,
    pub(crate) last_sent: Time,
    /// Answer time in seconds, smoothed, and when it was last noted. Silence counts at its length so far.
    pub(crate) smoothed_latency: (f64, Time),
    /// Where it stands, 0 if that isn't told; and the first send since it was heard of that it kept.
    pub(crate) zone: u32,
    pub(crate) unanswered_since: Option<Time>,
    /// The latest send that it answered. Older parts still out were overtaken: they are long, not waiting.
    pub(crate) last_answered_send: Time,
    /// Parts earned while cold, and until when these are counted.
    pub(crate) slow_start_credit: (f64, Time),
    /// Answers within the window for what servers take.
    pub(crate) answers: SlidingWindow,
}

pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) class: usize,
    pub(crate) sent_at: Time,
    pub(crate) overdue_at: Time,
}

#[derive(Default)]
pub(crate) struct Part {
    pub(crate) query: RequestId,
    pub(crate) class: usize,
    pub(crate) shard: u32,
    pub(crate) weight: f64,
    pub(crate) answered: bool,
    pub(crate) first_sent: Option<Time>,
    pub(crate) in_flight: Vec<u8>,
    pub(crate) tried: Vec<ServerId>,
    /// An attempt ended without proof that it never ran.
    pub(crate) may_have_run: bool,
    /// The server that reset it at once: it goes back there first.
    pub(crate) retry_on: Option<ServerId>,
}

#[derive(Default)]
pub(crate) struct Query {
    pub(crate) class: usize,
    pub(crate) number: u64,
    pub(crate) asked_at: Time,
    pub(crate) objective_at: Time,
    pub(crate) finish_at: Time,
    /// The list's generation under which it was admitted.
    pub(crate) generation: u64,
    pub(crate) second_step: bool,
    pub(crate) first_step_complete: bool,
    pub(crate) parts: Vec<RequestId>,
    /// How many of its attempts were reset, and how many answered.
    pub(crate) resets: u32,
    pub(crate) answers: u32,
    pub(crate) repeat: bool,
    /// Its class and, added up, its shards: a repeat has the same.
    pub(crate) fingerprint: (usize, u64),
}

impl Query {
    /// More of its parts brought connections down than were answered: it may bring down what begins it.
    pub(crate) fn is_suspect(&self) -> bool {
        self.resets >= SUSPECT_RESETS && self.resets > self.answers
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    Objective(RequestId),
    Deadline(RequestId),
    Hedge(RequestId),
    PollEndpoints,
    HealthCheck,
}
