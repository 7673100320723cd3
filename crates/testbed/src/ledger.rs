//! The reference ledger: what every part of every query brings, and every run of every part.

use std::collections::BTreeMap;

/// A query's marker in its text: `~1:17:2~` is the second try of query 17, of class 1. A client's new try is a query of
/// its own to the coordinator: what ran for the first may run again for it.
pub fn text(class: usize, query: u64, number: u32) -> String {
    format!("~{class}:{query}:{number}~")
}

/// Class, query and try of a text, whatever is around the marker.
pub fn marker(text: &str) -> Option<(usize, u64, u32)> {
    let mut words = text.split('~').nth(1)?.split(':');
    Some((
        words.next()?.parse().ok()?,
        words.next()?.parse().ok()?,
        words.next()?.parse().ok()?,
    ))
}

/// What a sound server gives for a part.
pub fn value(query: u64, shard: u32) -> String {
    format!("stock {query}/{shard}")
}

/// A part that reached a server.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: f64,
    pub server: usize,
    pub class: usize,
    pub query: u64,
    pub number: u32,
    pub shard: u32,
    /// It began to run, or may have.
    pub ran: bool,
}

/// Everything that reached servers, and when servers were taken off the list.
#[derive(Default)]
pub struct Ledger {
    pub arrivals: Vec<Arrival>,
    pub removed: BTreeMap<usize, f64>,
    pub fallen: Vec<usize>,
}

/// How long a removed server may still get something new, in seconds.
const GRACE: f64 = 0.25;

impl Ledger {
    /// Rules that were broken, in words. `once`: which classes' parts may run once only.
    pub fn broken(&self, once: &[bool]) -> Vec<String> {
        let mut broken = Vec::new();
        let mut runs: BTreeMap<(u64, u32, u32), usize> = BTreeMap::new();
        for arrival in &self.arrivals {
            if arrival.ran && once.get(arrival.class).copied().unwrap_or(false) {
                *runs
                    .entry((arrival.query, arrival.number, arrival.shard))
                    .or_default() += 1;
            }
            if let Some(gone) = self
                .removed
                .get(&arrival.server)
                .filter(|gone| arrival.at > **gone + GRACE)
            {
                let late = (arrival.at - gone) * 1000.0;
                broken.push(format!(
                    "server {} got a part {late:.0} ms after it was removed",
                    arrival.server
                ));
            }
        }
        for ((query, _, shard), runs) in runs.into_iter().filter(|(_, runs)| *runs > 1) {
            broken.push(format!(
                "part {shard} of query {query} may run once and ran {runs} times"
            ));
        }
        broken.extend(
            self.fallen
                .iter()
                .map(|server| format!("server {server} fell over, cold")),
        );
        broken
    }
}

#[cfg(test)]
mod tests;
