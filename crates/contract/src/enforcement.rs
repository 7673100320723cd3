//! Decides what is done about violations: which messages are checked, which requests are rejected, which responses
//! count as failed, and which descriptions are in force. Does no I/O and reads no clock.

use crate::conformance::{Violation, ViolationKind};
use crate::drift::Interface;
use crate::fault::Faults;
use crate::model::{Description, DescriptionFormat};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How an interface's traffic is checked against its description.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Not at all, at no cost.
    #[default]
    Off,
    /// In the background: violations are reported and change nothing.
    Observe,
    /// Before a message is used: one with a violation is not used.
    Enforce,
}

/// Selects an even share of the messages: with a share of 0.25, every fourth.
#[derive(Clone, Debug)]
pub struct Sampler {
    share: f64,
    credit: f64,
}

/// How far the sum of shares such as 0.1 may fall short of 1 by rounding.
const ROUNDING_TOLERANCE: f64 = 1e-9;

impl Sampler {
    /// For a share from 0 to 1. The first message is always selected, so that even a tiny share shows something.
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

    /// Whether the next message is to be checked.
    pub fn sample(&mut self) -> bool {
        self.credit += self.share;
        let is_selected = self.credit >= 1.0 - ROUNDING_TOLERANCE;
        if is_selected {
            self.credit -= 1.0;
        }
        is_selected
    }
}

/// Bounds the messages that wait to be checked. A message beyond the bound is counted and not checked, never waited for.
#[derive(Clone, Debug)]
pub struct BacklogLimit {
    messages: usize,
    bytes: usize,
    max_messages: usize,
    max_bytes: usize,
    /// Messages beyond the bound.
    pub rejected: u64,
}

impl BacklogLimit {
    /// At most `max_messages` messages, with `max_bytes` bytes in total.
    pub fn new(max_messages: usize, max_bytes: usize) -> BacklogLimit {
        BacklogLimit {
            messages: 0,
            bytes: 0,
            max_messages,
            max_bytes,
            rejected: 0,
        }
    }

    /// Reserves capacity for a message of this many bytes. Returns false, and counts it as rejected, if there is none.
    pub fn try_reserve(&mut self, bytes: usize) -> bool {
        if self.messages >= self.max_messages || bytes > self.max_bytes - self.bytes {
            self.rejected += 1;
            return false;
        }
        self.messages += 1;
        self.bytes += bytes;
        true
    }

    /// Releases the capacity of a message that no longer waits.
    pub fn release(&mut self, bytes: usize) {
        self.messages = self.messages.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(bytes);
    }
}

/// What is done with a client's request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestDecision {
    /// It is served.
    Serve,
    /// It is answered with status 400 and this reason, and no attempt is made.
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

/// Decides whether a request is served. One whose path or method is not described is left to the front, which has its
/// own responses for those: a description may cover only a part of an interface, such as all but its health page.
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

/// Whether a server's response may be used. Under `enforce`, one with a violation is a failed attempt that may have
/// been executed: a server that violates its description isn't trusted when it claims not to have started, either.
pub fn is_response_usable(mode: Mode, violations: &[Violation]) -> bool {
    mode != Mode::Enforce || violations.is_empty()
}

/// The description that an interface's traffic is checked against.
#[derive(Clone, Debug)]
pub struct InterfaceContract {
    /// How it is checked.
    pub mode: Mode,
    /// The share of messages that is checked under `observe`, from 0 to 1.
    pub share: f64,
    /// The description.
    pub description: Arc<Description>,
}

/// Why an interface's description can't be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The description is faulty.
    #[error("{0}")]
    Faulty(Faults),
    /// The description has another format than the interface needs.
    #[error("{path}: this interface is described in {expected:?}, not in {found:?}")]
    WrongFormat {
        /// The description's file.
        path: String,
        /// The format of the interface.
        expected: DescriptionFormat,
        /// The description's format.
        found: DescriptionFormat,
    },
}

/// Descriptions that can't be used; the ones that were loaded with them are not put into force either.
#[derive(Debug, thiserror::Error)]
#[error("{}", join_lines(faulty))]
pub struct FaultyContracts {
    /// The interfaces, each with what is wrong.
    pub faulty: Vec<(Interface, LoadError)>,
}

fn join_lines(faulty: &[(Interface, LoadError)]) -> String {
    let lines: Vec<String> = faulty
        .iter()
        .map(|(interface, error)| format!("contract.{interface}: {error}"))
        .collect();
    lines.join("\n")
}

/// All descriptions in force at one time. A request keeps those that were in force when it arrived.
#[derive(Clone, Debug, Default)]
pub struct ActiveContracts {
    /// Incremented with each change.
    pub generation: u64,
    by_interface: BTreeMap<Interface, InterfaceContract>,
}

impl ActiveContracts {
    /// The contract of an interface; `None` if checks are off.
    pub fn get(&self, interface: Interface) -> Option<&InterfaceContract> {
        self.by_interface.get(&interface)
    }

    /// Whether checks are off for all interfaces.
    pub fn is_off(&self) -> bool {
        self.by_interface.is_empty()
    }

    /// The contracts of all interfaces whose checks are on.
    pub fn all(&self) -> impl Iterator<Item = (Interface, &InterfaceContract)> {
        self.by_interface
            .iter()
            .map(|(interface, contract)| (*interface, contract))
    }

    /// The contracts in force after a reload, and the interfaces whose description changed.
    ///
    /// If one of the loaded contracts is faulty, none is put into force. An interface whose description is unchanged
    /// keeps the very same one, so that its drift counts stay valid.
    pub fn replaced_by(
        &self,
        loaded: Vec<(Interface, Result<InterfaceContract, LoadError>)>,
    ) -> Result<(ActiveContracts, BTreeSet<Interface>), FaultyContracts> {
        let mut by_interface = BTreeMap::new();
        for (interface, contract) in all_or_faulty(loaded)? {
            if contract.mode != Mode::Off {
                by_interface.insert(interface, self.with_known_description(interface, contract));
            }
        }
        let next = ActiveContracts {
            generation: self.generation + 1,
            by_interface,
        };
        let changed = self.changed_interfaces(&next);
        Ok((next, changed))
    }

    /// The contract with the description in force, if that is the same text.
    fn with_known_description(
        &self,
        interface: Interface,
        mut contract: InterfaceContract,
    ) -> InterfaceContract {
        if let Some(known) = self.get(interface) {
            if known.description.fingerprint == contract.description.fingerprint {
                contract.description = known.description.clone();
            }
        }
        contract
    }

    fn changed_interfaces(&self, next: &ActiveContracts) -> BTreeSet<Interface> {
        let is_same = |interface: Interface| match (self.get(interface), next.get(interface)) {
            (Some(old), Some(new)) => Arc::ptr_eq(&old.description, &new.description),
            (old, new) => old.is_none() && new.is_none(),
        };
        self.by_interface
            .keys()
            .chain(next.by_interface.keys())
            .copied()
            .filter(|interface| !is_same(*interface))
            .collect()
    }
}

fn all_or_faulty(
    loaded: Vec<(Interface, Result<InterfaceContract, LoadError>)>,
) -> Result<Vec<(Interface, InterfaceContract)>, FaultyContracts> {
    let mut contracts = Vec::new();
    let mut faulty = Vec::new();
    for (interface, contract) in loaded {
        match contract {
            Ok(contract) => contracts.push((interface, contract)),
            Err(error) => faulty.push((interface, error)),
        }
    }
    if faulty.is_empty() {
        Ok(contracts)
    } else {
        Err(FaultyContracts { faulty })
    }
}

#[cfg(test)]
mod tests;
