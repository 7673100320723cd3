//! What a new list does to the old one.

use crate::endpoint_set::{EndpointSet, Phase, ShardLayout};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// The steps from one list to the next, by the servers' ids.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct UpdatePlan {
    /// New: the cold rules apply, an unknown start time counts as just started.
    pub added: Vec<String>,
    /// Nothing new goes there within 250 ms; what is out finishes.
    pub removed: Vec<String>,
    /// From active to leaving, and back.
    pub drained: Vec<String>,
    /// See `drained`.
    #[serde(rename = "returned")]
    pub reactivated: Vec<String>,
    /// Old connections finish, new ones go to the new address.
    #[serde(rename = "moved")]
    pub readdressed: Vec<String>,
    /// To another cell: it holds other shards now.
    #[serde(rename = "other_cell")]
    pub cell_changed: Vec<String>,
    /// The weight changed: from, to. It ramps.
    #[serde(rename = "weighed")]
    pub reweighted: BTreeMap<String, (f64, f64)>,
    /// What is known of these is kept.
    pub unchanged: usize,
    /// By cell: the share of its turns that goes to other servers.
    #[serde(rename = "shifted")]
    pub shifted_share: BTreeMap<u32, f64>,
    /// Shards that have one active holder left.
    #[serde(rename = "single")]
    pub single_holder_shards: Vec<u32>,
}

impl UpdatePlan {
    /// Whether nothing is done.
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
}

/// Each active server's share of the turns of its cell.
fn shares(roster: &EndpointSet) -> BTreeMap<u32, BTreeMap<&str, f64>> {
    let mut cells: BTreeMap<u32, BTreeMap<&str, f64>> = BTreeMap::new();
    for (id, server) in roster
        .endpoints
        .iter()
        .filter(|(_, server)| server.phase == Phase::Active)
    {
        cells
            .entry(server.cell)
            .or_default()
            .insert(id, server.weight);
    }
    for shares in cells.values_mut() {
        let sum: f64 = shares.values().sum();
        shares
            .values_mut()
            .for_each(|share| *share /= if sum > 0.0 { sum } else { 1.0 });
    }
    cells
}

/// Works it out.
pub fn plan_update(old: &EndpointSet, new: &EndpointSet, layout: &ShardLayout) -> UpdatePlan {
    let mut plan = UpdatePlan::default();
    for (id, server) in &new.endpoints {
        let Some(before) = old.endpoints.get(id) else {
            plan.added.push(id.clone());
            continue;
        };
        let same = before == server;
        plan.unchanged += usize::from(same);
        match (before.phase, server.phase) {
            (Phase::Active, Phase::Draining) => plan.drained.push(id.clone()),
            (Phase::Draining, Phase::Active) => plan.reactivated.push(id.clone()),
            _ => {}
        }
        if before.address != server.address {
            plan.readdressed.push(id.clone());
        }
        if before.cell != server.cell {
            plan.cell_changed.push(id.clone());
        }
        if before.weight != server.weight {
            plan.reweighted
                .insert(id.clone(), (before.weight, server.weight));
        }
    }
    plan.removed = old
        .endpoints
        .keys()
        .filter(|id| !new.endpoints.contains_key(*id))
        .cloned()
        .collect();
    let (before, after) = (shares(old), shares(new));
    let none = BTreeMap::new();
    for cell in before.keys().chain(after.keys()).collect::<BTreeSet<_>>() {
        let (before, after) = (
            before.get(cell).unwrap_or(&none),
            after.get(cell).unwrap_or(&none),
        );
        let gained = after
            .iter()
            .map(|(id, share)| (share - before.get(id).unwrap_or(&0.0)).max(0.0));
        let gained: f64 = gained.sum();
        if gained > 1e-9 {
            plan.shifted_share.insert(*cell, gained);
        }
    }
    let count = |cell: u32| after.get(&cell).map_or(0, BTreeMap::len);
    let holders = |shard: u32| layout.holders(shard).map(count).sum::<usize>();
    plan.single_holder_shards = (0..layout.shards)
        .filter(|&shard| holders(shard) == 1)
        .collect();
    plan
}

impl std::fmt::Display for UpdatePlan {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lists = [
            ("add", &self.added),
            ("remove", &self.removed),
            ("drain", &self.drained),
            ("take back", &self.reactivated),
            ("move to another address", &self.readdressed),
            ("move to another cell", &self.cell_changed),
        ];
        for (word, ids) in lists.iter().filter(|(_, ids)| !ids.is_empty()) {
            writeln!(f, "{word}: {}", ids.join(", "))?;
        }
        for (id, (from, to)) in &self.reweighted {
            writeln!(f, "weight of {id}: {from} to {to}")?;
        }
        for (cell, share) in &self.shifted_share {
            writeln!(
                f,
                "cell {cell}: {:.0} % of its turns go to other servers",
                share * 100.0
            )?;
        }
        if !self.single_holder_shards.is_empty() {
            let some: Vec<String> = self
                .single_holder_shards
                .iter()
                .take(12)
                .map(u32::to_string)
                .collect();
            let more = self.single_holder_shards.len().saturating_sub(some.len());
            let more = if more > 0 {
                format!(" and {more} more")
            } else {
                String::new()
            };
            writeln!(
                f,
                "shards with one active holder left: {}{more}",
                some.join(", ")
            )?;
        }
        match self.is_empty() {
            true => writeln!(f, "nothing changes"),
            false => writeln!(f, "unchanged: {}", self.unchanged),
        }
    }
}
