//! Settings that change in service. What was learned of servers stays; nothing here decides about a query.

use super::{Due, RequestRouter, FIRST_GUESS, RECENT_AIMS};
use cairnroad_types::{ClassId, Settings, Time};

impl RequestRouter {
    /// Takes other settings. Places of classes only grow; `renewed` names those that hold another class than
    /// before, of which nothing is known yet, and `offered` those that queries may still come for.
    pub fn retune(&mut self, settings: Settings, renewed: &[ClassId], offered: &[ClassId]) {
        let guess = |class: usize| {
            settings
                .classes
                .get(class)
                .map_or(0.0, |class| class.latency_objective * FIRST_GUESS)
        };
        let known = self.usual.len();
        let grown = known..settings.classes.len();
        let renewed = renewed
            .iter()
            .map(|class| usize::from(class.0))
            .filter(|&class| class < known);
        for class in renewed {
            (self.usual[class], self.noted[class]) = (guess(class), Time::default());
        }
        self.usual.extend(grown.clone().map(guess));
        self.noted.extend(grown.map(|_| Time::default()));
        let aims = || {
            offered
                .iter()
                .filter_map(|class| settings.classes.get(usize::from(class.0)))
        };
        self.shortest = aims()
            .map(|class| class.latency_objective)
            .fold(f64::MAX, f64::min);
        self.recent = RECENT_AIMS
            * aims()
                .map(|class| class.latency_objective)
                .fold(0.0, f64::max);
        self.settings = settings;
    }

    /// Terms that all open queries get at once: the process is told to end, and none may stay open beyond this moment.
    pub fn end_by(&mut self, moment: Time) {
        for (&id, query) in self
            .queries
            .iter_mut()
            .filter(|(_, query)| query.end_at > moment)
        {
            self.timers.remove(query.end_at, Due::End(id));
            query.end_at = moment;
            self.timers.insert(moment, Due::End(id));
        }
    }
}
