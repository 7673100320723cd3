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
pub mod router_driver;

use crate::admin_api::suspension_store::SuspensionStore;
use crate::clock::Clock;
use crate::configuration::Config;
use crate::connections::pool::{self, Pool, PoolEvent};
use crate::contract::Contracts;
use crate::discovery::{self, Directory};
use crate::messages::{
    Attempt, AttemptResult, ClientRequest, EndpointEntry, EndpointListUpdate, Index, LocalOutliers,
    Message, Phase, ReconfigurationError, ServedConfiguration,
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
const FRESH_LIST_WAIT: f64 = 1.0;

/// How often the bans that another process may have changed are looked at, in seconds: well within the grace of a
/// quarter second after which a suspended server gets nothing new.
const SUSPENSION_POLL_INTERVAL: f64 = 0.05;

/// How often peers are told what is doubted, in seconds.
const OUTLIER_PUBLICATION_INTERVAL: f64 = 1.0;
/// What is doubted is told while the last sign of it is no older than so many times that. Where all heed one another
/// nobody tries the server, so old signs must fade, or it would be doubted for good.
const RECENT_OUTLIER_INTERVALS: f64 = 3.0;

/// All state of the core, in the hands of one task.
pub struct Core {
    clock: Clock,
    request_queue: request_queue::RequestReceiver,
    router: router_driver::RouterDriver,
    requests: request_table::RequestTable,
    pool: Pool,
    timers: TimerWheel<Timer>,
    directory: Directory,
    contracts: Rc<Contracts>,
    messages: mpsc::Receiver<Message>,
    phase: Rc<watch::Sender<Phase>>,
    /// What the fronts offer.
    served_configuration: watch::Sender<Arc<ServedConfiguration>>,
    started: Time,
    fresh_list: bool,
    metrics: Metrics,
    slow_start_duration: f64,
    sweep_interval: f64,
    suspensions: Suspensions,
    /// Where bans are kept; `None` without a door for operators.
    suspension_store: Option<SuspensionStore>,
    /// Where peers are told what is doubted; `None` without peers.
    outlier_publisher: Option<watch::Sender<LocalOutliers>>,
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
        let mut timers = TimerWheel::new(now, config.offer.deployment.policy.tick);
        let sweep = pool::sweep_every(&config.offer.deployment);
        timers.insert(now + sweep, Timer::ConnectionSweep);
        let mut core = Core {
            clock: clock.clone(),
            request_queue: request_queue::RequestReceiver::new(asks),
            router: router_driver::RouterDriver::new(config),
            requests: request_table::RequestTable::new(config),
            pool: Pool::new(config, contracts.clone(), clock, messages.0),
            timers,
            directory: Directory::default(),
            contracts,
            messages: messages.1,
            phase,
            served_configuration: offer,
            started: now,
            fresh_list: false,
            metrics: Metrics::new(f64::from(config.log.tally_s), now),
            slow_start_duration: config.offer.deployment.policy.slow_start_duration,
            sweep_interval: sweep,
            suspensions: Suspensions::default(),
            suspension_store: config
                .admin
                .map(|_| SuspensionStore::new(config.passing.as_deref(), &config.name)),
            outlier_publisher: None,
        };
        // Before any list: what an earlier process was told must hold from the first send on.
        core.poll_suspensions(now);
        core.on_endpoint_update(&config.known, true);
        core
    }

    /// Ticks for as long as the program lives.
    pub async fn run(mut self, tick: f64) {
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(tick));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.clock.record_tick();
            // Lets the sockets be read first: after a stall, news and answers that lie there must be known
            // before any timer is judged or any send is made.
            for _ in 0..3 {
                tokio::task::yield_now().await;
            }
            self.tick();
        }
    }

    /// One tick: all that came is one call of the decisions.
    fn tick(&mut self) {
        let now = self.clock.now();
        while let Ok(message) = self.messages.try_recv() {
            match message {
                Message::Endpoints(news) => self.on_endpoint_update(&news, false),
                Message::Connection(event) => match self.pool.note(now, event) {
                    Some(PoolEvent::Attempt(ended)) => self.on_attempt_ended(ended),
                    Some(PoolEvent::Probe {
                        server,
                        outcome,
                        report,
                    }) => {
                        self.router.push(Event::HealthCheckEnded {
                            server,
                            outcome,
                            report,
                        });
                    }
                    Some(PoolEvent::NotUp) => self.metrics.add(Counter::DialFaults),
                    None => {}
                },
                Message::Admin { request, reply } => {
                    let _ = reply.send(self.handle_admin_request(now, request));
                }
                Message::OutlierAdvice(ids) => self.on_outlier_advice(&ids),
                Message::FinishBy(moment) => self.router.finish_by(moment),
                Message::Reconfigure {
                    configuration,
                    reply,
                } => {
                    let _ = reply.send(self.reconfigure(*configuration));
                }
            }
        }
        for due in self.timers.advance(now) {
            match due {
                Timer::RouterWakeUp => self.router.push(Event::TimerFired),
                Timer::AttemptDeadline(attempt) => {
                    if self.pool.abandon(attempt) {
                        self.on_attempt_ended(AttemptResult {
                            attempt,
                            outcome: Outcome::Timeout,
                            value: None,
                        });
                    }
                }
                Timer::DialDeadline(link) => self.pool.dial_is_due(link),
                Timer::ConnectionSweep => {
                    self.pool.sweep(now);
                    self.timers
                        .insert(now + self.sweep_interval, Timer::ConnectionSweep);
                }
                Timer::SuspensionPoll => self.poll_suspensions(now),
                Timer::OutlierPublication => self.publish_outliers(now),
            }
        }
        for query in self.requests.requests_without_client() {
            self.router.push(Event::ClientGone(query));
            self.requests.close(query);
        }
        for client in self.request_queue.drain() {
            admission::admit(
                now,
                client,
                &mut self.requests,
                &mut self.router,
                &mut self.metrics,
            );
        }
        // Sends that fail at once bring outcomes, which are the next call's events; three attempts a part
        // bound the rounds.
        while self.router.has_events() {
            for action in self.router.decide(now) {
                self.metrics.record_action(&action);
                if respond::is_final_answer(&action) {
                    respond::respond(&action, now, &mut self.requests, &mut self.metrics);
                } else {
                    self.count_attempt(now, &action);
                    dispatch::dispatch(
                        now,
                        &action,
                        &mut self.requests,
                        &mut self.pool,
                        &mut self.timers,
                    );
                }
            }
            for attempt in self.requests.take_orphaned_attempts() {
                self.pool.unwant(attempt);
            }
            for ended in
                dispatch::flush_calls(now, &mut self.pool, &mut self.timers, &mut self.metrics)
            {
                self.on_attempt_ended(ended);
            }
        }
        let (links, router) = (self.pool.links(), &self.router);
        if let Some(line) = self.metrics.line(now, links, || router.health_summary(now)) {
            tracing::info!("tally {line}");
        }
        let current = *self.phase.borrow();
        if current == Phase::Starting && self.is_ready(now) {
            self.phase.send_replace(Phase::Serving);
        }
    }

    /// Counts a send by what it is: a further attempt, a copy, one to a server that may be cold.
    fn count_attempt(&mut self, now: Time, action: &Action) {
        let Action::Send { part, server, .. } = *action else {
            return;
        };
        if !self.metrics.is_enabled() {
            return;
        }
        let earlier = self.requests.attempt_count(part);
        if earlier > 0 {
            self.metrics.add(Counter::Further);
        }
        if (0..earlier).any(|number| self.pool.is_out(Attempt { part, number })) {
            self.metrics.add(Counter::Copies);
        }
        if self.pool.is_young(now, server, self.slow_start_duration) {
            self.metrics.add(Counter::Cold);
        }
    }

    fn on_attempt_ended(&mut self, ended: AttemptResult) {
        self.metrics.record_outcome(ended.outcome);
        let Attempt { part, number } = ended.attempt;
        self.requests.record_result(&ended);
        self.router.push(Event::AttemptEnded {
            id: part,
            attempt: number,
            outcome: ended.outcome,
        });
    }

    fn on_endpoint_update(&mut self, news: &EndpointListUpdate, cached: bool) {
        self.contracts.note_list(&news.rows, news.complete);
        if !news.rows.is_empty() {
            self.metrics.add(if news.complete {
                Counter::Lists
            } else {
                Counter::Changes
            });
        }
        let mut rows = self.directory.number(news);
        if self.suspension_store.is_some() {
            rows.iter()
                .for_each(|(_, row)| self.suspensions.listed(&row.id));
        }
        self.publish_endpoints(&mut rows, news.complete, cached);
        self.fresh_list |= !cached;
    }

    /// Tells pool and decisions what the list says, as operators' bans leave it.
    fn publish_endpoints(
        &mut self,
        rows: &mut [(ServerId, EndpointEntry)],
        complete: bool,
        cached: bool,
    ) {
        for (_, row) in &mut *rows {
            (row.state, row.ready_at) = self.suspensions.overlay(&row.id, row.state, row.ready_at);
        }
        self.pool.note_list(rows, complete);
        self.router.push(Event::Endpoints(discovery::list_news(
            rows, complete, cached,
        )));
    }

    /// Looks at what another process of this coordinator may have changed.
    fn poll_suspensions(&mut self, now: Time) {
        let Some(suspension_store) = &mut self.suspension_store else {
            return;
        };
        for id in self.suspensions.expire(now, self.slow_start_duration) {
            suspension_store.drop(&id);
        }
        if let Some(kept) = suspension_store.look() {
            let changed = self.suspensions.merge(&kept);
            if !changed.is_empty() {
                tracing::info!(
                    servers = changed.join(", "),
                    "another process's bans are taken over"
                );
                self.republish_endpoints(&changed);
            }
        }
        self.timers
            .insert(now + SUSPENSION_POLL_INTERVAL, Timer::SuspensionPoll);
    }

    /// Says anew what the list says of these servers.
    fn republish_endpoints(&mut self, ids: &[String]) {
        let mut rows: Vec<_> = ids.iter().filter_map(|id| self.directory.row(id)).collect();
        self.publish_endpoints(&mut rows, false, false);
    }

    /// Takes other settings: before anything else of this tick, and whole or not at all.
    fn reconfigure(
        &mut self,
        fresh: ServedConfiguration,
    ) -> Result<Arc<ServedConfiguration>, ReconfigurationError> {
        let in_force = self.served_configuration.borrow().clone();
        let held = |class: ClassId| self.requests.has_request_of_class(usize::from(class.0));
        let retuned = reconfigure::retune(&in_force.deployment, &fresh.deployment, held)
            .map_err(ReconfigurationError::Rejected)?;
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
        self.requests.reconfigure(&deployment);
        self.pool.retune(&deployment);
        self.router.reconfigure(&deployment, &renewed, &places);
        self.slow_start_duration = deployment.policy.slow_start_duration;
        let offer = Arc::new(ServedConfiguration {
            deployment,
            indices,
        });
        self.served_configuration.send_replace(offer.clone());
        Ok(offer)
    }

    /// From now on peers are told which data nodes this coordinator's own answers make it doubt.
    pub fn publish_outliers_to(&mut self, peers: watch::Sender<LocalOutliers>) {
        self.outlier_publisher = Some(peers);
        self.timers.insert(
            self.clock.now() + OUTLIER_PUBLICATION_INTERVAL,
            Timer::OutlierPublication,
        );
    }

    fn publish_outliers(&mut self, now: Time) {
        let Some(peers) = &self.outlier_publisher else {
            return;
        };
        let doubted = self
            .router
            .recent_outliers(now, OUTLIER_PUBLICATION_INTERVAL * RECENT_OUTLIER_INTERVALS);
        let ids: Vec<String> = self.directory.ids(&doubted).map(str::to_string).collect();
        let listed = self.directory.len();
        peers.send_if_modified(|told| {
            let fresh = told.endpoint_ids != ids || !ids.is_empty();
            *told = LocalOutliers {
                endpoint_ids: ids,
                endpoint_count: listed,
            };
            fresh
        });
        self.timers.insert(
            now + OUTLIER_PUBLICATION_INTERVAL,
            Timer::OutlierPublication,
        );
    }

    /// Peers doubt these data nodes. Only those that this coordinator's own list names are looked at.
    fn on_outlier_advice(&mut self, ids: &[String]) {
        let known = ids
            .iter()
            .filter_map(|id| self.directory.row(id))
            .map(|(server, _)| server);
        let servers: Vec<ServerId> = known.collect();
        if !servers.is_empty() {
            self.router.push(Event::OutlierAdvice(servers));
        }
    }

    /// Carries out an operator's call.
    fn handle_admin_request(&mut self, now: Time, call: AdminRequest) -> AdminResponse {
        let verdict = match &call {
            // The door answers these by itself.
            AdminRequest::Ready | AdminRequest::Peers => AdminResponse::Yes,
            AdminRequest::Suspend(id) if !self.suspensions.knows(id) => AdminResponse::Unknown,
            AdminRequest::Suspend(id) if !self.suspensions.has_room(id) => AdminResponse::TooMany,
            AdminRequest::Suspend(id) => {
                self.apply_suspension(id, self.suspensions.suspended(id, now))
            }
            AdminRequest::Resume(id) if !self.suspensions.knows(id) => AdminResponse::Unknown,
            AdminRequest::Resume(id) => match self.suspensions.resumed(id, now) {
                Some(ban) => self.apply_suspension(id, ban),
                None => AdminResponse::Yes,
            },
            AdminRequest::Drain => self.change_phase(|phase| match phase {
                Phase::Starting | Phase::Serving => Some(Phase::DrainedByOperator),
                _ => None,
            }),
            // The next tick says whether it is ready.
            AdminRequest::Activate => self.change_phase(|phase| {
                (phase == Phase::DrainedByOperator).then_some(Phase::Starting)
            }),
        };
        tracing::info!(?call, ?verdict, "an operator's call");
        verdict
    }

    fn apply_suspension(
        &mut self,
        id: &str,
        ban: cairnroad_admin::suspensions::Suspension,
    ) -> AdminResponse {
        if self.suspensions.put(id, ban) {
            if let Some(suspension_store) = &mut self.suspension_store {
                suspension_store.keep(id, ban);
            }
            self.republish_endpoints(&[id.to_string()]);
        }
        AdminResponse::Yes
    }

    fn change_phase(&self, next: impl Fn(Phase) -> Option<Phase>) -> AdminResponse {
        let current = *self.phase.borrow();
        if current.is_shutting_down() {
            return AdminResponse::NotNow("the process was told to stop");
        }
        if let Some(phase) = next(current) {
            self.phase.send_replace(phase);
        }
        AdminResponse::Yes
    }

    /// Ready once a server is known, from a fresh list or, if that doesn't come, from the cached one.
    fn is_ready(&self, now: Time) -> bool {
        self.pool.any_ready() && (self.fresh_list || now - self.started > FRESH_LIST_WAIT)
    }
}

#[cfg(test)]
mod tests;
