//! Drives the request router: collects the events of a tick and passes them to the router in one call.

use crate::configuration::Config;
use cairnroad_routing::RequestRouter;
use cairnroad_settings::Deployment;
use cairnroad_types::{Action, ClassId, Event, HealthSummary, Seconds, ServerId, Settings, Time};

/// Latency objective of a class that is missing from the settings, in seconds.
const DEFAULT_LATENCY_OBJECTIVE: Seconds = 1.0;

/// The router, and the events queued for its next call.
pub struct RouterDriver {
    router: RequestRouter,
    /// Latency objectives by class index, in seconds.
    latency_objectives: Vec<Seconds>,
    /// Queued endpoint updates, which the router must process before all other events.
    endpoint_updates: Vec<Event>,
    /// All other queued events, in order of arrival.
    events: Vec<Event>,
}

impl RouterDriver {
    /// Creates a driver with a new router that uses the configuration's settings and seed.
    pub fn new(config: &Config) -> Self {
        let settings = config.served.deployment.policy.clone();
        RouterDriver {
            latency_objectives: latency_objectives(&settings),
            router: RequestRouter::new(settings, config.seed),
            endpoint_updates: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Applies a reloaded deployment to all later events.
    ///
    /// `replaced_slots` are the class slots that now hold a different class; `active_slots` are the slots of the
    /// classes that clients may use.
    pub fn reconfigure(
        &mut self,
        deployment: &Deployment,
        replaced_slots: &[ClassId],
        active_slots: &[ClassId],
    ) {
        self.latency_objectives = latency_objectives(&deployment.policy);
        self.router
            .reconfigure(deployment.policy.clone(), replaced_slots, active_slots);
    }

    /// Returns the latency objective of the class with this index, in seconds.
    pub fn latency_objective(&self, class: usize) -> Seconds {
        self.latency_objectives
            .get(class)
            .copied()
            .unwrap_or(DEFAULT_LATENCY_OBJECTIVE)
    }

    /// Queues an event for the next call of the router. Endpoint updates are processed before all other events, so that
    /// no attempt of this tick goes to a server that an update of the same tick drains.
    pub fn push(&mut self, event: Event) {
        match event {
            Event::Endpoints(_) => self.endpoint_updates.push(event),
            _ => self.events.push(event),
        }
    }

    /// Returns a summary of the servers' health for the metrics log.
    pub fn health_summary(&self, now: Time) -> HealthSummary {
        self.router.health_summary(now)
    }

    /// Returns the servers that this coordinator's own attempts identified as outliers within the last `period`
    /// seconds.
    pub fn recent_outliers(&self, now: Time, period: Seconds) -> Vec<ServerId> {
        self.router.recent_outliers(now, period)
    }

    /// Limits the deadlines of all open requests to `deadline`.
    pub fn limit_deadlines(&mut self, deadline: Time) {
        self.router.finish_by(deadline);
        self.events.push(Event::TimerFired);
    }

    /// Returns the number of servers that the router knows.
    #[cfg(test)]
    pub fn server_count(&self) -> usize {
        self.router.server_count()
    }

    /// Returns whether any event is queued for the next call.
    pub fn has_events(&self) -> bool {
        !self.endpoint_updates.is_empty() || !self.events.is_empty()
    }

    /// Passes all queued events to the router and returns its actions.
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
