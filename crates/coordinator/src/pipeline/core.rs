//! The core task: owns all state of the pipeline and ticks at a fixed interval.
//!
//! The child modules implement the steps of a tick: [`incoming`] processes messages and timers, [`endpoints`] maintains
//! the router's view of the endpoint list, [`admin_requests`] and [`reconfiguration`] apply operators' changes, and
//! [`outlier_advice`] is exchanged with other coordinators.

mod admin_requests;
mod endpoints;
mod incoming;
mod outlier_advice;
mod reconfiguration;

use super::request_queue::RequestReceiver;
use super::request_table::{RequestTable, SharedIds};
use super::router_driver::RouterDriver;
use super::timer::Timer;
use super::{admission, dispatch, respond};
use crate::admin_api::suspension_store::{self, SuspensionStore};
use crate::clock::Clock;
use crate::configuration::Config;
use crate::connections::pool::{self, Pool};
use crate::contract::Contracts;
use crate::discovery::ServerDirectory;
use crate::messages::{
    AttemptId, AttemptResult, ClientRequest, CoreMessage, LocalOutliers, ServedConfiguration,
    ServingPhase,
};
use crate::observability::metrics::{Counter, Metrics};
use crate::observability::shed_counts::ShedCounts;
use crate::timer_wheel::TimerWheel;
use cairnroad_admin::suspensions::Suspensions;
use cairnroad_types::{Action, Event, Seconds, Time};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// How long after its start the core waits for a fresh endpoint list before it serves from the cached one, in seconds.
const FRESH_LIST_WAIT: Seconds = 1.0;

/// Number of times that the core yields to the other tasks before each tick, so that they can read their sockets.
const YIELDS_BEFORE_TICK: usize = 3;

/// All state of the pipeline, owned by one task.
pub struct Core {
    clock: Clock,
    request_queue: RequestReceiver,
    messages: mpsc::Receiver<CoreMessage>,
    phase: Rc<watch::Sender<ServingPhase>>,
    /// Publishes the active configuration to the fronts.
    served_configuration: watch::Sender<Arc<ServedConfiguration>>,
    /// Publishes the outliers that this coordinator found, for gossip; `None` outside a cluster.
    outlier_publisher: Option<watch::Sender<LocalOutliers>>,
    router: RouterDriver,
    requests: RequestTable,
    pool: Pool,
    timers: TimerWheel<Timer>,
    directory: ServerDirectory,
    contracts: Rc<Contracts>,
    suspensions: Suspensions,
    /// The persistent store of suspensions; `None` without an admin API.
    suspension_store: Option<SuspensionStore>,
    metrics: Metrics,
    /// Counts of the client connections that the fronts shed.
    shed_counts: ShedCounts,
    started_at: Time,
    /// Whether discovery has delivered an endpoint list since the process started.
    has_fresh_list: bool,
    slow_start_duration: Seconds,
    sweep_interval: Seconds,
}

/// The ends of the channels that the core owns.
pub struct CoreChannels {
    /// Requests from the fronts.
    pub requests: mpsc::Receiver<ClientRequest>,
    /// Messages from connections, discovery, the admin API, the cluster and the main task.
    pub messages: mpsc::Receiver<CoreMessage>,
    /// The sending end of `messages`, which the pool passes to its connections.
    pub message_sender: mpsc::Sender<CoreMessage>,
    /// The serving phase, shared with the admin API and the graceful shutdown.
    pub phase: Rc<watch::Sender<ServingPhase>>,
    /// The active configuration, read by the fronts.
    pub served_configuration: watch::Sender<Arc<ServedConfiguration>>,
    /// Counts of the client connections that the fronts shed, for the metrics line.
    pub shed_counts: ShedCounts,
}

impl Core {
    /// Creates a core that starts with the cached endpoint list and the stored suspensions.
    pub fn new(
        config: &Config,
        contracts: Rc<Contracts>,
        clock: Clock,
        channels: CoreChannels,
    ) -> Self {
        let now = clock.now();
        let deployment = &config.served.deployment;
        let sweep_interval = pool::sweep_interval(deployment);
        let mut timers = TimerWheel::new(now, deployment.policy.tick);
        timers.insert(now + sweep_interval, Timer::ConnectionSweep);
        let suspension_store = config
            .admin_listen
            .map(|_| SuspensionStore::new(config.shared_dir.as_deref(), &config.name));
        let mut core = Core {
            clock: clock.clone(),
            request_queue: RequestReceiver::new(channels.requests),
            messages: channels.messages,
            phase: channels.phase,
            served_configuration: channels.served_configuration,
            outlier_publisher: None,
            router: RouterDriver::new(config),
            requests: RequestTable::new(config),
            pool: Pool::new(config, contracts.clone(), clock, channels.message_sender),
            timers,
            directory: ServerDirectory::default(),
            contracts,
            suspensions: Suspensions::default(),
            suspension_store,
            metrics: Metrics::new(f64::from(config.log.metrics_interval_s), now),
            shed_counts: channels.shed_counts,
            started_at: now,
            has_fresh_list: false,
            slow_start_duration: deployment.policy.slow_start_duration,
            sweep_interval,
        };
        core.share_external_ids(config, now);
        // Suspensions that an earlier process stored are loaded before the endpoint list, so that they apply from the
        // first attempt on.
        core.poll_suspensions(now);
        core.on_endpoint_update(&config.last_known_endpoints, true);
        core
    }

    /// Shares external ids with the other process of an upgrade, if there may be one: both accept from the same inherited
    /// socket.
    fn share_external_ids(&mut self, config: &Config, now: Time) {
        let (Some(_), Some(shared_dir)) = (config.inherited_listener, &config.shared_dir) else {
            return;
        };
        let folder = suspension_store::coordinator_folder(shared_dir, &config.name);
        let process = RandomState::new().hash_one(std::process::id());
        match SharedIds::new(&folder, process, now) {
            Ok(shared) => self.requests.external_ids().share(shared),
            Err(error) => tracing::error!(
                folder = %folder.display(),
                %error,
                help = "restart with a TMPDIR that can be written; until then, an id that the other process has taken \
                    is not recognized",
                "request ids are not shared"
            ),
        }
    }

    /// Ticks every `tick` seconds until the program ends.
    pub async fn run(mut self, tick: Seconds) {
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(tick));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.clock.record_tick();
            // After a stall, updates and answers that are waiting in the sockets must be processed before any timer
            // fires and before any attempt is sent.
            for _ in 0..YIELDS_BEFORE_TICK {
                tokio::task::yield_now().await;
            }
            self.tick();
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.process_messages(now);
        self.fire_timers(now);
        self.withdraw_requests_without_client();
        self.update_client_liveness(now);
        self.admit_requests(now);
        self.run_router(now);
        self.log_metrics(now);
        self.update_readiness(now);
    }

    /// Withdraws the requests whose clients have disconnected, before any further attempt is sent for them.
    fn withdraw_requests_without_client(&mut self) {
        for request in self.requests.requests_without_client() {
            self.router.push(Event::ClientGone(request));
            self.requests.close(request);
        }
    }

    /// Suspends further attempts of requests whose clients may have disconnected unnoticed.
    fn update_client_liveness(&mut self, now: Time) {
        for event in self.requests.client_liveness_changes(now) {
            self.router.push(event);
        }
    }

    fn admit_requests(&mut self, now: Time) {
        let queued = self.request_queue.drain();
        if !queued.is_empty() {
            self.requests.external_ids().learn(now);
        }
        for client in queued {
            admission::admit(
                now,
                client,
                &mut self.requests,
                &mut self.router,
                &mut self.metrics,
            );
        }
    }

    /// Calls the router until no event is queued.
    ///
    /// An attempt that can't be sent produces an event for the next iteration. The limit on attempts per part bounds
    /// the number of iterations.
    fn run_router(&mut self, now: Time) {
        while self.router.has_events() {
            for action in self.router.decide(now) {
                self.execute(now, &action);
            }
            for attempt in self.requests.take_orphaned_attempts() {
                self.pool.withdraw(attempt);
            }
            let failed =
                dispatch::flush_calls(now, &mut self.pool, &mut self.timers, &mut self.metrics);
            for result in failed {
                self.on_attempt_ended(result);
            }
        }
    }

    fn execute(&mut self, now: Time, action: &Action) {
        self.metrics.record_action(action);
        if let Some(request) = respond::ended_request(action) {
            respond::respond(request, action, now, &mut self.requests, &mut self.metrics);
            return;
        }
        dispatch::count_attempt(
            now,
            action,
            &self.requests,
            &self.pool,
            self.slow_start_duration,
            &mut self.metrics,
        );
        dispatch::dispatch(
            now,
            action,
            &mut self.requests,
            &mut self.pool,
            &mut self.timers,
        );
    }

    /// Records the result of an attempt and queues it for the router.
    fn on_attempt_ended(&mut self, result: AttemptResult) {
        self.metrics.record_outcome(result.outcome);
        self.requests.record_result(&result);
        let AttemptId { part, number } = result.attempt;
        self.router.push(Event::AttemptEnded {
            part,
            attempt: number,
            outcome: result.outcome,
        });
    }

    fn log_metrics(&mut self, now: Time) {
        let shed = self.shed_counts.take();
        self.metrics.add(Counter::ShedForSlots, shed.for_slots);
        self.metrics.add(Counter::ShedForMemory, shed.for_memory);
        let connections = self.pool.connection_count();
        let router = &self.router;
        let due = self
            .metrics
            .take_due(now, connections, || router.health_summary(now));
        if let Some(snapshot) = due {
            snapshot.log();
        }
    }

    /// Enters the phase `Serving` once the core is ready.
    fn update_readiness(&mut self, now: Time) {
        let current = *self.phase.borrow();
        if current == ServingPhase::Starting && self.is_ready(now) {
            self.phase.send_replace(ServingPhase::Serving);
        }
    }

    /// Returns whether the core is ready: at least one server takes requests, and the endpoint list is fresh or no
    /// fresh list arrived within the wait time.
    fn is_ready(&self, now: Time) -> bool {
        self.pool.any_server_ready()
            && (self.has_fresh_list || now - self.started_at > FRESH_LIST_WAIT)
    }
}

#[cfg(test)]
mod tests;
