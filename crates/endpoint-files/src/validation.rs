//! Whether a list may take the place of the one in force. Free of I/O and clock.

use crate::endpoint_set::{EndpointSet, Fault, Phase, ShardLayout};
use std::collections::{BTreeMap, BTreeSet};

/// The share of the working servers that one list may take away unless its writer says `allow_shrink`: an outage of a
/// third is what a fleet is built for, and a list that was cut off in the middle loses more.
pub const DEFAULT_MAX_SHRINK: f64 = 0.34;

/// What becomes of a list that was read.
#[derive(Clone, Debug, PartialEq)]
pub enum UpdateDecision {
    /// It comes into force.
    Apply,
    /// It is the one in force already.
    Unchanged,
    /// It does not, and the old one stays.
    Reject(Vec<Fault>),
}

/// What a list must be in itself, whatever was before.
pub fn validate(endpoint_set: &EndpointSet, layout: &ShardLayout) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut sums: BTreeMap<u32, f64> = BTreeMap::new();
    for (id, server) in &endpoint_set.endpoints {
        if server.cell >= layout.cells {
            let cause = format!(
                "the server '{id}' is of cell {}: there are cells 0 to {}",
                server.cell,
                layout.cells.saturating_sub(1)
            );
            faults.push(Fault::whole(cause));
        } else if server.phase == Phase::Active {
            *sums.entry(server.cell).or_default() += server.weight;
        }
    }
    for (cell, _) in sums.iter().filter(|(_, sum)| **sum <= 0.0) {
        faults.push(Fault::whole(format!(
            "the weights of cell {cell} add up to 0: one at least must be above"
        )));
    }
    // Shards that have the same first cell have the same holders.
    let mut bare: Vec<u32> = Vec::new();
    for shard in 0..layout.shards.min(layout.cells) {
        if !layout.holders(shard).any(|cell| sums.contains_key(&cell)) {
            bare.push(shard);
        }
    }
    if let Some(first) = bare.first() {
        let all =
            layout.shards as usize * bare.len() / layout.shards.min(layout.cells).max(1) as usize;
        let cause = format!(
            "shard {first} and {} more have no active holder left",
            all.saturating_sub(1)
        );
        faults.push(Fault::whole(cause));
    }
    faults
}

/// Judges a list beside the one in force. `shrink` is the share that may leave at once.
pub fn decide_update(
    old: Option<&EndpointSet>,
    new: &EndpointSet,
    layout: &ShardLayout,
    shrink: f64,
) -> UpdateDecision {
    let mut faults = validate(new, layout);
    if let Some(old) = old {
        if new.generation < old.generation {
            let cause = format!(
                "generation {} is older than {}, which is in force: count up",
                new.generation, old.generation
            );
            faults.push(Fault::whole(cause));
        } else if new.generation == old.generation {
            if new.has_same_endpoints(old) {
                return UpdateDecision::Unchanged;
            }
            let cause = format!(
                "generation {} is in force with other content: count it up with each change",
                old.generation
            );
            faults.push(Fault::whole(cause));
        } else if !new.allow_shrink {
            let working = |endpoint_set: &EndpointSet| -> BTreeSet<String> {
                let active = endpoint_set
                    .endpoints
                    .iter()
                    .filter(|(_, server)| server.phase == Phase::Active);
                active.map(|(id, _)| id.clone()).collect()
            };
            let (before, after) = (working(old), working(new));
            let leaving = before.difference(&after).count();
            // Replacing servers one for one takes nothing away.
            let lost = leaving.saturating_sub(after.difference(&before).count());
            if lost as f64 > shrink * before.len() as f64 {
                let cause = format!(
                    "{lost} of {} working servers would leave at once, over the share of {shrink}: 'allow_shrink = true' \
                     beside the generation says that it is meant",
                    before.len()
                );
                faults.push(Fault::whole(cause));
            }
        }
    }
    match faults.is_empty() {
        true => UpdateDecision::Apply,
        false => UpdateDecision::Reject(faults),
    }
}

#[cfg(test)]
mod tests;
