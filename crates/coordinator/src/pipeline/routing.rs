//! Route: the decisions, called once with all events of a tick.

use crate::configuration::Config;
use cairnroad_routing::RequestRouter;
use cairnroad_settings::Deployment;
use cairnroad_types::{Action, ClassId, Event, HealthSummary, ServerId, Time};

pub struct RoutingStage {
    aggregator: RequestRouter,
    aims: Vec<f64>,
    lists: Vec<Event>,
    events: Vec<Event>,
}

impl RoutingStage {
    pub fn new(config: &Config) -> Self {
        let policy = config.served.deployment.policy.clone();
        let aims = policy
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .collect();
        RoutingStage {
            aggregator: RequestRouter::new(policy, config.seed),
            aims,
            lists: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Takes other settings, for all events from now on.
    pub fn retune(&mut self, deployment: &Deployment, renewed: &[ClassId], offered: &[ClassId]) {
        self.aims = deployment
            .policy
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .collect();
        self.aggregator
            .retune(deployment.policy.clone(), renewed, offered);
    }

    /// A class's aim in seconds.
    pub fn aim(&self, class: usize) -> f64 {
        self.aims.get(class).copied().unwrap_or(1.0)
    }

    /// Notes an event for the next call. News of servers comes before all else: a send of this very tick must
    /// not go to a server that the tick's news drains.
    pub fn push(&mut self, event: Event) {
        match event {
            Event::Endpoints(_) => self.lists.push(event),
            _ => self.events.push(event),
        }
    }

    /// What the decisions believe of the servers, for the log.
    pub fn beliefs(&self, now: Time) -> HealthSummary {
        self.aggregator.beliefs(now)
    }

    /// The servers that own answers of the last `secs` seconds make doubtful.
    pub fn doubted_lately(&self, now: Time, secs: f64) -> Vec<ServerId> {
        self.aggregator.doubted_lately(now, secs)
    }

    /// No query that is open gets longer than up to this moment.
    pub fn end_by(&mut self, moment: Time) {
        self.aggregator.end_by(moment);
        self.events.push(Event::TimerFired);
    }

    /// How many servers the decisions know.
    #[cfg(test)]
    pub fn servers(&self) -> usize {
        self.aggregator.servers()
    }

    pub fn has_events(&self) -> bool {
        !self.lists.is_empty() || !self.events.is_empty()
    }

    pub fn decide(&mut self, now: Time) -> Vec<Action> {
        let mut events = std::mem::take(&mut self.lists);
        events.append(&mut self.events);
        let mut actions = Vec::new();
        self.aggregator.handle(now, &events, &mut actions);
        actions
    }
}
