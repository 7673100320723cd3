//! Decides whether an endpoint set may replace the one in force, without I/O or a clock.

use crate::endpoint_set::{EndpointSet, Phase};
use crate::fault::{Fault, FaultCause};
use crate::shard_layout::ShardLayout;
use std::collections::{BTreeMap, BTreeSet};

/// Default limit on the share of active endpoints that one set may remove without `allow_shrink`. A fleet is sized for
/// the outage of a third, and a list that was truncated in the middle loses more than that.
pub const DEFAULT_MAX_REMOVED_SHARE: f64 = 0.34;

/// The decision on an endpoint set that was read.
#[derive(Clone, Debug, PartialEq)]
pub enum UpdateDecision {
    /// The set replaces the one in force.
    Apply,
    /// The set equals the one in force.
    Unchanged,
    /// The set has these faults and is not applied; the one in force stays.
    Reject(Vec<Fault>),
}

/// Checks a set on its own: its cells exist, the weights of each active cell have a positive sum, and every shard has
/// an active holder.
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

/// Returns a fault if there are shards without a holder in an active cell.
fn find_shards_without_holder(
    layout: &ShardLayout,
    is_active: impl Fn(u32) -> bool,
) -> Option<Fault> {
    // Shards with the same first cell have the same holders, so one shard per first cell represents all of them.
    let distinct_shards = layout.shards.min(layout.cells);
    let mut without_holder = Vec::new();
    for shard in 0..distinct_shards {
        if !layout.holders(shard).any(&is_active) {
            without_holder.push(shard);
        }
    }
    let first_shard = *without_holder.first()?;
    let shard_count =
        layout.shards as usize * without_holder.len() / distinct_shards.max(1) as usize;
    Some(Fault::of_list(FaultCause::ShardsWithoutHolder {
        first_shard,
        other_shards: shard_count.saturating_sub(1),
    }))
}

/// Decides whether `new`, whose generation is to be higher, may replace `in_force`. `max_removed_share` is the share of
/// active endpoints, 0 to 1, that may be removed at once.
pub fn decide_update(
    in_force: Option<&EndpointSet>,
    new: &EndpointSet,
    layout: &ShardLayout,
    max_removed_share: f64,
) -> UpdateDecision {
    let mut faults = validate(new, layout);
    if let Some(old) = in_force {
        if new.generation == old.generation && new.has_same_endpoints(old) {
            return UpdateDecision::Unchanged;
        }
        let cause = find_generation_fault(old, new)
            .or_else(|| find_shrink_fault(old, new, max_removed_share));
        faults.extend(cause.map(Fault::of_list));
    }
    decision(faults)
}

/// Decides whether `new` may replace a set that was read from the same files while they were being written: its
/// generation means nothing, since it may consist of digits of two lists. `before` is the set that was in force before;
/// the shares of removed endpoints are those from it to `new`.
pub fn decide_correction(
    before: Option<&EndpointSet>,
    new: &EndpointSet,
    layout: &ShardLayout,
    max_removed_share: f64,
) -> UpdateDecision {
    match before {
        // The files hold the earlier list again.
        Some(before) if before.generation == new.generation && new.has_same_endpoints(before) => {
            UpdateDecision::Apply
        }
        _ => decide_update(before, new, layout, max_removed_share),
    }
}

fn decision(faults: Vec<Fault>) -> UpdateDecision {
    if faults.is_empty() {
        UpdateDecision::Apply
    } else {
        UpdateDecision::Reject(faults)
    }
}

/// Returns a fault unless the new generation is higher than the one in force.
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

/// Returns a fault if the new set removes more than the permitted share of active endpoints without `allow_shrink`.
fn find_shrink_fault(
    old: &EndpointSet,
    new: &EndpointSet,
    max_removed_share: f64,
) -> Option<FaultCause> {
    if new.allow_shrink {
        return None;
    }
    let before = active_ids(old);
    let after = active_ids(new);
    let leaving = before.difference(&after).count();
    let joining = after.difference(&before).count();
    // Replacing endpoints one for one removes no capacity.
    let removed = leaving.saturating_sub(joining);
    (removed as f64 > max_removed_share * before.len() as f64).then_some(
        FaultCause::TooManyRemoved {
            removed,
            active: before.len(),
            max_share: max_removed_share,
        },
    )
}

fn active_ids(endpoint_set: &EndpointSet) -> BTreeSet<&str> {
    endpoint_set.active().map(|(id, _)| id).collect()
}

#[cfg(test)]
mod tests;
