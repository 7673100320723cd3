//! Everything that reached the emulated nodes, and the rules that it is held against.

use std::collections::BTreeMap;

/// How long a removed server may still get something new, in seconds: the platform's rule.
const REMOVAL_GRACE: f64 = 0.25;

/// What a query's text says of it.
///
/// A client's retry is a query of its own to the coordinator: what ran for the first try may run again for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryMarker {
    /// The class's index.
    pub class: usize,
    /// The query's number.
    pub query: u64,
    /// Which of its client's tries it is, from 1.
    pub client_try: u32,
}

impl QueryMarker {
    /// Returns the text that carries the marker: `~1:17:2~` is the second try of query 17, of class 1.
    pub fn to_text(self) -> String {
        format!("~{}:{}:{}~", self.class, self.query, self.client_try)
    }
}

/// Finds the marker in a text, whatever is around it.
pub fn parse_marker(text: &str) -> Option<QueryMarker> {
    let mut words = text.split('~').nth(1)?.split(':');
    Some(QueryMarker {
        class: words.next()?.parse().ok()?,
        query: words.next()?.parse().ok()?,
        client_try: words.next()?.parse().ok()?,
    })
}

/// Returns what a healthy node answers for a part.
pub fn expected_value(query: u64, shard: u32) -> String {
    format!("stock {query}/{shard}")
}

/// A part that reached a node.
#[derive(Clone, Copy, Debug)]
pub struct PartArrival {
    /// Seconds since the fleet's start.
    pub arrived_at: f64,
    /// The node's index.
    pub server: usize,
    /// The query that it belongs to.
    pub marker: QueryMarker,
    /// Its shard.
    pub shard: u32,
    /// Whether it began to run, or may have.
    pub may_have_run: bool,
}

/// Everything that reached nodes, and when nodes were taken off the endpoint list.
#[derive(Default)]
pub struct RunLog {
    /// All parts, in the order of their arrival.
    pub arrivals: Vec<PartArrival>,
    /// When coordinators knew of a node's removal, by the node's index.
    pub removed_at: BTreeMap<usize, f64>,
    /// Nodes that were overloaded in slow start.
    pub overloaded: Vec<usize>,
}

impl RunLog {
    /// Returns the rules that were broken, in words. `at_most_once`: by class, whether its parts may run once only.
    pub fn violations(&self, at_most_once: &[bool]) -> Vec<String> {
        let late = self.arrivals_after_removal();
        let repeated = self.repeated_runs(at_most_once);
        let overloaded = self
            .overloaded
            .iter()
            .map(|server| format!("server {server} fell over, cold"));
        late.chain(repeated).chain(overloaded).collect()
    }

    fn arrivals_after_removal(&self) -> impl Iterator<Item = String> + '_ {
        self.arrivals.iter().filter_map(|arrival| {
            let removed_at = self.removed_at.get(&arrival.server)?;
            let late_by = arrival.arrived_at - removed_at;
            (late_by > REMOVAL_GRACE).then(|| {
                format!(
                    "server {} got a part {:.0} ms after it was removed",
                    arrival.server,
                    late_by * 1000.0
                )
            })
        })
    }

    fn repeated_runs(&self, at_most_once: &[bool]) -> impl Iterator<Item = String> {
        let mut runs: BTreeMap<(u64, u32, u32), usize> = BTreeMap::new();
        for arrival in self.arrivals.iter().filter(|arrival| arrival.may_have_run) {
            let marker = arrival.marker;
            if at_most_once.get(marker.class).copied().unwrap_or(false) {
                let part = (marker.query, marker.client_try, arrival.shard);
                *runs.entry(part).or_default() += 1;
            }
        }
        let repeated = runs.into_iter().filter(|(_, runs)| *runs > 1);
        repeated.map(|((query, _, shard), runs)| {
            format!("part {shard} of query {query} may run once and ran {runs} times")
        })
    }
}

#[cfg(test)]
mod tests;
