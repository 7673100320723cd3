//! The words that the decisions speak: time, ids, settings, events and actions.

use std::ops::{Add, Sub};

/// A moment on the caller's clock, counted in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub i64);

impl Time {
    /// The moment `secs` seconds after the clock's zero; absurd numbers saturate.
    pub fn from_secs(secs: f64) -> Self {
        Time((secs * 1e6).round() as i64)
    }

    /// Seconds since the clock's zero.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

/// `time + seconds`.
impl Add<f64> for Time {
    type Output = Time;
    #[allow(clippy::suspicious_arithmetic_impl)] // seconds become microseconds
    fn add(self, secs: f64) -> Time {
        Time(self.0.saturating_add((secs * 1e6).round() as i64))
    }
}

/// Seconds between two moments; negative if `rhs` is the later one.
impl Sub for Time {
    type Output = f64;
    #[allow(clippy::suspicious_arithmetic_impl)] // microseconds become seconds
    fn sub(self, rhs: Time) -> f64 {
        self.0.saturating_sub(rhs.0) as f64 / 1e6
    }
}

/// A query or one of its parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A server that holds replicas of some shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// A class of query, as its place in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub u16);

/// What a second run of a part would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: repeat at will.
    Safe,
    /// Nothing, within the class's window.
    Keyed,
    /// Harm: a part may run once only.
    Unsafe,
}

/// One class of query.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this many seconds earns the full worth.
    pub aim: f64,
    /// Further seconds of aim for each second of expected work.
    pub aim_stretch: f64,
    /// The longest that a client waits over all its tries, in seconds.
    pub deadline: f64,
    /// Worth of a whole answer in time.
    pub worth: f64,
    /// Share of the worth that a late answer earns.
    pub late_share: f64,
    /// What a second run would do.
    pub effect: Effect,
    /// Seconds for which repeats of a keyed part are dropped.
    pub window: f64,
    /// Share of the first step's weight that makes an answer whole.
    pub need: f64,
    /// Least share for any answer.
    pub floor: f64,
    /// Share of the worth that a partial answer earns, times its share over `need`.
    pub partial: f64,
    /// Parts of the second step; 0 where there is none.
    pub fetch: u32,
}

impl Class {
    /// Seconds within which an answer to a query of so many seconds of work, if that is told, earns the full worth.
    pub fn aim_for(&self, work: Option<f64>) -> f64 {
        let work = work.filter(|work| work.is_finite()).unwrap_or(0.0).max(0.0);
        (self.aim + self.aim_stretch * work).min(self.deadline)
    }

    /// Least weights for a whole and for any answer in one of the two steps.
    pub fn bars(&self, second_step: bool) -> (f64, f64) {
        match (second_step, self.floor < self.need) {
            (false, _) => (self.need, self.floor.min(self.need)),
            (true, true) => (1.0, self.floor),
            (true, false) => (1.0, 1.0),
        }
    }
}

/// A stated limit on attempts beyond each part's first.
#[derive(Clone, Copy, Debug)]
pub struct AttemptBudget {
    /// Attempts that are always allowed within the window.
    pub free: f64,
    /// Attempts earned by each query or part taken in the window.
    pub share: f64,
    /// Length of the window in seconds.
    pub window: f64,
}

/// The facts of one deployment, told once at the start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Classes of query.
    pub classes: Vec<Class>,
    /// Number of aggregators in the deployment.
    pub group_size: u32,
    /// Number of cells; shard s is held by cells s to s + reach - 1, modulo this.
    pub cells: u32,
    /// Cells in a row that hold a shard.
    pub reach: u32,
    /// Most parts that one call to a server may carry.
    pub parts_a_call: u32,
    /// Shortest time between two calls, in seconds.
    pub tick: f64,
    /// Most attempts for a part.
    pub max_attempts: u32,
    /// Whether servers may be probed, and which value of their report is the count of requests they hold.
    pub probes: Option<usize>,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// Whether a part may have two attempts out at once.
    pub second_copies: bool,
    /// The longest retry-after advice that clients heed, in seconds; `None` where none is passed on.
    pub retry_after: Option<f64>,
    /// Where lists come only on request: longest time without asking, in seconds.
    pub must_ask: Option<f64>,
    /// Seconds within which sends to a draining or gone server must end.
    pub drain_grace: f64,
    /// Capacity share at which a server starts, at least.
    pub cold_from: f64,
    /// Seconds after which a started server is warm, at the latest.
    pub warm_up: f64,
    /// Multiple of its present capacity that pushes a cold server over.
    pub fall_multiple: f64,
    /// Seconds for which that multiple must be kept up.
    pub fall_window: f64,
    /// The stated limit on further attempts, if any.
    pub budget: Option<AttemptBudget>,
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work and takes nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the server list.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    /// The server.
    pub server: ServerId,
    /// Its cell, which tells the shards that it holds.
    pub cell: u32,
    /// Where it stands: servers of one zone may be lost together. 0 where that isn't told.
    pub zone: u32,
    /// Its state.
    pub state: ServerState,
    /// Its size beside the others.
    pub size: f64,
    /// Its share of turns beside the other holders of its shards; 0: only what no other can take.
    pub weight: f64,
    /// The generation of the list that it stands in; queries keep to the servers of theirs and of older ones.
    pub generation: u64,
    /// When it started, if that is known.
    pub ready_at: Option<Time>,
}

/// News of the server list.
#[derive(Clone, Debug)]
pub enum ListNews {
    /// The whole list; a server not in it is gone.
    Full(Vec<Listed>),
    /// The last list of an earlier life, perhaps old.
    Cached(Vec<Listed>),
    /// Only what changed.
    Delta(Vec<Listed>),
    /// A request for the list failed or the subscription broke.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Ok,
    /// An error answer; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether it proves that the attempt never ran, as the protocol's table has it.
    pub fn never_ran(self) -> bool {
        match self {
            Outcome::Full | Outcome::ConnectFailed | Outcome::Moot => true,
            Outcome::Ok
            | Outcome::Error
            | Outcome::Timeout
            | Outcome::Reset
            | Outcome::Cancelled => false,
        }
    }
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the server list.
    List(ListNews),
    /// A query arrived; its parts follow.
    Query {
        /// Its id.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// The number that ties its parts to it.
        number: u64,
        /// When its client stops waiting.
        due: Time,
        /// Expected work in seconds, where it is known.
        work: Option<f64>,
        /// A client's repeat of an earlier try, where clients mark these.
        repeat: bool,
    },
    /// A part of a query arrived.
    Part {
        /// Its id.
        id: RequestId,
        /// The number of its query.
        number: u64,
        /// The shard it needs.
        shard: u32,
        /// Its weight; those of a step sum to 1.
        weight: f64,
    },
    /// An attempt is over.
    Done {
        /// The part.
        id: RequestId,
        /// The attempt's number.
        attempt: u8,
        /// How it ended.
        outcome: Outcome,
    },
    /// A probe is over.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The values of its load report, in the order of the deployment's settings; may be none.
        report: Vec<f64>,
    },
    /// Others doubt these servers.
    Advised(Vec<ServerId>),
    /// Nobody waits for this query any more.
    Withdrawn(RequestId),
    /// A moment asked for by [`Action::Wake`] has come.
    Wake,
}

/// What an aggregator believes of its servers at a moment, for its log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Beliefs {
    /// Servers that the list calls ready.
    pub ready: usize,
    /// Of these, the doubted ones.
    pub doubted: usize,
    /// Of the ready ones, those with an overdue part out.
    pub overdue: usize,
    /// Of the ready ones, those younger than the warm-up time.
    pub young: usize,
    /// Each class's usual answer time in milliseconds.
    pub usual_ms: Vec<u32>,
}

/// Something to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send a part to a server.
    Send {
        /// The part.
        part: RequestId,
        /// The server.
        server: ServerId,
        /// When the attempt is abandoned.
        until: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The part.
        part: RequestId,
        /// The attempt's number.
        attempt: u8,
    },
    /// Ask a server for its load report.
    Probe(ServerId),
    /// End a step of a query with what its parts brought.
    Answer {
        /// The query.
        query: RequestId,
        /// Whether the answer is whole.
        whole: bool,
    },
    /// End a query unserved; trying again is harmless.
    Refuse {
        /// The query.
        query: RequestId,
        /// Seconds for which the client should stay away.
        retry_after: Option<f64>,
    },
    /// End a query unserved, promising nothing.
    Fail {
        /// The query.
        query: RequestId,
    },
    /// Call again at this moment.
    Wake(Time),
    /// Ask for changes to the server list from now on.
    Subscribe,
}
