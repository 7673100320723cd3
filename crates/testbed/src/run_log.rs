//! The log of the parts that reached the emulated nodes, and the rules that it is checked against.

use std::collections::BTreeMap;

/// Seconds after its removal within which a server may still receive new parts, by the platform's rules.
const REMOVAL_GRACE_SECONDS: f64 = 0.25;

/// Identifies a query to the emulated nodes; it is embedded in the query's text.
///
/// To the coordinator, a client retry is a separate query: parts that ran for the first try may run again for the retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryMarker {
    /// Index of the query's class.
    pub class: usize,
    /// Number of the query.
    pub query: u64,
    /// Number of the client's try, from 1.
    pub client_try: u32,
}

impl QueryMarker {
    /// Returns the marker as text: `~1:17:2~` is the second try of query 17, which is of class 1.
    pub fn to_text(self) -> String {
        format!("~{}:{}:{}~", self.class, self.query, self.client_try)
    }
}

/// Finds the marker in a query's text; `None` if there is none or it is malformed.
pub fn parse_marker(text: &str) -> Option<QueryMarker> {
    let mut fields = text.split('~').nth(1)?.split(':');
    Some(QueryMarker {
        class: fields.next()?.parse().ok()?,
        query: fields.next()?.parse().ok()?,
        client_try: fields.next()?.parse().ok()?,
    })
}

/// Returns the value that a healthy node answers for a part.
pub fn expected_value(query: u64, shard: u32) -> String {
    format!("stock {query}/{shard}")
}

/// A part that reached a node.
#[derive(Clone, Copy, Debug)]
pub struct PartArrival {
    /// Arrival time, in seconds since the fleet's start.
    pub arrived_at: f64,
    /// Index of the node.
    pub server: usize,
    /// The query that the part belongs to.
    pub marker: QueryMarker,
    /// Shard of the part.
    pub shard: u32,
    /// Whether the part ran or may have run; false only if the node rejected it.
    pub may_have_run: bool,
}

/// All parts that reached nodes, the removals of nodes from endpoint lists, and overloaded nodes.
#[derive(Default)]
pub struct RunLog {
    /// All parts, in order of arrival.
    pub arrivals: Vec<PartArrival>,
    /// Time by which coordinators had noticed a node's removal, in seconds since the fleet's start, by node index.
    pub removed_at: BTreeMap<usize, f64>,
    /// Indices of the nodes that were overloaded in slow start.
    pub overloaded: Vec<usize>,
}

impl RunLog {
    /// Returns descriptions of all violations. `at_most_once` states, by class, whether each part may run only once.
    pub fn violations(&self, at_most_once: &[bool]) -> Vec<String> {
        let late = self.arrivals_after_removal();
        let repeated = self.repeated_runs(at_most_once);
        let overloaded = self
            .overloaded
            .iter()
            .map(|server| format!("server {server} was overloaded in slow start"));
        late.chain(repeated).chain(overloaded).collect()
    }

    fn arrivals_after_removal(&self) -> impl Iterator<Item = String> + '_ {
        self.arrivals.iter().filter_map(|arrival| {
            let removed_at = self.removed_at.get(&arrival.server)?;
            let late_by = arrival.arrived_at - removed_at;
            (late_by > REMOVAL_GRACE_SECONDS).then(|| {
                format!(
                    "server {} received a part {:.0} ms after its removal; the limit is {:.0} ms",
                    arrival.server,
                    late_by * 1000.0,
                    REMOVAL_GRACE_SECONDS * 1000.0
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
            format!(
                "part {shard} of query {query} ran {runs} times; its class allows at most one run"
            )
        })
    }
}

#[cfg(test)]
mod tests;
