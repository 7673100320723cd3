//! What is kept of servers, queries, parts and attempts. Nothing here decides.

use super::*;

/// With so many resets, and more than answers, a query is the suspect. (Lost answers leave others answered.)
const SUSPECT_RESETS: u32 = 2;

#[derive(Default)]
pub(super) struct Server {
    pub(super) cell: u32,
    pub(super) size: f64,
    /// Its share of turns, the turns that it is owed by it, and the list's generation that brought it here.
    pub(super) weight: f64,
    pub(super) credit: f64,
    pub(super) generation: u64,
    pub(super) state: ServerState,
    pub(super) ready_at: Option<Time>,
    /// When its turn was last taken, as a count of turns.
    pub(super) turn: i64,
    /// Attempts out, by the time after which they are overdue.
    pub(super) out: BTreeSet<(Time, RequestId, u8)>,
    /// Answer times over the usual ones, smoothed. Errors and silence count as slow answers.
    pub(super) pace: f64,
    pub(super) judged: Time,
    /// What its last probe makes of it, as a pace; own answers and time override it.
    pub(super) hint: f64,
    pub(super) probed: Time,
    pub(super) last_sent: Time,
    /// Answer time in seconds, smoothed, and when it was last noted. Silence counts at its length so far.
    pub(super) wait: (f64, Time),
    /// Where it stands, 0 if that isn't told; and the first send since it was heard of that it kept.
    pub(super) zone: u32,
    pub(super) kept: Option<Time>,
    /// The latest send that it answered. Older parts still out were overtaken: they are long, not waiting.
    pub(super) passed: Time,
    /// Parts earned while cold, and until when these are counted.
    pub(super) earned: (f64, Time),
    /// Answers within the window for what servers take.
    pub(super) answers: SlidingWindow,
}

pub(super) struct Flight {
    pub(super) server: ServerId,
    pub(super) class: usize,
    pub(super) sent: Time,
    pub(super) overdue: Time,
}

#[derive(Default)]
pub(super) struct Part {
    pub(super) query: RequestId,
    pub(super) class: usize,
    pub(super) shard: u32,
    pub(super) weight: f64,
    pub(super) answered: bool,
    pub(super) first_sent: Option<Time>,
    pub(super) out: Vec<u8>,
    pub(super) tried: Vec<ServerId>,
    /// An attempt ended without proof that it never ran.
    pub(super) may_have_run: bool,
    /// The server that reset it at once: it goes back there first.
    pub(super) back: Option<ServerId>,
}

#[derive(Default)]
pub(super) struct Query {
    pub(super) class: usize,
    pub(super) number: u64,
    pub(super) asked_at: Time,
    pub(super) aim_at: Time,
    pub(super) end_at: Time,
    /// The list's generation under which it was admitted.
    pub(super) generation: u64,
    pub(super) second_step: bool,
    pub(super) first_whole: bool,
    pub(super) parts: Vec<RequestId>,
    /// How many of its attempts were reset, and how many answered.
    pub(super) resets: u32,
    pub(super) answers: u32,
    pub(super) repeat: bool,
    /// Its class and, added up, its shards: a repeat has the same.
    pub(super) kind: (usize, u64),
}

impl Query {
    /// More of its parts brought connections down than were answered: it may bring down what begins it.
    pub(super) fn suspect(&self) -> bool {
        self.resets >= SUSPECT_RESETS && self.resets > self.answers
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    Aim(RequestId),
    End(RequestId),
    Hedge(RequestId),
    Ask,
    Probe,
}
