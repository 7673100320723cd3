//! The words of the group: identities, members, standings, and the one table of what each standing allows.

use cairnroad_types::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A name as it travels: the hash of the text, which the member's card spells out.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Name(pub u64);

impl Name {
    /// The name that this text is.
    pub fn of(text: &str) -> Name {
        Name(xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
    }
}

/// One life of a coordinator. Of two under one name, the later one is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Its name.
    pub name: Name,
    /// When the process started, in Unix milliseconds, or later than any earlier life that it met.
    pub generation: u64,
    /// How often it came back after others had declared it failed, in this life.
    pub returns: u16,
    /// Where its datagrams go.
    pub address: SocketAddr,
}

impl Id {
    /// Whether this one is meant where both bear one name.
    pub fn supersedes(&self, other: &Id) -> bool {
        (self.generation, self.returns, self.address)
            > (other.generation, other.returns, other.address)
    }

    /// Whether it is another process than the other one.
    pub fn is_another_life(&self, other: &Id) -> bool {
        (self.generation, self.address) != (other.generation, other.address)
    }

    /// A number that two views share only if they share this member.
    pub(crate) fn digest(&self) -> u64 {
        let mut bytes = [0; 18];
        bytes[..8].copy_from_slice(&self.name.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.generation.to_le_bytes());
        bytes[16..].copy_from_slice(&self.returns.to_le_bytes());
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}

/// Where a member stands in one coordinator's eyes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It answers, or others say that it does.
    Alive,
    /// Somebody got no answer from it. It still counts as there.
    Suspected,
    /// It did not refute the suspicion in time.
    Failed,
    /// It said that it leaves.
    Left,
}

impl State {
    /// Whether it counts as there.
    pub fn is_there(self) -> bool {
        matches!(self, State::Alive | State::Suspected)
    }
}

/// What one coordinator knows of another.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Which life of which name.
    pub id: Id,
    /// Its state.
    pub state: State,
    /// Since when, on this coordinator's clock.
    pub since: Time,
    /// The member's number for refuting suspicion.
    pub incarnation: u16,
}

/// How much of the configured group a coordinator sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// Nobody but itself; or it can't trust what it sees: it was replaced, or has just been stopped for long.
    Alone,
    /// Half of the group or less; or it doubts itself.
    Minority,
    /// More than half.
    Majority,
    /// All.
    Whole,
}

impl Standing {
    /// The standing of one that sees `there` of `all` names, itself included.
    pub fn of(there: usize, all: usize) -> Standing {
        match there {
            _ if there >= all => Standing::Whole,
            0 | 1 => Standing::Alone,
            _ if 2 * there > all => Standing::Majority,
            _ => Standing::Minority,
        }
    }
}

/// What a coordinator may want to do and has to ask for first. Later features add a line here and to [`may`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Feature {
    /// Serve clients by its own list.
    Serve,
    /// Tell others what it knows: its phase, which data nodes it doubts.
    Tell,
    /// Heed what others tell, as advice.
    Heed,
    /// Do something for the whole group, of which there may be only one at a time.
    ActForAll,
    /// Take over something from one that has failed.
    TakeOver,
}

/// All features, in the order of the table.
pub const FEATURES: [Feature; 5] = [
    Feature::Serve,
    Feature::Tell,
    Feature::Heed,
    Feature::ActForAll,
    Feature::TakeOver,
];

/// The one table of what each feature may do in each standing.
///
/// | | alone | minority | majority | whole |
/// | --- | --- | --- | --- | --- |
/// | `Serve` | yes | yes | yes | yes |
/// | `Tell` | yes | yes | yes | yes |
/// | `Heed` | no | yes | yes | yes |
/// | `ActForAll` | no | no | yes | yes |
/// | `TakeOver` | no | no | yes | yes |
pub fn may(standing: Standing, feature: Feature) -> bool {
    match feature {
        // Cut off or not, a coordinator owes its clients answers, and its own list is all that this takes.
        Feature::Serve => true,
        // Whoever hears it can use it, and nobody else is misled.
        Feature::Tell => true,
        // What was heard before one was alone is old, and one that doubts itself as much may hear wrong.
        Feature::Heed => standing > Standing::Alone,
        // Two sides of a cut can't both see more than half of the group.
        Feature::ActForAll | Feature::TakeOver => standing >= Standing::Majority,
    }
}

/// What one coordinator sees at one moment: always whole, never a mix of two.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Counts up with every change, here or, where others counted further, there.
    pub epoch: u64,
    /// Equal at all coordinators that see the same members.
    pub digest: u64,
    /// This coordinator.
    pub own: Id,
    /// Its standing.
    pub standing: Standing,
    /// How much it doubts itself, from 0.
    pub doubt: u32,
    /// Another process under this one's name has taken its place.
    pub replaced_by: Option<Id>,
    /// Of those who are there: how many last spoke from an equal view, and how many from another.
    pub agree: usize,
    /// See `agree`.
    pub differ: usize,
    /// All members that are known, this one left out.
    pub members: Vec<Member>,
}

impl View {
    /// How many are there, this one included.
    pub fn there(&self) -> usize {
        1 + self
            .members
            .iter()
            .filter(|member| member.state.is_there())
            .count()
    }

    /// Whether this coordinator may do a thing now.
    pub fn may(&self, feature: Feature) -> bool {
        may(self.standing, feature)
    }
}

#[cfg(test)]
mod tests;
