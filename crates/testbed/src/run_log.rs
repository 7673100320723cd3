//! The log of the parts that reached the emulated nodes, and the rules that it is checked against.

use std::collections::{BTreeMap, BTreeSet};

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

/// Whether a part of a class may reach data nodes more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// A part may run any number of times.
    Allowed,
    /// A part carries the query's idempotency key, by which data nodes drop a repeat.
    DroppedByKey,
    /// A part may run only once.
    Forbidden,
}

/// A part that reached a node.
#[derive(Clone, Debug)]
pub struct PartArrival {
    /// Arrival time, in seconds since the fleet's start.
    pub arrived_at: f64,
    /// Index of the node.
    pub server: usize,
    /// The query that the part belongs to.
    pub marker: QueryMarker,
    /// Shard of the part.
    pub shard: u32,
    /// The idempotency key that the part carried, if any.
    pub key: Option<String>,
    /// Whether the node recognized the part as a repeat by its key and dropped it.
    pub dropped: bool,
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
    /// Returns descriptions of all violations. `rules` states, by class, whether a part may be repeated.
    pub fn violations(&self, rules: &[RepeatRule]) -> Vec<String> {
        let late = self.arrivals_after_removal();
        let repeated = self.repeated_runs(rules);
        let keyless = self.parts_without_key(rules);
        let reapplied = self.keys_applied_again(rules);
        let overloaded = self
            .overloaded
            .iter()
            .map(|server| format!("server {server} was overloaded in slow start"));
        let repeats = repeated.chain(keyless).chain(reapplied);
        late.chain(repeats).chain(overloaded).collect()
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

    fn repeated_runs(&self, rules: &[RepeatRule]) -> impl Iterator<Item = String> {
        let mut runs: BTreeMap<(u64, u32, u32), usize> = BTreeMap::new();
        for arrival in self.applied_parts() {
            let marker = arrival.marker;
            if rule_of(rules, arrival) != RepeatRule::Allowed {
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

    /// Returns the parts that ran or may have run, without those that a node dropped as repeats.
    fn applied_parts(&self) -> impl Iterator<Item = &PartArrival> {
        self.arrivals
            .iter()
            .filter(|arrival| arrival.may_have_run && !arrival.dropped)
    }

    fn parts_without_key<'a>(
        &'a self,
        rules: &'a [RepeatRule],
    ) -> impl Iterator<Item = String> + 'a {
        let keyless = self.arrivals.iter().filter(|arrival| {
            rule_of(rules, arrival) == RepeatRule::DroppedByKey && arrival.key.is_none()
        });
        keyless.map(|arrival| {
            let PartArrival { marker, shard, .. } = arrival;
            format!("part {shard} of query {} carried no key", marker.query)
        })
    }

    /// Describes the parts that were applied under a key that had been applied before: the repeat came after the window.
    fn keys_applied_again<'a>(
        &'a self,
        rules: &'a [RepeatRule],
    ) -> impl Iterator<Item = String> + 'a {
        let mut applied = BTreeSet::new();
        let keyed = self
            .applied_parts()
            .filter(|arrival| rule_of(rules, arrival) == RepeatRule::DroppedByKey);
        keyed.filter_map(move |arrival| {
            let key = arrival.key.as_deref()?;
            let is_new = applied.insert((key, arrival.shard));
            (!is_new).then(|| format!("part {} was applied again under key {key}", arrival.shard))
        })
    }
}

/// Returns the rule of the class of a part; repeats are allowed in an unknown class.
fn rule_of(rules: &[RepeatRule], arrival: &PartArrival) -> RepeatRule {
    let rule = rules.get(arrival.marker.class).copied();
    rule.unwrap_or(RepeatRule::Allowed)
}

#[cfg(test)]
mod tests;
