//! Settings that change while the router runs. What was learned of servers stays.

use crate::router::{ClassLatency, RequestRouter};
use crate::timer::Timer;
use crate::tuning::RECENT_OBJECTIVES;
use cairnroad_types::{Class, ClassId, Seconds, Settings, Time};

/// The typical latency before any answer was seen, as a share of the latency objective.
const INITIAL_LATENCY_SHARE: f64 = 0.125;

impl RequestRouter {
    /// Applies other settings.
    ///
    /// The number of classes only grows. `renewed` names the indices that hold another class than before, of
    /// which nothing is known yet, and `offered` those for which queries may still arrive.
    pub fn reconfigure(&mut self, settings: Settings, renewed: &[ClassId], offered: &[ClassId]) {
        let known = self.class_latency.len();
        for class in renewed.iter().map(|class| usize::from(class.0)) {
            if class < known {
                self.class_latency[class] = initial_latency(&settings, class);
            }
        }
        let added = known..settings.classes.len();
        self.class_latency
            .extend(added.map(|class| initial_latency(&settings, class)));
        let objectives: Vec<Seconds> = offered
            .iter()
            .filter_map(|class| settings.classes.get(usize::from(class.0)))
            .map(|class: &Class| class.latency_objective)
            .collect();
        self.shortest_objective = objectives.iter().copied().fold(f64::MAX, f64::min);
        let longest_objective = objectives.iter().copied().fold(0.0, f64::max);
        self.recent_span = RECENT_OBJECTIVES * longest_objective;
        self.settings = settings;
    }

    /// Brings the deadline of all open queries forward to `moment` at the latest, because the process is to
    /// end.
    pub fn finish_by(&mut self, moment: Time) {
        for (&id, query) in &mut self.queries {
            if query.finish_at <= moment {
                continue;
            }
            self.timers.remove(query.finish_at, Timer::Deadline(id));
            query.finish_at = moment;
            self.timers.insert(moment, Timer::Deadline(id));
        }
    }
}

/// The latency that is assumed for a class before any answer; 0 for a class that isn't configured.
fn initial_latency(settings: &Settings, class: usize) -> ClassLatency {
    let objective = settings
        .classes
        .get(class)
        .map_or(0.0, |class| class.latency_objective);
    ClassLatency {
        typical: objective * INITIAL_LATENCY_SHARE,
        updated_at: Time::default(),
    }
}
