//! Checks traffic against the contracts (interface descriptions) in force.
//!
//! `cairnroad_contract` makes the decisions; this module passes messages to it. Under `observe` a message is handed to
//! a separate thread ([`background_check`]) through a bounded backlog, and the sender never waits for capacity. Under
//! `enforce` a message is checked in place, before it is used.

mod background_check;
mod client_traffic;
mod drift_log;
mod loading;
mod pages;
mod server_traffic;

pub use client_traffic::SampledRequest;
pub use loading::{read, AdoptError, LoadedContract};
pub use pages::PublishedDescriptions;
pub use server_traffic::ObservedMessage;

use crate::clock::Clock;
use crate::messages::{ContractsInForce, EndpointEntry};
use background_check::{Backlog, SampledMessage};
use cairnroad_contract::conformance::Violation;
use cairnroad_contract::drift::{DriftTracker, Interface, KnownServer, Observation};
use cairnroad_contract::enforcement::{ActiveContracts, Sampler};
use cairnroad_contract::schema::Direction;
use cairnroad_types::{Seconds, ServerState, Time};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The operation that is recorded for a message that no operation describes.
const UNKNOWN_OPERATION: &str = "(not described)";

/// The header fields of an HTTP message: names and values in their order.
type HttpFields = Vec<(String, String)>;

/// Parses the first line of a message into an object of header fields.
pub type HeaderParser = fn(&str) -> Value;

/// The contracts in force, the checks of traffic against them, and the violations found.
pub struct Contracts {
    clock: Clock,
    in_force: RefCell<ContractsInForce>,
    samplers: RefCell<BTreeMap<Interface, Sampler>>,
    drift: Arc<Mutex<DriftTracker>>,
    backlog: Arc<Mutex<Backlog>>,
    background_check_started: Cell<bool>,
    /// The servers known from discovery, with the time at which each became ready if that is known.
    server_ready_times: RefCell<BTreeMap<Arc<str>, Option<Seconds>>>,
    client_party: Arc<str>,
    coordinator_party: Arc<str>,
    unknown_operation: Arc<str>,
    published: RefCell<PublishedDescriptions>,
}

impl Contracts {
    /// Creates the checks without a contract in force.
    pub fn new(clock: Clock, published: PublishedDescriptions) -> Contracts {
        Contracts {
            clock,
            in_force: RefCell::default(),
            samplers: RefCell::default(),
            drift: Arc::default(),
            backlog: Arc::new(Mutex::new(Backlog::new())),
            background_check_started: Cell::new(false),
            server_ready_times: RefCell::default(),
            client_party: "clients".into(),
            coordinator_party: "coordinator".into(),
            unknown_operation: UNKNOWN_OPERATION.into(),
            published: RefCell::new(published),
        }
    }

    /// Puts the loaded contracts into force, all or none.
    ///
    /// # Errors
    /// A description is faulty, or the thread of the background check cannot be started. The previous contracts stay in
    /// force.
    pub fn adopt(&self, loaded: Vec<LoadedContract>) -> Result<(), AdoptError> {
        let previous = self.in_force.borrow().clone().unwrap_or_default();
        let (next, changed) = previous.replaced_by(loaded)?;
        self.forget_drift(&changed);
        self.reset_samplers(&next);
        log_contracts(&next);
        if !next.is_off() {
            self.start_background_check()?;
        }
        // `None` without a contract, so that requests carry no contracts and skip all checks.
        let in_force = (!next.is_off()).then(|| Arc::new(next));
        self.in_force.replace(in_force);
        self.update_known_servers();
        Ok(())
    }

    /// Removes the violations of interfaces whose contract has changed.
    fn forget_drift(&self, changed: &BTreeSet<Interface>) {
        let mut drift = lock(&self.drift);
        for interface in changed {
            drift.remove(*interface);
        }
    }

    fn reset_samplers(&self, contracts: &ActiveContracts) {
        let samplers = contracts
            .all()
            .map(|(interface, contract)| (interface, Sampler::new(contract.share)))
            .collect();
        self.samplers.replace(samplers);
    }

    /// Starts the thread of the background check, unless the thread is already running.
    fn start_background_check(&self) -> Result<(), AdoptError> {
        if self.background_check_started.get() {
            return Ok(());
        }
        background_check::spawn(self.backlog.clone(), self.drift.clone())
            .map_err(AdoptError::Thread)?;
        self.background_check_started.set(true);
        Ok(())
    }

    /// Returns the contracts in force for a request that arrives now; `None` if there are none.
    pub fn current(&self) -> ContractsInForce {
        self.in_force.borrow().clone()
    }

    /// Applies an update of the endpoint list, so that a violation can be related to the known servers and the times at
    /// which they became ready.
    ///
    /// `complete` states that `endpoints` is the complete list. An empty list removes nothing.
    pub fn on_endpoint_update(&self, endpoints: &[EndpointEntry], complete: bool) {
        let mut servers = self.server_ready_times.borrow_mut();
        if complete && !endpoints.is_empty() {
            let listed: BTreeSet<&str> = endpoints.iter().map(|entry| entry.id.as_str()).collect();
            servers.retain(|id, _| listed.contains(id.as_ref()));
        }
        for entry in endpoints {
            let id = entry.id.as_str();
            if entry.state == ServerState::Removed {
                servers.remove(id);
            } else {
                servers.insert(id.into(), entry.ready_at.map(seconds));
            }
        }
        drop(servers);
        if self.in_force.borrow().is_some() {
            self.update_known_servers();
        }
    }

    /// Passes the known servers to the drift tracker.
    fn update_known_servers(&self) {
        let servers: Vec<KnownServer> = self
            .server_ready_times
            .borrow()
            .iter()
            .map(|(id, ready_at)| KnownServer {
                id: id.clone(),
                started: *ready_at,
            })
            .collect();
        lock(&self.drift).update_servers(&servers);
    }

    fn now(&self) -> Seconds {
        seconds(self.clock.now())
    }

    /// Returns whether the next message of an interface is to be checked.
    fn is_sampled(&self, interface: Interface) -> bool {
        self.samplers
            .borrow_mut()
            .get_mut(&interface)
            .is_some_and(Sampler::sample)
    }

    /// Queues a message for the background check.
    fn queue(&self, message: SampledMessage) {
        lock(&self.backlog).push(message);
    }

    /// Records the result of a check in place.
    fn record(
        &self,
        interface: Interface,
        party: &Arc<str>,
        operation: Option<&Arc<str>>,
        direction: Direction,
        violations: &[Violation],
    ) {
        let observation = Observation {
            interface,
            party,
            operation: operation.unwrap_or(&self.unknown_operation),
            direction,
            violations,
        };
        drift_log::record(&mut lock(&self.drift), self.now(), &observation);
    }
}

fn log_contracts(contracts: &ActiveContracts) {
    for (interface, contract) in contracts.all() {
        tracing::info!(
            %interface,
            mode = ?contract.mode,
            share = contract.share,
            description = &contract.description.title,
            "contract in force"
        );
    }
}

/// Converts a time on the coordinator's clock from microseconds to seconds.
fn seconds(time: Time) -> Seconds {
    time.0 as f64 / 1e6
}

/// Locks a mutex, even after a holder has panicked. Each change of the content is a single call, so a panic never
/// leaves the content partly changed.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
