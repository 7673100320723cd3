//! Drives the request router: collects a tick's events and hands them over in one call.

use crate::configuration::Config;
use cairnroad_routing::RequestRouter;
use cairnroad_settings::Deployment;
use cairnroad_types::{Action, ClassId, Event, HealthSummary, Seconds, ServerId, Settings, Time};

/// Latency objective of a class that the settings don't know, in seconds.
const DEFAULT_LATENCY_OBJECTIVE: Seconds = 1.0;

/// The router and the events that wait for its next call.
pub struct RouterDriver {
    router: RequestRouter,
    /// Each class's latency objective, in seconds.
    latency_objectives: Vec<Seconds>,
    /// Endpoint updates, which the router must see before all other events.
    endpoint_updates: Vec<Event>,
    events: Vec<Event>,
}

impl RouterDriver {
    /// A driver of a new router with the configuration's settings and seed.
    pub fn new(config: &Config) -> Self {
        let settings = config.served.deployment.policy.clone();
        RouterDriver {
            latency_objectives: latency_objectives(&settings),
            router: RequestRouter::new(settings, config.seed),
            endpoint_updates: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Applies a reloaded deployment to all events from now on.
    ///
    /// `renewed` are the places that hold another class than before, `offered` the places of the classes in force.
    pub fn reconfigure(
        &mut self,
        deployment: &Deployment,
        renewed: &[ClassId],
        offered: &[ClassId],
    ) {
        self.latency_objectives = latency_objectives(&deployment.policy);
        self.router
            .reconfigure(deployment.policy.clone(), renewed, offered);
    }

    /// A class's latency objective, in seconds.
    pub fn latency_objective(&self, class: usize) -> Seconds {
        self.latency_objectives
            .get(class)
            .copied()
            .unwrap_or(DEFAULT_LATENCY_OBJECTIVE)
    }

    /// Queues an event for the next call. Endpoint updates come before all other events: an attempt of this very tick
    /// must not go to a server that the tick's update drains.
    pub fn push(&mut self, event: Event) {
        match event {
            Event::Endpoints(_) => self.endpoint_updates.push(event),
            _ => self.events.push(event),
        }
    }

    /// What the router knows of the servers' health, for the log.
    pub fn health_summary(&self, now: Time) -> HealthSummary {
        self.router.health_summary(now)
    }

    /// The servers that own attempts of the last `period` seconds show to be outliers.
    pub fn recent_outliers(&self, now: Time, period: Seconds) -> Vec<ServerId> {
        self.router.recent_outliers(now, period)
    }

    /// Limits the deadlines of all open requests to `deadline`.
    pub fn finish_by(&mut self, deadline: Time) {
        self.router.finish_by(deadline);
        self.events.push(Event::TimerFired);
    }

    /// How many servers the router knows.
    #[cfg(test)]
    pub fn server_count(&self) -> usize {
        self.router.server_count()
    }

    /// Whether events wait for the next call.
    pub fn has_events(&self) -> bool {
        !self.endpoint_updates.is_empty() || !self.events.is_empty()
    }

    /// Hands all queued events to the router and returns its actions.
    pub fn decide(&mut self, now: Time) -> Vec<Action> {
        let mut events = std::mem::take(&mut self.endpoint_updates);
        events.append(&mut self.events);
        let mut actions = Vec::new();
        self.router.handle(now, &events, &mut actions);
        actions
    }
}

fn latency_objectives(settings: &Settings) -> Vec<Seconds> {
    let objective = settings.classes.iter().map(|class| class.latency_objective);
    objective.collect()
}
