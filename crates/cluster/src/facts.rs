//! Small shared facts: records with one writer each, of which the newest life and version win. Bounded in number, size
//! and age. They spread with the messages that say who is there, and are exchanged after a cut.

use crate::envelope::BUCKETS;
use crate::model::Name;
use crate::names;
use cairnroad_types::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most facts that are kept: some for each of as many members as are kept.
pub const MOST_FACTS: usize = 4 * crate::MOST_MEMBERS;
/// Most things that one coordinator offers, and most data nodes that it says it doubts.
pub const MOST_OFFERS: usize = 8;
/// See [`MOST_OFFERS`].
pub const MOST_DOUBTS: usize = 12;
/// How long a word on data nodes counts after it was heard, in seconds: what was doubted then may be sound now.
pub const DOUBTS_LAST: f64 = 15.0;
/// How long facts of one who is not there any more are kept, in seconds: news of its end and its last words cross.
const KEPT_AFTER: f64 = 60.0;

/// How long it is kept that somebody left, in seconds after it did: as long as any old word that it is there may live.
const LEFT_KEPT: f64 = 3_600.0;

/// What a coordinator is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It is not ready yet.
    Starting,
    /// It serves.
    Serving,
    /// It sends clients away.
    Draining,
    /// It was told to stop.
    Stopping,
}

/// What a fact says of its writer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// Who it is.
    Card {
        /// Its name, spelt out.
        name: String,
        /// The room that it stands in.
        room: String,
        /// What it offers.
        offers: Vec<String>,
    },
    /// What it is doing.
    Phase(Phase),
    /// The ids of the data nodes that it doubts. Advice only.
    Doubts(Vec<String>),
    /// It has left by its own word.
    Left {
        /// When, in Unix milliseconds.
        at_ms: u64,
    },
}

impl What {
    fn kind(&self) -> u8 {
        match self {
            What::Card { .. } => 0,
            What::Phase(_) => 1,
            What::Doubts(_) => 2,
            What::Left { .. } => 3,
        }
    }

    /// Whether it keeps to its bounds.
    fn is_sound(&self, writer: Name) -> bool {
        let short = |text: &String| text.len() <= names::MOST_NAME;
        match self {
            What::Card { name, room, offers } => {
                let bounded =
                    short(room) && offers.len() <= MOST_OFFERS && offers.iter().all(short);
                names::is_name(name) && Name::of(name) == writer && bounded
            }
            What::Phase(_) | What::Left { .. } => true,
            What::Doubts(ids) => ids.len() <= MOST_DOUBTS && ids.iter().all(short),
        }
    }
}

/// One fact.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// Who wrote it: nobody else may.
    pub writer: Name,
    /// In which life.
    pub generation: u64,
    /// Counts up with every word of that life.
    pub version: u32,
    /// What it says.
    pub what: What,
}

impl Fact {
    /// Which fact it is, whatever it says.
    pub fn key(&self) -> (Name, u8) {
        (self.writer, self.what.kind())
    }

    fn age(&self) -> (u64, u32) {
        (self.generation, self.version)
    }

    fn sum(&self) -> u64 {
        let mut bytes = [0; 21];
        bytes[..8].copy_from_slice(&self.writer.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.generation.to_le_bytes());
        bytes[16..20].copy_from_slice(&self.version.to_le_bytes());
        bytes[20] = self.what.kind();
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }

    /// The end of a word that stands though its writer is gone.
    fn until(&self) -> Option<Time> {
        match self.what {
            What::Left { at_ms } => {
                let at = i64::try_from(at_ms)
                    .unwrap_or(i64::MAX)
                    .saturating_mul(1_000);
                Some(Time(at) + LEFT_KEPT)
            }
            _ => None,
        }
    }

    fn bucket(&self) -> usize {
        (self.writer.0 % BUCKETS as u64) as usize
    }

    /// It stands as long as its writer; others are soon stale, and are not worth an exchange.
    fn lasts(&self) -> bool {
        !matches!(self.what, What::Doubts(_))
    }
}

struct Held {
    fact: Fact,
    heard: Time,
}

/// All facts that one coordinator knows.
#[derive(Default)]
pub struct Facts {
    held: BTreeMap<(Name, u8), Held>,
    /// When writers were last there; those that are there now stand at the end of time.
    seen: BTreeMap<Name, Time>,
}

impl Facts {
    /// Takes in a fact. Whether it is news, to be told to others.
    pub fn take(&mut self, now: Time, fact: Fact) -> bool {
        let life = self.life(fact.writer);
        let newest = life.unwrap_or(0);
        let known = self
            .held
            .get(&fact.key())
            .map_or((0, 0), |held| held.fact.age());
        let over = fact.until().is_some_and(|until| until <= now);
        if over
            || !fact.what.is_sound(fact.writer)
            || fact.generation < newest
            || fact.age() <= known
        {
            return false;
        }
        if !self.held.contains_key(&fact.key()) && self.held.len() >= MOST_FACTS {
            return false;
        }
        if life.is_some_and(|newest| fact.generation > newest) {
            // What an earlier life said is void.
            let earlier: Vec<_> = self
                .held
                .range((fact.writer, 0)..=(fact.writer, u8::MAX))
                .map(|(key, _)| *key)
                .collect();
            earlier.iter().for_each(|key| drop(self.held.remove(key)));
        }
        self.seen.entry(fact.writer).or_insert(now);
        self.held.insert(fact.key(), Held { fact, heard: now });
        true
    }

    /// The newest life of a writer of which there is a fact.
    fn life(&self, writer: Name) -> Option<u64> {
        let of_writer = self.held.range((writer, 0)..=(writer, u8::MAX));
        of_writer.map(|(_, held)| held.fact.generation).max()
    }

    /// A writer is there from now on, or was up to now.
    pub fn seen(&mut self, now: Time, writer: Name, there: bool) {
        self.seen
            .insert(writer, if there { Time(i64::MAX) } else { now });
    }

    /// Forgets the facts of those who have been gone for long.
    pub fn expire(&mut self, now: Time) {
        let over = |at: &Time| *at < now && now - *at > KEPT_AFTER;
        self.seen.retain(|_, at| !over(at));
        let seen = &self.seen;
        self.held
            .retain(|(writer, _), held| match held.fact.until() {
                Some(until) => until > now,
                None => seen.contains_key(writer),
            });
    }

    /// What a writer says of itself: its name, room and offers.
    pub fn card(&self, writer: Name) -> Option<(&str, &str, &[String])> {
        match &self.held.get(&(writer, 0))?.fact.what {
            What::Card { name, room, offers } => Some((name, room, offers)),
            _ => None,
        }
    }

    /// What a life of a writer was last doing.
    pub fn phase(&self, writer: Name, generation: u64) -> Option<Phase> {
        let held = self
            .held
            .get(&(writer, 1))
            .filter(|held| held.fact.generation == generation)?;
        match held.fact.what {
            What::Phase(phase) => Some(phase),
            _ => None,
        }
    }

    /// The data nodes that others doubt, and how many do: fresh words of writers that are there.
    pub fn doubted(&self, now: Time, own: Name) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for ((writer, _), held) in &self.held {
            let fresh = now - held.heard <= DOUBTS_LAST && self.is_there(*writer) && *writer != own;
            if let (What::Doubts(ids), true) = (&held.fact.what, fresh) {
                for id in ids {
                    *counts.entry(id.as_str()).or_default() += 1;
                }
            }
        }
        counts
    }

    /// Whether a life of a writer, or a later one under its name, has left by its own word.
    pub fn has_left(&self, writer: Name, generation: u64) -> bool {
        self.held
            .get(&(writer, 3))
            .is_some_and(|held| held.fact.generation >= generation)
    }

    fn is_there(&self, writer: Name) -> bool {
        self.seen.get(&writer) == Some(&Time(i64::MAX))
    }

    /// Sums of all lasting facts of those who are there: equal where the same facts are known.
    pub(crate) fn sums(&self) -> [u64; BUCKETS] {
        let mut sums = [0; BUCKETS];
        for fact in self.lasting() {
            sums[fact.bucket()] ^= fact.sum();
        }
        sums
    }

    /// The facts in those buckets whose sums differ.
    pub(crate) fn differing(&self, others: &[u64; BUCKETS]) -> Vec<Fact> {
        let own = self.sums();
        self.lasting()
            .filter(|fact| own[fact.bucket()] != others[fact.bucket()])
            .cloned()
            .collect()
    }

    fn lasting(&self) -> impl Iterator<Item = &Fact> {
        let facts = self
            .held
            .iter()
            .map(|((writer, _), held)| (writer, &held.fact));
        let lasts = |writer: &Name, fact: &Fact| {
            fact.until().is_some() || fact.lasts() && self.is_there(*writer)
        };
        facts
            .filter(move |(writer, fact)| lasts(writer, fact))
            .map(|(_, fact)| fact)
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

#[cfg(test)]
mod tests;
