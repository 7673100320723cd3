//! What a new list does to the old one.

use crate::model::{Layout, Phase, Roster};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// The steps from one list to the next, by the servers' ids.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Plan {
    /// New: the cold rules apply, an unknown start time counts as just started.
    pub added: Vec<String>,
    /// Nothing new goes there within 250 ms; what is out finishes.
    pub removed: Vec<String>,
    /// From active to leaving, and back.
    pub drained: Vec<String>,
    /// See `drained`.
    pub returned: Vec<String>,
    /// Old connections finish, new ones go to the new address.
    pub moved: Vec<String>,
    /// To another cell: it holds other shards now.
    pub other_cell: Vec<String>,
    /// The weight changed: from, to. It ramps.
    pub weighed: BTreeMap<String, (f64, f64)>,
    /// What is known of these is kept.
    pub unchanged: usize,
    /// By cell: the share of its turns that goes to other servers.
    pub shifted: BTreeMap<u32, f64>,
    /// Shards that have one active holder left.
    pub single: Vec<u32>,
}

impl Plan {
    /// Whether nothing is done.
    pub fn is_empty(&self) -> bool {
        let lists = [
            &self.added,
            &self.removed,
            &self.drained,
            &self.returned,
            &self.moved,
            &self.other_cell,
        ];
        lists.iter().all(|list| list.is_empty()) && self.weighed.is_empty()
    }
}

/// Each active server's share of the turns of its cell.
fn shares(roster: &Roster) -> BTreeMap<u32, BTreeMap<&str, f64>> {
    let mut cells: BTreeMap<u32, BTreeMap<&str, f64>> = BTreeMap::new();
    for (id, server) in roster
        .servers
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
pub fn plan(old: &Roster, new: &Roster, layout: &Layout) -> Plan {
    let mut plan = Plan::default();
    for (id, server) in &new.servers {
        let Some(before) = old.servers.get(id) else {
            plan.added.push(id.clone());
            continue;
        };
        let same = before == server;
        plan.unchanged += usize::from(same);
        match (before.phase, server.phase) {
            (Phase::Active, Phase::Leaving) => plan.drained.push(id.clone()),
            (Phase::Leaving, Phase::Active) => plan.returned.push(id.clone()),
            _ => {}
        }
        if before.address != server.address {
            plan.moved.push(id.clone());
        }
        if before.cell != server.cell {
            plan.other_cell.push(id.clone());
        }
        if before.weight != server.weight {
            plan.weighed
                .insert(id.clone(), (before.weight, server.weight));
        }
    }
    plan.removed = old
        .servers
        .keys()
        .filter(|id| !new.servers.contains_key(*id))
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
            plan.shifted.insert(*cell, gained);
        }
    }
    let count = |cell: u32| after.get(&cell).map_or(0, BTreeMap::len);
    let holders = |shard: u32| layout.holders(shard).map(count).sum::<usize>();
    plan.single = (0..layout.shards)
        .filter(|&shard| holders(shard) == 1)
        .collect();
    plan
}

impl std::fmt::Display for Plan {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lists = [
            ("add", &self.added),
            ("remove", &self.removed),
            ("drain", &self.drained),
            ("take back", &self.returned),
            ("move to another address", &self.moved),
            ("move to another cell", &self.other_cell),
        ];
        for (word, ids) in lists.iter().filter(|(_, ids)| !ids.is_empty()) {
            writeln!(f, "{word}: {}", ids.join(", "))?;
        }
        for (id, (from, to)) in &self.weighed {
            writeln!(f, "weight of {id}: {from} to {to}")?;
        }
        for (cell, share) in &self.shifted {
            writeln!(
                f,
                "cell {cell}: {:.0} % of its turns go to other servers",
                share * 100.0
            )?;
        }
        if !self.single.is_empty() {
            let some: Vec<String> = self.single.iter().take(12).map(u32::to_string).collect();
            let more = self.single.len().saturating_sub(some.len());
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
