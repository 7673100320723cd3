//! What is done about a departure: which traffic is looked at, what is refused, what counts as failed, and which
//! descriptions are in force. Free of I/O and clock.

use crate::conformance::{Violation, ViolationKind};
use crate::drift::Interface;
use crate::fault::Faults;
use crate::model::{Description, Kind};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How an interface's traffic is held against its description.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Not at all: nothing is read and nothing costs.
    #[default]
    Off,
    /// Aside: departures are told, and change nothing.
    Observe,
    /// Before anything is done with a message: one that departs is not used.
    Enforce,
}

/// Takes a share of the messages, evenly: of a share of 0.25 every fourth.
#[derive(Clone, Debug)]
pub struct Sampler {
    share: f64,
    credit: f64,
}

impl Sampler {
    /// For a share from 0 to 1. The first message is taken, so that a share however small shows something.
    pub fn new(share: f64) -> Sampler {
        let share = if share.is_finite() {
            share.clamp(0.0, 1.0)
        } else {
            0.0
        };
        Sampler {
            share,
            credit: if share > 0.0 { 1.0 - share } else { 0.0 },
        }
    }

    /// Whether the next message is looked at.
    pub fn sample(&mut self) -> bool {
        self.credit += self.share;
        // A sum of shares such as 0.1 falls short of 1 by less than this.
        let take = self.credit >= 1.0 - 1e-9;
        if take {
            self.credit -= 1.0;
        }
        take
    }
}

/// BacklogLimit for messages that wait to be looked at. What finds none is counted, never waited for.
#[derive(Clone, Debug)]
pub struct BacklogLimit {
    messages: usize,
    bytes: usize,
    max_messages: usize,
    max_bytes: usize,
    /// Messages that found no room.
    pub rejected: u64,
}

impl BacklogLimit {
    /// For so many messages of so many bytes in all.
    pub fn new(max_messages: usize, max_bytes: usize) -> BacklogLimit {
        BacklogLimit {
            messages: 0,
            bytes: 0,
            max_messages,
            max_bytes,
            rejected: 0,
        }
    }

    /// Whether a message may wait; if so, its room is taken.
    pub fn try_reserve(&mut self, bytes: usize) -> bool {
        if self.messages >= self.max_messages || bytes > self.max_bytes - self.bytes {
            self.rejected += 1;
            return false;
        }
        self.messages += 1;
        self.bytes += bytes;
        true
    }

    /// A message no longer waits.
    pub fn release(&mut self, bytes: usize) {
        self.messages = self.messages.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(bytes);
    }
}

/// What becomes of a client's request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestDecision {
    /// It is served.
    Serve,
    /// It is answered with status 400 and this reason, and nothing is sent for it.
    Reject(Rejection),
}

/// Why a request is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}: wanted {}, found {}{}", first.place, first.expected, first.found, count_more(*more))]
pub struct Rejection {
    /// The first violation.
    pub first: Violation,
    /// How many more there are.
    pub more: usize,
}

fn count_more(more: usize) -> String {
    match more {
        0 => String::new(),
        more => format!("; {more} more"),
    }
}

/// Decides about a request. One whose path or method is not described is left to the front, which words that itself: a
/// description may cover a part of an interface, such as all but its health page.
pub fn decide_request(mode: Mode, violations: &[Violation]) -> RequestDecision {
    match violations.first() {
        Some(first) if mode == Mode::Enforce && first.kind != ViolationKind::Unknown => {
            RequestDecision::Reject(Rejection {
                first: first.clone(),
                more: violations.len() - 1,
            })
        }
        _ => RequestDecision::Serve,
    }
}

/// Whether a server's answer may be used for what it says. One that departs under `enforce` is a failed attempt that
/// may have run, whatever it claims: a server that does not keep to its description is not believed that it never
/// began, either.
pub fn is_response_usable(mode: Mode, violations: &[Violation]) -> bool {
    mode != Mode::Enforce || violations.is_empty()
}

/// An interface with the description that its traffic is held against.
#[derive(Clone, Debug)]
pub struct InterfaceContract {
    /// How.
    pub mode: Mode,
    /// The share of messages that is looked at under `observe`.
    pub share: f64,
    /// Against what.
    pub description: Arc<Description>,
}

/// Why an interface's description can't be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// It has faults.
    #[error("{0}")]
    Faulty(Faults),
    /// It is of the other format.
    #[error("{path}: this interface is described in {expected:?}, not in {found:?}")]
    WrongFormat {
        /// The description's file.
        path: String,
        /// The format of the interface.
        expected: Kind,
        /// The description's format.
        found: Kind,
    },
}

/// Descriptions that can't be used, so that none of those read comes into force.
#[derive(Debug, thiserror::Error)]
#[error("{}", join_lines(faulty))]
pub struct FaultyContracts {
    /// Each interface with what is wrong.
    pub faulty: Vec<(Interface, LoadError)>,
}

fn join_lines(faulty: &[(Interface, LoadError)]) -> String {
    let lines: Vec<String> = faulty
        .iter()
        .map(|(interface, error)| format!("contract.{interface}: {error}"))
        .collect();
    lines.join("\n")
}

/// All descriptions in force at one time. A request keeps the ones that were in force when it came.
#[derive(Clone, Debug, Default)]
pub struct ActiveContracts {
    /// Counts up with each change.
    pub generation: u64,
    by: BTreeMap<Interface, InterfaceContract>,
}

impl ActiveContracts {
    /// The description of an interface; `None` where it is off.
    pub fn get(&self, interface: Interface) -> Option<&InterfaceContract> {
        self.by.get(&interface)
    }

    /// Whether nothing is looked at at all.
    pub fn is_off(&self) -> bool {
        self.by.is_empty()
    }

    /// All that are on.
    pub fn all(&self) -> impl Iterator<Item = (Interface, &InterfaceContract)> {
        self.by.iter().map(|(interface, held)| (*interface, held))
    }

    /// The contracts in force after these were read: all of them or, where one is at fault, none, so that `self`
    /// stays. Also returns the interfaces whose description changed; the others keep the very same description, and
    /// what is known of their drift stays true.
    pub fn replaced_by(
        &self,
        read: Vec<(Interface, Result<InterfaceContract, LoadError>)>,
    ) -> Result<(ActiveContracts, BTreeSet<Interface>), FaultyContracts> {
        let mut contracts = Vec::new();
        let mut faulty = Vec::new();
        for (interface, contract) in read {
            match contract {
                Ok(contract) => contracts.push((interface, contract)),
                Err(error) => faulty.push((interface, error)),
            }
        }
        if !faulty.is_empty() {
            return Err(FaultyContracts { faulty });
        }
        let mut by = BTreeMap::new();
        for (interface, mut held) in contracts {
            if held.mode == Mode::Off {
                continue;
            }
            if let Some(old) = self.by.get(&interface) {
                if old.description.fingerprint == held.description.fingerprint {
                    held.description = old.description.clone();
                }
            }
            by.insert(interface, held);
        }
        let same = |interface: &Interface| match (self.by.get(interface), by.get(interface)) {
            (Some(old), Some(new)) => Arc::ptr_eq(&old.description, &new.description),
            (old, new) => old.is_none() && new.is_none(),
        };
        let changed = self
            .by
            .keys()
            .chain(by.keys())
            .filter(|interface| !same(interface))
            .copied()
            .collect();
        Ok((
            ActiveContracts {
                generation: self.generation + 1,
                by,
            },
            changed,
        ))
    }
}

#[cfg(test)]
mod tests;
