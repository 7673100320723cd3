//! Route: the decisions, called once with all events of a tick.

use crate::configuration::Config;
use cairnroad_routing::RequestRouter;
use cairnroad_settings::Deployment;
use cairnroad_types::{Action, ClassId, Event, HealthSummary, ServerId, Time};

pub struct RouterDriver {
    router: RequestRouter,
    latency_objectives: Vec<f64>,
    endpoint_updates: Vec<Event>,
    events: Vec<Event>,
}

impl RouterDriver {
    pub fn new(config: &Config) -> Self {
        let policy = config.offer.deployment.policy.clone();
        let latency_objectives = policy
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .collect();
        RouterDriver {
            router: RequestRouter::new(policy, config.seed),
            latency_objectives,
            endpoint_updates: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Takes other settings, for all events from now on.
    pub fn reconfigure(
        &mut self,
        deployment: &Deployment,
        renewed: &[ClassId],
        offered: &[ClassId],
    ) {
        self.latency_objectives = deployment
            .policy
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .collect();
        self.router
            .retune(deployment.policy.clone(), renewed, offered);
    }

    /// A class's aim in seconds.
    pub fn latency_objective(&self, class: usize) -> f64 {
        self.latency_objectives.get(class).copied().unwrap_or(1.0)
    }

    /// Notes an event for the next call. News of servers comes before all else: a send of this very tick must
    /// not go to a server that the tick's news drains.
    pub fn push(&mut self, event: Event) {
        match event {
            Event::Endpoints(_) => self.endpoint_updates.push(event),
            _ => self.events.push(event),
        }
    }

    /// What the decisions believe of the servers, for the log.
    pub fn health_summary(&self, now: Time) -> HealthSummary {
        self.router.beliefs(now)
    }

    /// The servers that own answers of the last `secs` seconds make doubtful.
    pub fn recent_outliers(&self, now: Time, secs: f64) -> Vec<ServerId> {
        self.router.doubted_lately(now, secs)
    }

    /// No query that is open gets longer than up to this moment.
    pub fn finish_by(&mut self, moment: Time) {
        self.router.end_by(moment);
        self.events.push(Event::TimerFired);
    }

    /// How many servers the decisions know.
    #[cfg(test)]
    pub fn server_count(&self) -> usize {
        self.router.servers()
    }

    pub fn has_events(&self) -> bool {
        !self.endpoint_updates.is_empty() || !self.events.is_empty()
    }

    pub fn decide(&mut self, now: Time) -> Vec<Action> {
        let mut events = std::mem::take(&mut self.endpoint_updates);
        events.append(&mut self.events);
        let mut actions = Vec::new();
        self.router.handle(now, &events, &mut actions);
        actions
    }
}
