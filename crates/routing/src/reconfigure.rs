//! Settings that change in service. What was learned of servers stays; nothing here decides about a query.

use crate::router::{RequestRouter, Timer, INITIAL_LATENCY_SHARE, RECENT_OBJECTIVES};
use cairnroad_types::{ClassId, Settings, Time};

impl RequestRouter {
    /// Takes other settings. Places of classes only grow; `renewed` names those that hold another class than
    /// before, of which nothing is known yet, and `offered` those that queries may still come for.
    pub fn reconfigure(&mut self, settings: Settings, renewed: &[ClassId], offered: &[ClassId]) {
        let guess = |class: usize| {
            settings
                .classes
                .get(class)
                .map_or(0.0, |class| class.latency_objective * INITIAL_LATENCY_SHARE)
        };
        let known = self.typical_latency.len();
        let grown = known..settings.classes.len();
        let renewed = renewed
            .iter()
            .map(|class| usize::from(class.0))
            .filter(|&class| class < known);
        for class in renewed {
            (self.typical_latency[class], self.latency_updated[class]) =
                (guess(class), Time::default());
        }
        self.typical_latency.extend(grown.clone().map(guess));
        self.latency_updated.extend(grown.map(|_| Time::default()));
        let aims = || {
            offered
                .iter()
                .filter_map(|class| settings.classes.get(usize::from(class.0)))
        };
        self.shortest_objective = aims()
            .map(|class| class.latency_objective)
            .fold(f64::MAX, f64::min);
        self.recent_span = RECENT_OBJECTIVES
            * aims()
                .map(|class| class.latency_objective)
                .fold(0.0, f64::max);
        self.settings = settings;
    }

    /// Terms that all open queries get at once: the process is told to end, and none may stay open beyond this moment.
    pub fn finish_by(&mut self, moment: Time) {
        for (&id, query) in self
            .queries
            .iter_mut()
            .filter(|(_, query)| query.finish_at > moment)
        {
            self.timers.remove(query.finish_at, Timer::Deadline(id));
            query.finish_at = moment;
            self.timers.insert(moment, Timer::Deadline(id));
        }
    }
}
