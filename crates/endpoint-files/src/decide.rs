//! Whether a list may take the place of the one in force. Free of I/O and clock.

use crate::model::{Fault, Layout, Phase, Roster};
use std::collections::{BTreeMap, BTreeSet};

/// The share of the working servers that one list may take away unless its writer says `allow_shrink`: an outage of a
/// third is what a fleet is built for, and a list that was cut off in the middle loses more.
pub const USUAL_SHRINK: f64 = 0.34;

/// What becomes of a list that was read.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It comes into force.
    Take,
    /// It is the one in force already.
    Same,
    /// It does not, and the old one stays.
    Refuse(Vec<Fault>),
}

/// What a list must be in itself, whatever was before.
pub fn sound(roster: &Roster, layout: &Layout) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut sums: BTreeMap<u32, f64> = BTreeMap::new();
    for (id, server) in &roster.servers {
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
        let all = layout.shards as usize * bare.len() / layout.shards.min(layout.cells).max(1) as usize;
        let cause = format!("shard {first} and {} more have no active holder left", all.saturating_sub(1));
        faults.push(Fault::whole(cause));
    }
    faults
}

/// Judges a list beside the one in force. `shrink` is the share that may leave at once.
pub fn judge(old: Option<&Roster>, new: &Roster, layout: &Layout, shrink: f64) -> Verdict {
    let mut faults = sound(new, layout);
    if let Some(old) = old {
        if new.generation < old.generation {
            let cause = format!(
                "generation {} is older than {}, which is in force: count up",
                new.generation, old.generation
            );
            faults.push(Fault::whole(cause));
        } else if new.generation == old.generation {
            if new.says_the_same(old) {
                return Verdict::Same;
            }
            let cause = format!(
                "generation {} is in force with other content: count it up with each change",
                old.generation
            );
            faults.push(Fault::whole(cause));
        } else if !new.allow_shrink {
            let working = |roster: &Roster| -> BTreeSet<String> {
                let active = roster.servers.iter().filter(|(_, server)| server.phase == Phase::Active);
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
        true => Verdict::Take,
        false => Verdict::Refuse(faults),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::model::Server;

    const LAYOUT: Layout = Layout { cells: 2, reach: 1, shards: 8 };

    fn roster(generation: u64, servers: &[(&str, u32, f64)]) -> Roster {
        let server = |(at, (id, cell, weight)): (usize, &(&str, u32, f64))| {
            let address = format!("127.0.0.1:{}", 9000 + at).parse().unwrap();
            let server = Server {
                address,
                cell: *cell,
                locality: String::new(),
                kind: String::new(),
                phase: Phase::Active,
                weight: *weight,
                started: None,
                not_before: None,
                not_after: None,
            };
            (id.to_string(), server)
        };
        Roster { generation, allow_shrink: false, servers: servers.iter().enumerate().map(server).collect() }
    }

    fn refused(old: Option<&Roster>, new: &Roster, words: &str) {
        let Verdict::Refuse(faults) = judge(old, new, &LAYOUT, USUAL_SHRINK) else {
            panic!("{words}: taken")
        };
        assert!(faults.iter().any(|fault| fault.cause.contains(words)), "{words}: {faults:?}");
    }

    #[test]
    fn a_list_that_would_break_service_is_refused() {
        let good = roster(3, &[("a", 0, 1.0), ("b", 0, 1.0), ("c", 1, 1.0), ("d", 1, 0.0)]);
        assert_eq!(judge(None, &good, &LAYOUT, USUAL_SHRINK), Verdict::Take);
        refused(None, &roster(3, &[("a", 0, 1.0), ("c", 2, 1.0)]), "there are cells 0 to 1");
        refused(None, &roster(3, &[("a", 0, 1.0), ("b", 1, 0.0), ("c", 1, 0.0)]), "cell 1 add up to 0");
        refused(None, &roster(3, &[("a", 0, 1.0)]), "shard 1 and 3 more have no active holder");
        let mut leaving = good.clone();
        leaving.servers.get_mut("a").unwrap().phase = Phase::Leaving;
        leaving.servers.get_mut("b").unwrap().phase = Phase::Leaving;
        refused(None, &leaving, "shard 0 and 3 more have no active holder");
    }

    #[test]
    fn generations_only_count_up_and_mean_one_list_each() {
        let old = roster(3, &[("a", 0, 1.0), ("b", 1, 1.0)]);
        let mut new = old.clone();
        assert_eq!(judge(Some(&old), &new, &LAYOUT, USUAL_SHRINK), Verdict::Same);
        new.servers.get_mut("a").unwrap().weight = 2.0;
        refused(Some(&old), &new, "generation 3 is in force with other content");
        new.generation = 2;
        refused(Some(&old), &new, "generation 2 is older than 3");
        new.generation = 4;
        assert_eq!(judge(Some(&old), &new, &LAYOUT, USUAL_SHRINK), Verdict::Take);
    }

    #[test]
    fn a_list_that_takes_too_many_away_must_say_that_it_means_to() {
        let old = roster(
            1,
            &[("a", 0, 1.0), ("b", 0, 1.0), ("c", 1, 1.0), ("d", 1, 1.0), ("e", 1, 1.0), ("f", 1, 1.0)],
        );
        let two_less = roster(2, &[("a", 0, 1.0), ("b", 0, 1.0), ("c", 1, 1.0), ("d", 1, 1.0)]);
        assert_eq!(judge(Some(&old), &two_less, &LAYOUT, USUAL_SHRINK), Verdict::Take);
        let mut three_less = roster(2, &[("a", 0, 1.0), ("b", 0, 1.0), ("c", 1, 1.0)]);
        refused(Some(&old), &three_less, "3 of 6 working servers would leave at once");
        three_less.allow_shrink = true;
        assert_eq!(judge(Some(&old), &three_less, &LAYOUT, USUAL_SHRINK), Verdict::Take);
        let replaced = roster(
            2,
            &[("u", 0, 1.0), ("v", 0, 1.0), ("w", 1, 1.0), ("x", 1, 1.0), ("y", 1, 1.0), ("z", 1, 1.0)],
        );
        assert_eq!(judge(Some(&old), &replaced, &LAYOUT, USUAL_SHRINK), Verdict::Take, "one for one");
    }
}
