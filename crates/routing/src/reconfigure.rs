//! Changes of the settings while the router runs. The observations of servers are kept.

use crate::router::{ClassLatency, RequestRouter};
use crate::timer::Timer;
use crate::tuning::RECENT_WINDOW_OBJECTIVES;
use cairnroad_types::{Class, ClassId, Seconds, Settings, Time};

/// Assumed typical latency of a class before its first answer, as a share of the latency objective.
const INITIAL_LATENCY_SHARE: f64 = 0.125;

impl RequestRouter {
    /// Applies new settings.
    ///
    /// The number of classes must not decrease. `replaced` are the indices that hold a different class than
    /// before, which starts without observations. `offered` are the classes for which queries may still
    /// arrive.
    pub fn reconfigure(&mut self, settings: Settings, replaced: &[ClassId], offered: &[ClassId]) {
        let known_classes = self.class_latency.len();
        for class in replaced.iter().map(|class| usize::from(class.0)) {
            if class < known_classes {
                self.class_latency[class] = initial_latency(&settings, class);
            }
        }
        let added = known_classes..settings.classes.len();
        self.class_latency
            .extend(added.map(|class| initial_latency(&settings, class)));
        let objectives: Vec<Seconds> = offered
            .iter()
            .filter_map(|class| settings.classes.get(usize::from(class.0)))
            .map(|class: &Class| class.latency_objective)
            .collect();
        self.shortest_objective = objectives.iter().copied().fold(f64::MAX, f64::min);
        let longest_objective = objectives.iter().copied().fold(0.0, f64::max);
        self.recent_window = RECENT_WINDOW_OBJECTIVES * longest_objective;
        self.settings = settings;
    }

    /// Limits the deadlines of all open queries to `latest`, because the process is about to end.
    pub fn finish_by(&mut self, latest: Time) {
        for (&id, query) in &mut self.queries {
            if query.finish_at <= latest {
                continue;
            }
            self.timers.remove(query.finish_at, Timer::Deadline(id));
            query.finish_at = latest;
            self.timers.insert(latest, Timer::Deadline(id));
        }
    }
}

/// Returns the latency assumed for a class before its first answer; 0 for a class that isn't configured.
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
