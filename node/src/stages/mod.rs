//! The chain of stages that a request passes.
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

use crate::clock::Clock;
use crate::config::Config;
use crate::contract::Contracts;
use crate::discovery::{self, Directory};
use crate::pool::{Brought, Pool};
use crate::tally::{Count, Tally};
use crate::wheel::{Due, Wheel};
use crate::words::{Ask, Attempt, Ended, Message, News, Phase};
use cairnroad::{Action, Event, Outcome, Time};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

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
    contracts: Rc<Contracts>,
    messages: mpsc::Receiver<Message>,
    phase: Rc<watch::Sender<Phase>>,
    started: Time,
    fresh_list: bool,
    tally: Tally,
    warm_up: f64,
}

impl Core {
    pub fn new(
        config: &Config,
        contracts: Rc<Contracts>,
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
            pool: Pool::new(config, contracts.clone(), clock, messages.0),
            wheel,
            directory: Directory::default(),
            contracts,
            messages: messages.1,
            phase,
            started: now,
            fresh_list: false,
            tally: Tally::new(f64::from(config.log.tally_s), now),
            warm_up: config.deployment.policy.warm_up,
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
                    Some(Brought::NotUp) => self.tally.add(Count::DialFaults),
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
            admit::admit(now, ask, &mut self.book, &mut self.route, &mut self.tally);
        }
        // Sends that fail at once bring outcomes, which are the next call's events; three attempts a part
        // bound the rounds.
        while self.route.has_events() {
            for action in self.route.decide(now) {
                self.tally.action(&action);
                if relay::is_final(&action) {
                    relay::relay(&action, now, &mut self.book, &mut self.tally);
                } else {
                    self.count_send(now, &action);
                    send::carry(now, &action, &mut self.book, &mut self.pool, &mut self.wheel);
                }
            }
            for ended in send::flush(now, &mut self.pool, &mut self.wheel, &mut self.tally) {
                self.ended(ended);
            }
        }
        let (links, route) = (self.pool.links(), &self.route);
        if let Some(line) = self.tally.line(now, links, || route.beliefs(now)) {
            tracing::info!("tally {line}");
        }
        let current = *self.phase.borrow();
        if current == Phase::Starting && self.is_ready(now) {
            self.phase.send_replace(Phase::Serving);
        }
    }

    /// Counts a send by what it is: a further attempt, a copy, one to a server that may be cold.
    fn count_send(&mut self, now: Time, action: &Action) {
        let Action::Send { part, server, .. } = *action else { return };
        if !self.tally.is_on() {
            return;
        }
        let earlier = self.book.attempts(part);
        if earlier > 0 {
            self.tally.add(Count::Further);
        }
        if (0..earlier).any(|number| self.pool.is_out(Attempt { part, number })) {
            self.tally.add(Count::Copies);
        }
        if self.pool.is_young(now, server, self.warm_up) {
            self.tally.add(Count::Cold);
        }
    }

    fn ended(&mut self, ended: Ended) {
        self.tally.outcome(ended.outcome);
        let Attempt { part, number } = ended.attempt;
        self.book.note(&ended);
        self.route.push(Event::Done { id: part, attempt: number, outcome: ended.outcome });
    }

    fn note_news(&mut self, news: &News, cached: bool) {
        self.contracts.note_list(&news.rows, news.complete);
        if !news.rows.is_empty() {
            self.tally.add(if news.complete { Count::Lists } else { Count::Changes });
        }
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
            let contracts = Rc::new(Contracts::new(clock.clone(), Default::default()));
            let phase = Rc::new(watch::channel(Phase::Starting).0);
            let mut core = Core::new(&config, contracts, clock, asked, mpsc::channel(64), phase);
            for generation in 0..300 {
                let row = |(at, state)| crate::words::Row {
                    id: format!("s-{at}"),
                    address: "127.0.0.1:1".parse().unwrap(),
                    cell: at as u32 % 2,
                    zone: 0,
                    state,
                    size: 1.0,
                    weight: 1.0,
                    generation: 0,
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
}
