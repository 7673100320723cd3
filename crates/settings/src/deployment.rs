//! The settings of one deployment after parsing and validation.

use cairnroad_types::{Class, Seconds, Settings};

/// Latency objective that is assumed if no class is offered.
const DEFAULT_LATENCY_OBJECTIVE: Seconds = 1.0;

/// All settings of one deployment: those that the router decides by, and those that only a program with network
/// connections needs.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// The settings that the router decides by.
    pub policy: Settings,
    /// Names of the classes, in the order of `policy.classes`. The name of a class that a reload removed is empty.
    pub class_names: Vec<String>,
    /// Names of the values in a server's load report, in order.
    pub report_names: Vec<String>,
    /// Number of shards; `u32::MAX` if the deployment does not state it.
    pub shards: u32,
    /// Maximum number of requests and parts in flight, counted together; `usize::MAX` if the deployment does not state
    /// it.
    pub max_in_flight: usize,
    /// Time-out for establishing a connection.
    pub connect_timeout: Seconds,
    /// Time after which the remote side closes an idle connection.
    pub idle_timeout: Seconds,
    /// Maximum number of parts in flight on one connection.
    pub max_parts_per_connection: usize,
    /// The longest `Retry-After` that clients honor. Unlike `policy.max_retry_after` it is set even if the deployment
    /// does not pass `Retry-After` on to clients.
    pub longest_retry_after: Seconds,
}

/// A query class that clients may request.
#[derive(Clone, Copy, Debug)]
pub struct OfferedClass<'a> {
    /// Index of the class in `policy.classes` and `class_names`.
    pub index: usize,
    /// Name of the class, never empty.
    pub name: &'a str,
    /// Settings of the class.
    pub class: &'a Class,
}

impl Deployment {
    /// Returns the index of the offered class with this name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.class_names
            .iter()
            .position(|other| other == name && !name.is_empty())
    }

    /// Returns the shortest latency objective of all offered classes, or a default if none is offered.
    pub fn shortest_latency_objective(&self) -> Seconds {
        self.offered_classes()
            .map(|offered| offered.class.latency_objective)
            .reduce(f64::min)
            .unwrap_or(DEFAULT_LATENCY_OBJECTIVE)
    }

    /// Returns the longest deadline of all offered classes, or 0 if none is offered.
    pub fn longest_deadline(&self) -> Seconds {
        self.offered_classes()
            .map(|offered| offered.class.deadline)
            .fold(0.0, f64::max)
    }

    /// Iterates over the classes that clients may request, without those that a reload removed (empty name).
    pub fn offered_classes(&self) -> impl Iterator<Item = OfferedClass<'_>> {
        let classes = self.class_names.iter().zip(&self.policy.classes);
        classes
            .enumerate()
            .map(|(index, (name, class))| OfferedClass { index, name, class })
            .filter(|offered| !offered.name.is_empty())
    }
}
