//! The settings of one deployment, as the program uses them.

use cairnroad_types::{Class, Seconds, Settings};

/// Latency objective where no class is offered.
const DEFAULT_LATENCY_OBJECTIVE: Seconds = 1.0;

/// All settings of one deployment: those of the decisions, and those that only a program on sockets needs.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// The settings of the decisions.
    pub policy: Settings,
    /// Names of the classes, in the order of `policy.classes`; empty for a class that was removed by a reload.
    pub class_names: Vec<String>,
    /// Names of the values in a load report, in order.
    pub report_names: Vec<String>,
    /// Number of shards; `u32::MAX` where the deployment doesn't say.
    pub shards: u32,
    /// Most requests and parts in flight at a time.
    pub max_in_flight: usize,
    /// Time after which a connection that is not established has failed.
    pub connect_timeout: Seconds,
    /// Time after which the other side closes an idle connection.
    pub idle_timeout: Seconds,
    /// Most parts in flight on one connection.
    pub max_parts_per_connection: usize,
    /// The longest `Retry-After` that clients heed, whether or not the simulator passes it on.
    pub longest_retry_after: Seconds,
}

/// A class that clients may ask for.
#[derive(Clone, Copy, Debug)]
pub struct OfferedClass<'a> {
    /// Its index in `policy.classes` and `class_names`.
    pub index: usize,
    /// Its name, never empty.
    pub name: &'a str,
    /// Its settings.
    pub class: &'a Class,
}

impl Deployment {
    /// The index of the offered class of this name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.class_names
            .iter()
            .position(|other| other == name && !name.is_empty())
    }

    /// The shortest latency objective of all offered classes.
    pub fn shortest_latency_objective(&self) -> Seconds {
        self.offered_classes()
            .map(|offered| offered.class.latency_objective)
            .reduce(f64::min)
            .unwrap_or(DEFAULT_LATENCY_OBJECTIVE)
    }

    /// The longest deadline of all offered classes.
    pub fn longest_deadline(&self) -> Seconds {
        self.offered_classes()
            .map(|offered| offered.class.deadline)
            .fold(0.0, f64::max)
    }

    /// The classes that clients may ask for; a removed class, whose name is empty, is left out.
    pub fn offered_classes(&self) -> impl Iterator<Item = OfferedClass<'_>> {
        let classes = self.class_names.iter().zip(&self.policy.classes);
        classes
            .enumerate()
            .map(|(index, (name, class))| OfferedClass { index, name, class })
            .filter(|offered| !offered.name.is_empty())
    }
}
