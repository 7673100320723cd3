//! Whether an endpoint set may replace the one in force. Free of I/O and clock.

use crate::endpoint_set::{EndpointSet, Phase};
use crate::fault::{Fault, FaultCause};
use crate::shard_layout::ShardLayout;
use std::collections::{BTreeMap, BTreeSet};

/// The share of active endpoints that one set may remove unless its writer says `allow_shrink`: a fleet is built for
/// the outage of a third, and a list that was cut in the middle loses more.
pub const DEFAULT_MAX_REMOVED_SHARE: f64 = 0.34;

/// What becomes of a set that was read.
#[derive(Clone, Debug, PartialEq)]
pub enum UpdateDecision {
    /// It replaces the set in force.
    Apply,
    /// It is the set in force.
    Unchanged,
    /// It is not applied; the set in force stays.
    Reject(Vec<Fault>),
}

/// Checks a set by itself: cells exist, have a positive weight, and leave every shard an active holder.
pub fn validate(endpoint_set: &EndpointSet, layout: &ShardLayout) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut cell_weights: BTreeMap<u32, f64> = BTreeMap::new();
    for (id, endpoint) in &endpoint_set.endpoints {
        if endpoint.cell >= layout.cells {
            faults.push(Fault::of_list(FaultCause::CellOutOfRange {
                id: id.clone(),
                cell: endpoint.cell,
                last_cell: layout.cells.saturating_sub(1),
            }));
        } else if endpoint.phase == Phase::Active {
            *cell_weights.entry(endpoint.cell).or_default() += endpoint.weight;
        }
    }
    for (&cell, _) in cell_weights.iter().filter(|(_, sum)| **sum <= 0.0) {
        faults.push(Fault::of_list(FaultCause::ZeroCellWeight { cell }));
    }
    faults.extend(find_shards_without_holder(layout, |cell| {
        cell_weights.contains_key(&cell)
    }));
    faults
}

/// Reports shards of which no holder is in an active cell.
fn find_shards_without_holder(
    layout: &ShardLayout,
    is_active: impl Fn(u32) -> bool,
) -> Option<Fault> {
    // Shards with the same first cell have the same holders, so the first of each kind stand for all.
    let distinct_shards = layout.shards.min(layout.cells);
    let mut without_holder = Vec::new();
    for shard in 0..distinct_shards {
        if !layout.holders(shard).any(&is_active) {
            without_holder.push(shard);
        }
    }
    let first_shard = *without_holder.first()?;
    let all = layout.shards as usize * without_holder.len() / distinct_shards.max(1) as usize;
    Some(Fault::of_list(FaultCause::ShardsWithoutHolder {
        first_shard,
        other_shards: all.saturating_sub(1),
    }))
}

/// Decides whether `new` may replace `in_force`. `max_shrink` is the share of active endpoints, 0 to 1, that may be
/// removed at once.
pub fn decide_update(
    in_force: Option<&EndpointSet>,
    new: &EndpointSet,
    layout: &ShardLayout,
    max_shrink: f64,
) -> UpdateDecision {
    let mut faults = validate(new, layout);
    if let Some(old) = in_force {
        if new.generation == old.generation && new.has_same_endpoints(old) {
            return UpdateDecision::Unchanged;
        }
        let cause =
            find_generation_fault(old, new).or_else(|| find_shrink_fault(old, new, max_shrink));
        faults.extend(cause.map(Fault::of_list));
    }
    if faults.is_empty() {
        UpdateDecision::Apply
    } else {
        UpdateDecision::Reject(faults)
    }
}

/// A generation must be newer than the one in force.
fn find_generation_fault(old: &EndpointSet, new: &EndpointSet) -> Option<FaultCause> {
    if new.generation < old.generation {
        return Some(FaultCause::OlderGeneration {
            generation: new.generation,
            in_force: old.generation,
        });
    }
    (new.generation == old.generation).then_some(FaultCause::GenerationReused {
        generation: old.generation,
    })
}

/// No more endpoints than the share may be removed, unless the writer says that it is meant.
fn find_shrink_fault(old: &EndpointSet, new: &EndpointSet, max_shrink: f64) -> Option<FaultCause> {
    if new.allow_shrink {
        return None;
    }
    let before = active_ids(old);
    let after = active_ids(new);
    let leaving = before.difference(&after).count();
    let joining = after.difference(&before).count();
    // Replacing endpoints one for one removes no capacity.
    let removed = leaving.saturating_sub(joining);
    (removed as f64 > max_shrink * before.len() as f64).then_some(FaultCause::TooManyRemoved {
        removed,
        active: before.len(),
        max_share: max_shrink,
    })
}

fn active_ids(endpoint_set: &EndpointSet) -> BTreeSet<&str> {
    endpoint_set.active().map(|(id, _)| id).collect()
}

#[cfg(test)]
mod tests;
