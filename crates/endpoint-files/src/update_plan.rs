//! The changes from one endpoint set to the next, for operators and the log.

use crate::endpoint_set::{Endpoint, EndpointSet, Phase};
use crate::shard_layout::ShardLayout;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Smallest shift of a cell's turns that is reported, above the rounding errors of sums.
const MIN_SHIFTED_SHARE: f64 = 1e-9;
/// Maximum number of shards that the text lists by number.
const MAX_LISTED_SHARDS: usize = 12;

/// A change of an endpoint's weight. It is serialized as `[before, after]`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct WeightChange {
    /// The weight in the old set.
    pub before: f64,
    /// The weight in the new set, which is reached gradually.
    pub after: f64,
}

impl From<WeightChange> for (f64, f64) {
    fn from(change: WeightChange) -> (f64, f64) {
        (change.before, change.after)
    }
}

/// The changes from one set to the next. Lists hold the ids of endpoints.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct UpdatePlan {
    /// Endpoints that only the new set has. Slow start applies; an endpoint without a start time counts as just
    /// started.
    pub added: Vec<String>,
    /// Endpoints that only the old set has. They get no new work after at most 250 ms and complete their in-flight
    /// work.
    pub removed: Vec<String>,
    /// Endpoints that change from active to draining.
    pub drained: Vec<String>,
    /// Endpoints that change from draining to active.
    #[serde(rename = "returned")]
    pub reactivated: Vec<String>,
    /// Endpoints whose address changes. Open connections complete their work; new ones go to the new address.
    #[serde(rename = "moved")]
    pub readdressed: Vec<String>,
    /// Endpoints that move to another cell, and so hold other shards.
    #[serde(rename = "other_cell")]
    pub cell_changed: Vec<String>,
    /// Endpoints whose weight changes.
    #[serde(rename = "weighed")]
    pub reweighted: BTreeMap<String, WeightChange>,
    /// Number of endpoints that are equal in both sets; their measurements are kept.
    pub unchanged: usize,
    /// By cell, the share of the cell's turns, 0 to 1, that moves to other endpoints.
    #[serde(rename = "shifted")]
    pub shifted_share: BTreeMap<u32, f64>,
    /// Shards with a single active holder in the new set.
    #[serde(rename = "single")]
    pub single_holder_shards: Vec<u32>,
}

impl UpdatePlan {
    /// Returns whether no endpoint changes.
    pub fn is_empty(&self) -> bool {
        let lists = [
            &self.added,
            &self.removed,
            &self.drained,
            &self.reactivated,
            &self.readdressed,
            &self.cell_changed,
        ];
        lists.iter().all(|list| list.is_empty()) && self.reweighted.is_empty()
    }

    fn add_endpoint_changes(&mut self, id: &str, before: &Endpoint, after: &Endpoint) {
        self.unchanged += usize::from(before == after);
        match (before.phase, after.phase) {
            (Phase::Active, Phase::Draining) => self.drained.push(id.into()),
            (Phase::Draining, Phase::Active) => self.reactivated.push(id.into()),
            (Phase::Active, Phase::Active) | (Phase::Draining, Phase::Draining) => {}
        }
        if before.address != after.address {
            self.readdressed.push(id.into());
        }
        if before.cell != after.cell {
            self.cell_changed.push(id.into());
        }
        if before.weight != after.weight {
            let change = WeightChange {
                before: before.weight,
                after: after.weight,
            };
            self.reweighted.insert(id.into(), change);
        }
    }
}

/// Returns the changes from `old` to `new`.
pub fn plan_update(old: &EndpointSet, new: &EndpointSet, layout: &ShardLayout) -> UpdatePlan {
    let mut plan = UpdatePlan::default();
    for (id, endpoint) in &new.endpoints {
        match old.endpoints.get(id) {
            Some(before) => plan.add_endpoint_changes(id, before, endpoint),
            None => plan.added.push(id.clone()),
        }
    }
    let removed = old.endpoints.keys();
    let removed = removed.filter(|id| !new.endpoints.contains_key(*id));
    plan.removed = removed.cloned().collect();
    let shares_before = turn_shares(old);
    let shares_after = turn_shares(new);
    plan.shifted_share = shifted_shares(&shares_before, &shares_after);
    plan.single_holder_shards = single_holder_shards(&shares_after, layout);
    plan
}

/// Each active endpoint's share of its cell's turns, 0 to 1, by cell and id.
type TurnShares<'a> = BTreeMap<u32, BTreeMap<&'a str, f64>>;

fn turn_shares(endpoint_set: &EndpointSet) -> TurnShares<'_> {
    let mut cells = TurnShares::new();
    for (id, endpoint) in endpoint_set.active() {
        let cell = cells.entry(endpoint.cell).or_default();
        cell.insert(id, endpoint.weight);
    }
    for shares in cells.values_mut() {
        let sum: f64 = shares.values().sum();
        let divisor = if sum > 0.0 { sum } else { 1.0 };
        shares.values_mut().for_each(|share| *share /= divisor);
    }
    cells
}

fn shifted_shares(before: &TurnShares<'_>, after: &TurnShares<'_>) -> BTreeMap<u32, f64> {
    let empty = BTreeMap::new();
    let mut shifted = BTreeMap::new();
    let cells: BTreeSet<u32> = before.keys().chain(after.keys()).copied().collect();
    for cell in cells {
        let before = before.get(&cell).unwrap_or(&empty);
        let after = after.get(&cell).unwrap_or(&empty);
        let gains = after
            .iter()
            .map(|(id, share)| (share - before.get(id).unwrap_or(&0.0)).max(0.0));
        let gained: f64 = gains.sum();
        if gained > MIN_SHIFTED_SHARE {
            shifted.insert(cell, gained);
        }
    }
    shifted
}

fn single_holder_shards(shares: &TurnShares<'_>, layout: &ShardLayout) -> Vec<u32> {
    let active_in_cell = |cell: u32| shares.get(&cell).map_or(0, BTreeMap::len);
    let active_holders = |shard: u32| layout.holders(shard).map(active_in_cell).sum::<usize>();
    (0..layout.shards)
        .filter(|&shard| active_holders(shard) == 1)
        .collect()
}

impl fmt::Display for UpdatePlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lists = [
            ("add", &self.added),
            ("remove", &self.removed),
            ("drain", &self.drained),
            ("reactivate", &self.reactivated),
            ("change address", &self.readdressed),
            ("change cell", &self.cell_changed),
        ];
        for (label, ids) in lists.iter().filter(|(_, ids)| !ids.is_empty()) {
            writeln!(f, "{label}: {}", ids.join(", "))?;
        }
        for (id, change) in &self.reweighted {
            writeln!(f, "weight of {id}: {} to {}", change.before, change.after)?;
        }
        for (cell, share) in &self.shifted_share {
            let percent = share * 100.0;
            writeln!(
                f,
                "cell {cell}: {percent:.0} % of its turns go to other servers"
            )?;
        }
        write_single_holder_shards(f, &self.single_holder_shards)?;
        if self.is_empty() {
            writeln!(f, "no changes")
        } else {
            writeln!(f, "unchanged: {}", self.unchanged)
        }
    }
}

fn write_single_holder_shards(f: &mut fmt::Formatter<'_>, shards: &[u32]) -> fmt::Result {
    if shards.is_empty() {
        return Ok(());
    }
    let listed: Vec<String> = shards
        .iter()
        .take(MAX_LISTED_SHARDS)
        .map(u32::to_string)
        .collect();
    write!(
        f,
        "shards with a single active holder: {}",
        listed.join(", ")
    )?;
    match shards.len().saturating_sub(listed.len()) {
        0 => writeln!(f),
        more => writeln!(f, " and {more} more"),
    }
}
