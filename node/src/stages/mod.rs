//! The chain of stages that a request passes, and the words that they share: requests, attempts and outcomes,
//! without any wire.
//!
//! `intake` takes requests from the fronts, `admit` lets them in or not, `route` asks the decisions, `send`
//! carries their sends and cancels to the pool, `relay` words the final answers, `book` keeps the table of what
//! is open. One task, [`Core`], owns them all.

pub mod admit;
pub mod book;
pub mod intake;
pub mod relay;
pub mod route;
pub mod send;

use crate::config::Config;
use crate::discovery::{self, Directory, News};
use crate::pool::{LinkEvent, Pool};
use crate::wheel::Wheel;
use cairnroad::{Event, Outcome, RequestId, ServerId, Time};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch};

/// One part of a request: a shard, and its share of the whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct PartSpec {
    pub shard: u32,
    pub weight: f64,
}

/// What every part carries, unchanged.
#[derive(Clone, Debug, PartialEq)]
pub enum Text {
    /// A text that is nobody's but the client's and the servers'.
    Plain(Arc<str>),
    /// A JSON object of the query language.
    Query(Arc<str>),
}

impl Text {
    pub fn as_str(&self) -> &str {
        match self {
            Text::Plain(text) | Text::Query(text) => text,
        }
    }
}

/// A request, whichever front it came by.
#[derive(Debug)]
pub struct Request {
    /// Its name among servers.
    pub name: Arc<str>,
    pub class: usize,
    /// When its client stops waiting.
    pub due: Time,
    pub repeat: bool,
    /// Expected work in seconds, if the client told.
    pub work: Option<f64>,
    pub parts: Vec<PartSpec>,
    pub text: Text,
}

/// What a server gave for a part, byte by byte as it came.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A value that is nobody's but the server's and the client's.
    Plain(Arc<[u8]>),
    /// A hits object of the query language.
    Hits(Arc<str>),
}

/// What became of one part of an answered request.
#[derive(Clone, Debug)]
pub struct PartAnswer {
    pub shard: u32,
    /// Its value, or why there is none.
    pub value: Result<Value, &'static str>,
}

/// The one final answer.
#[derive(Clone, Debug)]
pub enum Answer {
    Served {
        whole: bool,
        parts: Vec<PartAnswer>,
    },
    /// Trying again is harmless, after so many seconds.
    Refused {
        retry_after: f64,
        busy: bool,
    },
    /// Nothing is promised.
    Failed {
        late: bool,
    },
    /// Not taken: its name was used before.
    Repeated,
}

/// A request and where its answer goes. A front that drops the other end has lost its client.
#[derive(Debug)]
pub struct Ask {
    pub request: Request,
    pub reply: oneshot::Sender<Answer>,
}

/// One attempt of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    pub part: RequestId,
    pub number: u8,
}

/// An attempt as a backend sends it.
#[derive(Clone, Debug)]
pub struct Job {
    pub attempt: Attempt,
    /// The request's name, the class's name and the shard.
    pub name: Arc<str>,
    pub class: Arc<str>,
    pub shard: u32,
    pub text: Text,
    pub until: Time,
}

/// How an attempt ended, and what it brought.
#[derive(Clone, Debug)]
pub struct Ended {
    pub attempt: Attempt,
    pub outcome: Outcome,
    pub value: Option<Value>,
}

/// What reaches the core from outside its task.
pub enum Message {
    News(News),
    Link(LinkEvent),
}

/// The state that `/_health` and the connections of a stopping program go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Starting,
    Serving,
    /// Told to stop: all that comes is still answered.
    Stopping,
    /// Idle connections are closed.
    Closing,
}

/// The clock: Unix time that only goes forward. It also knows of stalls, for a request that is read after one
/// may have been sent at its start.
#[derive(Clone)]
pub struct Clock(Rc<ClockState>);

struct ClockState {
    start: Instant,
    unix: Time,
    /// The last beat; and the last stall's start and end.
    beat: Cell<Time>,
    stall: Cell<(Time, Time)>,
}

/// Beats further apart than this are a stall.
const STALL: f64 = 0.025;
/// For so long after a stall, what is read may have come during it.
const AFTER_STALL: f64 = 0.010;

impl Clock {
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix = Time(unix.as_micros() as i64);
        let start = Instant::now();
        Clock(Rc::new(ClockState { start, unix, beat: Cell::new(unix), stall: Cell::new((unix, unix)) }))
    }

    pub fn now(&self) -> Time {
        Time(self.0.unix.0 + self.0.start.elapsed().as_micros() as i64)
    }

    /// Called by the core's every tick.
    pub fn beat(&self) {
        let now = self.now();
        let last = self.0.beat.replace(now);
        if now - last > STALL {
            self.0.stall.set((last, now));
        }
    }

    /// The earliest moment at which what is read now may have reached this machine. Guards against counting a
    /// client's time from after a stall of ours, in which its request lay unread.
    pub fn earliest_arrival(&self) -> Time {
        let now = self.now();
        let beat = self.0.beat.get();
        let (from, to) = self.0.stall.get();
        if now - beat > STALL {
            beat
        } else if now - to < AFTER_STALL {
            from
        } else {
            now
        }
    }
}

/// What a tick of the wheel brings.
pub enum Due {
    /// The decisions asked to be called.
    Wake,
    /// An attempt's time is up.
    Attempt(Attempt),
    /// A connection should be up by now.
    Dial(u64),
    /// Idle connections are looked for.
    Sweep,
}

/// How often idle connections are looked for, in seconds.
const SWEEP: f64 = 0.5;

/// How long a fresh list is waited for before a cached one will do.
const FRESH_LIST: f64 = 1.0;

/// All state of the core, in the hands of one task.
pub struct Core {
    clock: Clock,
    intake: intake::Intake,
    route: route::Route,
    book: book::Book,
    pool: Pool,
    wheel: Wheel<Due>,
    directory: Directory,
    messages: mpsc::Receiver<Message>,
    phase: Rc<watch::Sender<Phase>>,
    started: Time,
    fresh_list: bool,
}

impl Core {
    pub fn new(
        config: &Config,
        clock: Clock,
        asks: mpsc::Receiver<Ask>,
        messages: (mpsc::Sender<Message>, mpsc::Receiver<Message>),
        phase: Rc<watch::Sender<Phase>>,
    ) -> Self {
        let now = clock.now();
        let mut wheel = Wheel::new(now, config.deployment.policy.tick);
        wheel.insert(now + SWEEP, Due::Sweep);
        let mut core = Core {
            clock: clock.clone(),
            intake: intake::Intake::new(asks),
            route: route::Route::new(config),
            book: book::Book::new(config),
            pool: Pool::new(config, clock, messages.0),
            wheel,
            directory: Directory::default(),
            messages: messages.1,
            phase,
            started: now,
            fresh_list: false,
        };
        core.note_news(&config.known, true);
        core
    }

    /// Ticks for as long as the program lives.
    pub async fn run(mut self, tick: f64) {
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(tick));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.clock.beat();
            // Lets the sockets be read first: after a stall, news and answers that lie there must be known
            // before any timer is judged or any send is made.
            for _ in 0..3 {
                tokio::task::yield_now().await;
            }
            self.turn();
        }
    }

    /// One tick: all that came is one call of the decisions.
    fn turn(&mut self) {
        let now = self.clock.now();
        while let Ok(message) = self.messages.try_recv() {
            match message {
                Message::News(news) => self.note_news(&news, false),
                Message::Link(event) => match self.pool.note(now, event) {
                    Some(Brought::Attempt(ended)) => self.ended(ended),
                    Some(Brought::Probe { server, outcome, report }) => {
                        self.route.push(Event::Probed { server, outcome, report });
                    }
                    None => {}
                },
            }
        }
        for due in self.wheel.turn(now) {
            match due {
                Due::Wake => self.route.push(Event::Wake),
                Due::Attempt(attempt) => {
                    if self.pool.abandon(attempt) {
                        self.ended(Ended { attempt, outcome: Outcome::Timeout, value: None });
                    }
                }
                Due::Dial(link) => self.pool.dial_is_due(link),
                Due::Sweep => {
                    self.pool.sweep(now);
                    self.wheel.insert(now + SWEEP, Due::Sweep);
                }
            }
        }
        for query in self.book.lost_clients() {
            self.route.push(Event::Withdrawn(query));
            self.book.close(query);
        }
        for ask in self.intake.take() {
            admit::admit(now, ask, &mut self.book, &mut self.route);
        }
        // Sends that fail at once bring outcomes, which are the next call's events; three attempts a part
        // bound the rounds.
        while self.route.has_events() {
            for action in self.route.decide(now) {
                if relay::is_final(&action) {
                    relay::relay(&action, now, &mut self.book);
                } else {
                    send::carry(now, &action, &mut self.book, &mut self.pool, &mut self.wheel);
                }
            }
            for ended in send::flush(now, &mut self.pool, &mut self.wheel) {
                self.ended(ended);
            }
        }
        let current = *self.phase.borrow();
        if current == Phase::Starting && self.is_ready(now) {
            self.phase.send_replace(Phase::Serving);
        }
    }

    fn ended(&mut self, ended: Ended) {
        let Attempt { part, number } = ended.attempt;
        self.book.note(&ended);
        self.route.push(Event::Done { id: part, attempt: number, outcome: ended.outcome });
    }

    fn note_news(&mut self, news: &News, cached: bool) {
        let rows = self.directory.number(news);
        self.pool.note_list(&rows, news.complete);
        self.route.push(Event::List(discovery::list_news(&rows, news.complete, cached)));
        self.fresh_list |= !cached;
    }

    /// Ready once a server is known, from a fresh list or, if that doesn't come, from the cached one.
    fn is_ready(&self, now: Time) -> bool {
        self.pool.any_ready() && (self.fresh_list || now - self.started > FRESH_LIST)
    }
}

/// What a connection brought to the core's table.
pub enum Brought {
    Attempt(Ended),
    Probe { server: ServerId, outcome: Outcome, report: Vec<f64> },
}

#[cfg(test)]
mod tests {
    use super::*;
    use cairnroad::ServerState;

    /// Guards against tables that grow with every server that a long day replaces.
    #[test]
    fn replaced_servers_are_forgotten() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let config = crate::config::tests::sample();
            let (clock, (_asks, asked)) = (Clock::new(), mpsc::channel(4));
            let phase = Rc::new(watch::channel(Phase::Starting).0);
            let mut core = Core::new(&config, clock, asked, mpsc::channel(64), phase);
            for generation in 0..300 {
                let row = |(at, state)| discovery::Row {
                    id: format!("s-{at}"),
                    address: "127.0.0.1:1".parse().unwrap(),
                    cell: at as u32 % 2,
                    state,
                    size: 1.0,
                    ready_at: None,
                };
                let gone = (generation, ServerState::Gone);
                let fresh = (generation + 1..generation + 5).map(|at| (at, ServerState::Ready));
                // By changes and, now and then, by a whole list without the one that is gone.
                let complete = generation % 3 == 0;
                let rows = std::iter::once(gone).filter(|_| !complete).chain(fresh).map(row).collect();
                core.note_news(&News { revision: 1, complete, rows }, false);
                core.turn();
                core.pool.sweep(core.clock.now());
            }
            assert_eq!((core.directory.len(), core.pool.size().0, core.route.servers()), (4, 4, 4));
        });
    }

    #[test]
    fn what_is_read_after_a_stall_may_have_come_at_its_start() {
        let clock = Clock::new();
        clock.beat();
        let before = clock.now();
        std::thread::sleep(Duration::from_millis(60));
        assert!(clock.earliest_arrival() <= before, "no beat for 60 ms");
    }
}
