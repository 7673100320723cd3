//! Decides how violations are handled: which messages are checked, which requests are rejected, which responses count
//! as failed, and which descriptions are in force. This module does no I/O and reads no clock.

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
    /// Traffic is not checked, which costs nothing.
    #[default]
    Off,
    /// Traffic is checked in the background; violations are reported and have no other effect.
    Observe,
    /// Each message is checked before it is used; a message with a violation is not used.
    Enforce,
}

/// Selects an evenly spaced share of the messages; a share of 0.25 selects every fourth message.
#[derive(Clone, Debug)]
pub struct Sampler {
    share: f64,
    credit: f64,
}

/// The rounding error by which a sum of shares such as 0.1 may fall short of 1.
const ROUNDING_TOLERANCE: f64 = 1e-9;

impl Sampler {
    /// Creates a sampler for a share from 0 to 1. The first message is selected unless the share is 0, so that even a
    /// tiny share has a result.
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

    /// Returns whether the next message is selected.
    pub fn sample(&mut self) -> bool {
        self.credit += self.share;
        let is_selected = self.credit >= 1.0 - ROUNDING_TOLERANCE;
        if is_selected {
            self.credit -= 1.0;
        }
        is_selected
    }
}

/// Bounds the messages that wait to be checked. A message beyond the bound is counted and not checked; the sender never
/// waits for capacity.
#[derive(Clone, Debug)]
pub struct BacklogLimit {
    messages: usize,
    bytes: usize,
    max_messages: usize,
    max_bytes: usize,
    /// The number of messages that were not checked because the bound was reached.
    pub rejected: u64,
}

impl BacklogLimit {
    /// Creates a limit of `max_messages` messages with `max_bytes` bytes in total.
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

/// The decision on a client's request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestDecision {
    /// The request is served.
    Serve,
    /// The request is answered with status 400 and this reason, and no attempt is made.
    Reject(Rejection),
}

/// The reason for which a request is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}: wanted {}, found {}{}", first.place, first.expected, first.found, count_more(*more))]
pub struct Rejection {
    /// The first violation.
    pub first: Violation,
    /// The number of further violations.
    pub more: usize,
}

fn count_more(more: usize) -> String {
    match more {
        0 => String::new(),
        more => format!("; {more} more"),
    }
}

/// Decides whether a request is served. A request whose path or method is not described is left to the front, which has
/// its own responses for that case: a description may cover only a part of an interface, such as all but its health
/// page.
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

/// Returns whether a server's response may be used. Under `enforce`, a response with a violation is a failed attempt
/// that may have been executed: a server that violates its description is not trusted either when it reports that it
/// did not start the request.
pub fn is_response_usable(mode: Mode, violations: &[Violation]) -> bool {
    mode != Mode::Enforce || violations.is_empty()
}

/// The description that an interface's traffic is checked against, with the settings of the check.
#[derive(Clone, Debug)]
pub struct InterfaceContract {
    /// The way in which the traffic is checked.
    pub mode: Mode,
    /// The share of messages that is checked under `observe`, from 0 to 1.
    pub share: f64,
    /// The description.
    pub description: Arc<Description>,
}

/// The error of an interface whose description cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The description is faulty.
    #[error("{0}")]
    Faulty(Faults),
    /// The description has another format than the interface needs.
    #[error("{path}: expected an {expected:?} description for this interface, found {found:?}")]
    WrongFormat {
        /// The file of the description.
        path: String,
        /// The format that the interface requires.
        expected: DescriptionFormat,
        /// The format of the description that was read.
        found: DescriptionFormat,
    },
}

/// Descriptions that cannot be used. The descriptions that were loaded with them are not put into force either.
#[derive(Debug, thiserror::Error)]
#[error("{}", join_lines(faulty))]
pub struct FaultyContracts {
    /// The interfaces with faulty descriptions, each with its error.
    pub faulty: Vec<(Interface, LoadError)>,
}

fn join_lines(faulty: &[(Interface, LoadError)]) -> String {
    let lines: Vec<String> = faulty
        .iter()
        .map(|(interface, error)| format!("contract.{interface}: {error}"))
        .collect();
    lines.join("\n")
}

/// All descriptions in force at one time. A request uses the descriptions that were in force when it arrived.
#[derive(Clone, Debug, Default)]
pub struct ActiveContracts {
    /// The number of changes so far; incremented with each reload that takes effect.
    pub generation: u64,
    by_interface: BTreeMap<Interface, InterfaceContract>,
}

impl ActiveContracts {
    /// Returns the contract of an interface; `None` if its checks are off.
    pub fn get(&self, interface: Interface) -> Option<&InterfaceContract> {
        self.by_interface.get(&interface)
    }

    /// Returns whether checks are off for all interfaces.
    pub fn is_off(&self) -> bool {
        self.by_interface.is_empty()
    }

    /// Returns the contracts of all interfaces whose checks are on.
    pub fn all(&self) -> impl Iterator<Item = (Interface, &InterfaceContract)> {
        self.by_interface
            .iter()
            .map(|(interface, contract)| (*interface, contract))
    }

    /// Returns the contracts in force after a reload, and the interfaces whose description changed.
    ///
    /// If one of the loaded contracts is faulty, none is put into force. An interface whose description is unchanged
    /// keeps the previous `Arc`, so that its drift counts stay valid.
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

    /// Replaces the contract's description by the one in force if both have the same fingerprint.
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
