//! The chain of stages that a request passes.
//!
//! `intake` takes requests from the fronts, `admit` lets them in or not, `route` asks the decisions, `send`
//! carries their sends and cancels to the pool, `relay` words the final answers, `book` keeps the table of what
//! is open. One task, [`Core`], owns them all.

pub mod admission;
pub mod dispatch;
pub mod request_queue;
pub mod request_table;
pub mod respond;
pub mod routing;

use crate::admin_api::suspension_store::SuspensionStore;
use crate::clock::Clock;
use crate::configuration::Config;
use crate::connections::pool::{self, Pool, PoolEvent};
use crate::contract::Contracts;
use crate::discovery::{self, Directory};
use crate::messages::{
    Attempt, AttemptResult, ClientRequest, EndpointEntry, EndpointListUpdate, Index, Message,
    Phase, ServedConfiguration,
};
use crate::observability::metrics::{Counter, Metrics};
use crate::timer_wheel::{Timer, TimerWheel};
use cairnroad_admin::reconfigure::{self, Reconfiguration};
use cairnroad_admin::request::{AdminRequest, AdminResponse};
use cairnroad_admin::suspensions::Suspensions;
use cairnroad_types::{Action, ClassId, Event, Outcome, ServerId, Time};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// How long a fresh list is waited for before a cached one will do.
const FRESH_LIST: f64 = 1.0;

/// How often the bans that another process may have changed are looked at, in seconds: well within the grace of a
/// quarter second after which a suspended server gets nothing new.
const LOOK: f64 = 0.05;

/// How often peers are told what is doubted, in seconds.
const TELL_DOUBTS: f64 = 1.0;
/// What is doubted is told while the last sign of it is no older than so many times that. Where all heed one another
/// nobody tries the server, so old signs must fade, or it would be doubted for good.
const LATELY: f64 = 3.0;

/// All state of the core, in the hands of one task.
pub struct Core {
    clock: Clock,
    intake: request_queue::Intake,
    route: routing::RoutingStage,
    book: request_table::RequestTable,
    pool: Pool,
    wheel: TimerWheel<Timer>,
    directory: Directory,
    contracts: Rc<Contracts>,
    messages: mpsc::Receiver<Message>,
    phase: Rc<watch::Sender<Phase>>,
    /// What the fronts offer.
    offer: watch::Sender<Arc<ServedConfiguration>>,
    started: Time,
    fresh_list: bool,
    tally: Metrics,
    warm_up: f64,
    sweep: f64,
    bans: Suspensions,
    /// Where bans are kept; `None` without a door for operators.
    shelf: Option<SuspensionStore>,
    /// Where peers are told what is doubted; `None` without peers.
    peers: Option<watch::Sender<(Vec<String>, usize)>>,
}

impl Core {
    pub fn new(
        config: &Config,
        contracts: Rc<Contracts>,
        clock: Clock,
        asks: mpsc::Receiver<ClientRequest>,
        messages: (mpsc::Sender<Message>, mpsc::Receiver<Message>),
        phase: Rc<watch::Sender<Phase>>,
        offer: watch::Sender<Arc<ServedConfiguration>>,
    ) -> Self {
        let now = clock.now();
        let mut wheel = TimerWheel::new(now, config.served.deployment.policy.tick);
        let sweep = pool::sweep_every(&config.served.deployment);
        wheel.insert(now + sweep, Timer::Sweep);
        let mut core = Core {
            clock: clock.clone(),
            intake: request_queue::Intake::new(asks),
            route: routing::RoutingStage::new(config),
            book: request_table::RequestTable::new(config),
            pool: Pool::new(config, contracts.clone(), clock, messages.0),
            wheel,
            directory: Directory::default(),
            contracts,
            messages: messages.1,
            phase,
            offer,
            started: now,
            fresh_list: false,
            tally: Metrics::new(f64::from(config.log.metrics_interval_s), now),
            warm_up: config.served.deployment.policy.slow_start_duration,
            sweep,
            bans: Suspensions::default(),
            shelf: config
                .admin_listen
                .map(|_| SuspensionStore::new(config.shared_dir.as_deref(), &config.name)),
            peers: None,
        };
        // Before any list: what an earlier process was told must hold from the first send on.
        core.look(now);
        core.note_news(&config.known_endpoints, true);
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
                Message::Endpoints(news) => self.note_news(&news, false),
                Message::Connection(event) => match self.pool.note(now, event) {
                    Some(PoolEvent::Attempt(ended)) => self.ended(ended),
                    Some(PoolEvent::Probe {
                        server,
                        outcome,
                        report,
                    }) => {
                        self.route.push(Event::HealthCheckEnded {
                            server,
                            outcome,
                            report,
                        });
                    }
                    Some(PoolEvent::NotUp) => self.tally.add(Counter::DialFaults),
                    None => {}
                },
                Message::Admin(call, reply) => {
                    let _ = reply.send(self.operate(now, call));
                }
                Message::OutlierAdvice(ids) => self.advised(&ids),
                Message::FinishBy(moment) => self.route.end_by(moment),
                Message::Reconfigure(fresh, reply) => {
                    let _ = reply.send(self.retune(*fresh));
                }
            }
        }
        for due in self.wheel.turn(now) {
            match due {
                Timer::Wake => self.route.push(Event::TimerFired),
                Timer::Attempt(attempt) => {
                    if self.pool.abandon(attempt) {
                        self.ended(AttemptResult {
                            attempt,
                            outcome: Outcome::Timeout,
                            value: None,
                        });
                    }
                }
                Timer::Dial(link) => self.pool.dial_is_due(link),
                Timer::Sweep => {
                    self.pool.sweep(now);
                    self.wheel.insert(now + self.sweep, Timer::Sweep);
                }
                Timer::Look => self.look(now),
                Timer::TellDoubts => self.tell_doubts(now),
            }
        }
        for query in self.book.lost_clients() {
            self.route.push(Event::ClientGone(query));
            self.book.close(query);
        }
        for ask in self.intake.take() {
            admission::admit(now, ask, &mut self.book, &mut self.route, &mut self.tally);
        }
        // Sends that fail at once bring outcomes, which are the next call's events; three attempts a part
        // bound the rounds.
        while self.route.has_events() {
            for action in self.route.decide(now) {
                self.tally.action(&action);
                if respond::is_final(&action) {
                    respond::relay(&action, now, &mut self.book, &mut self.tally);
                } else {
                    self.count_send(now, &action);
                    dispatch::carry(
                        now,
                        &action,
                        &mut self.book,
                        &mut self.pool,
                        &mut self.wheel,
                    );
                }
            }
            for attempt in self.book.take_unwanted() {
                self.pool.unwant(attempt);
            }
            for ended in dispatch::flush(now, &mut self.pool, &mut self.wheel, &mut self.tally) {
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
        let Action::Send { part, server, .. } = *action else {
            return;
        };
        if !self.tally.is_on() {
            return;
        }
        let earlier = self.book.attempts(part);
        if earlier > 0 {
            self.tally.add(Counter::Further);
        }
        if (0..earlier).any(|number| self.pool.is_out(Attempt { part, number })) {
            self.tally.add(Counter::Copies);
        }
        if self.pool.is_young(now, server, self.warm_up) {
            self.tally.add(Counter::Cold);
        }
    }

    fn ended(&mut self, ended: AttemptResult) {
        self.tally.outcome(ended.outcome);
        let Attempt { part, number } = ended.attempt;
        self.book.note(&ended);
        self.route.push(Event::AttemptEnded {
            id: part,
            attempt: number,
            outcome: ended.outcome,
        });
    }

    fn note_news(&mut self, news: &EndpointListUpdate, cached: bool) {
        self.contracts.note_list(&news.rows, news.complete);
        if !news.rows.is_empty() {
            self.tally.add(if news.complete {
                Counter::Lists
            } else {
                Counter::Changes
            });
        }
        let mut rows = self.directory.number(news);
        if self.shelf.is_some() {
            rows.iter().for_each(|(_, row)| self.bans.listed(&row.id));
        }
        self.tell(&mut rows, news.complete, cached);
        self.fresh_list |= !cached;
    }

    /// Tells pool and decisions what the list says, as operators' bans leave it.
    fn tell(&mut self, rows: &mut [(ServerId, EndpointEntry)], complete: bool, cached: bool) {
        for (_, row) in &mut *rows {
            (row.state, row.ready_at) = self.bans.overlay(&row.id, row.state, row.ready_at);
        }
        self.pool.note_list(rows, complete);
        self.route.push(Event::Endpoints(discovery::list_news(
            rows, complete, cached,
        )));
    }

    /// Looks at what another process of this coordinator may have changed.
    fn look(&mut self, now: Time) {
        let Some(shelf) = &mut self.shelf else { return };
        for id in self.bans.expire(now, self.warm_up) {
            shelf.drop(&id);
        }
        if let Some(kept) = shelf.look() {
            let changed = self.bans.merge(&kept);
            if !changed.is_empty() {
                tracing::info!(
                    servers = changed.join(", "),
                    "another process's bans are taken over"
                );
                self.tell_again(&changed);
            }
        }
        self.wheel.insert(now + LOOK, Timer::Look);
    }

    /// Says anew what the list says of these servers.
    fn tell_again(&mut self, ids: &[String]) {
        let mut rows: Vec<_> = ids.iter().filter_map(|id| self.directory.row(id)).collect();
        self.tell(&mut rows, false, false);
    }

    /// Takes other settings: before anything else of this tick, and whole or not at all.
    fn retune(&mut self, fresh: ServedConfiguration) -> Result<Arc<ServedConfiguration>, String> {
        let in_force = self.offer.borrow().clone();
        let held = |class: ClassId| self.book.holds(usize::from(class.0));
        let retuned = reconfigure::retune(&in_force.deployment, &fresh.deployment, held)?;
        let Reconfiguration {
            deployment,
            places,
            renewed,
            waiting,
        } = retuned;
        if !waiting.is_empty() {
            tracing::warn!(
                keys = waiting.join(", "),
                "reload: settings that take a restart stay as they were"
            );
        }
        let place = |class: usize| places.get(class).map(|place| usize::from(place.0));
        let index = |index: Index| {
            Some(Index {
                class: place(index.class)?,
                ..index
            })
        };
        let indices = fresh.indices.into_iter().filter_map(index).collect();
        self.book.retune(&deployment);
        self.pool.retune(&deployment);
        self.route.retune(&deployment, &renewed, &places);
        self.warm_up = deployment.policy.slow_start_duration;
        let offer = Arc::new(ServedConfiguration {
            deployment,
            indices,
        });
        self.offer.send_replace(offer.clone());
        Ok(offer)
    }

    /// From now on peers are told which data nodes this coordinator's own answers make it doubt.
    pub fn tell_peers(&mut self, peers: watch::Sender<(Vec<String>, usize)>) {
        self.peers = Some(peers);
        self.wheel
            .insert(self.clock.now() + TELL_DOUBTS, Timer::TellDoubts);
    }

    fn tell_doubts(&mut self, now: Time) {
        let Some(peers) = &self.peers else { return };
        let doubted = self.route.doubted_lately(now, TELL_DOUBTS * LATELY);
        let ids: Vec<String> = self.directory.ids(&doubted).map(str::to_string).collect();
        let listed = self.directory.len();
        peers.send_if_modified(|told| {
            let fresh = told.0 != ids || !ids.is_empty();
            *told = (ids, listed);
            fresh
        });
        self.wheel.insert(now + TELL_DOUBTS, Timer::TellDoubts);
    }

    /// Peers doubt these data nodes. Only those that this coordinator's own list names are looked at.
    fn advised(&mut self, ids: &[String]) {
        let known = ids
            .iter()
            .filter_map(|id| self.directory.row(id))
            .map(|(server, _)| server);
        let servers: Vec<ServerId> = known.collect();
        if !servers.is_empty() {
            self.route.push(Event::OutlierAdvice(servers));
        }
    }

    /// Carries out an operator's call.
    fn operate(&mut self, now: Time, call: AdminRequest) -> AdminResponse {
        let verdict = match &call {
            // The door answers these by itself.
            AdminRequest::Ready | AdminRequest::Peers => AdminResponse::Yes,
            AdminRequest::Suspend(id) if !self.bans.knows(id) => AdminResponse::Unknown,
            AdminRequest::Suspend(id) if !self.bans.has_room(id) => AdminResponse::TooMany,
            AdminRequest::Suspend(id) => self.put(id, self.bans.suspended(id, now)),
            AdminRequest::Resume(id) if !self.bans.knows(id) => AdminResponse::Unknown,
            AdminRequest::Resume(id) => match self.bans.resumed(id, now) {
                Some(ban) => self.put(id, ban),
                None => AdminResponse::Yes,
            },
            AdminRequest::Drain => self.turn_to(|phase| match phase {
                Phase::Starting | Phase::Serving => Some(Phase::Drained),
                _ => None,
            }),
            // The next tick says whether it is ready.
            AdminRequest::Activate => {
                self.turn_to(|phase| (phase == Phase::Drained).then_some(Phase::Starting))
            }
        };
        tracing::info!(?call, ?verdict, "an operator's call");
        verdict
    }

    fn put(&mut self, id: &str, ban: cairnroad_admin::suspensions::Suspension) -> AdminResponse {
        if self.bans.put(id, ban) {
            if let Some(shelf) = &mut self.shelf {
                shelf.keep(id, ban);
            }
            self.tell_again(&[id.to_string()]);
        }
        AdminResponse::Yes
    }

    fn turn_to(&self, next: impl Fn(Phase) -> Option<Phase>) -> AdminResponse {
        let current = *self.phase.borrow();
        if matches!(current, Phase::Stopping | Phase::Closing | Phase::Refusing) {
            return AdminResponse::NotNow("the process was told to stop");
        }
        if let Some(phase) = next(current) {
            self.phase.send_replace(phase);
        }
        AdminResponse::Yes
    }

    /// Ready once a server is known, from a fresh list or, if that doesn't come, from the cached one.
    fn is_ready(&self, now: Time) -> bool {
        self.pool.any_ready() && (self.fresh_list || now - self.started > FRESH_LIST)
    }
}

#[cfg(test)]
mod tests;
