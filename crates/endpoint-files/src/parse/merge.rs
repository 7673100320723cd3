//! Merges all files into one set: checks that ids and addresses are unique and that all files have the same generation,
//! and applies the weights of `[weights]` tables.

use super::endpoint_entry::EntryFields;
use super::fault_list::FaultList;
use crate::endpoint_set::{Endpoint, EndpointSet};
use crate::fault::{Fault, FaultCause, Location};
use crate::file_format::MAX_ENDPOINTS;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The generation that a file states, and where.
struct FileGeneration {
    generation: u64,
    location: Location,
}

/// A weight from a `[weights]` table, and where it is stated.
struct SeparateWeight {
    weight: f64,
    location: Location,
}

/// The endpoints and faults found so far in all files.
#[derive(Default)]
pub(super) struct Merge {
    pub(super) faults: FaultList,
    pub(super) allow_shrink: bool,
    generations: Vec<FileGeneration>,
    endpoints: BTreeMap<String, Endpoint>,
    /// Where each id is first used.
    id_locations: BTreeMap<String, Location>,
    /// Where each address is first used.
    address_locations: BTreeMap<SocketAddr, Location>,
    /// Where each entry that states its own weight begins, by id.
    stated_weights: BTreeMap<String, Location>,
    separate_weights: BTreeMap<String, SeparateWeight>,
}

impl Merge {
    /// Adds the generation that a file states.
    pub(super) fn add_generation(&mut self, generation: u64, location: Location) {
        self.generations.push(FileGeneration {
            generation,
            location,
        });
    }

    /// Adds a weight from a `[weights]` table.
    pub(super) fn add_separate_weight(&mut self, id: String, weight: f64, location: Location) {
        match self.separate_weights.get(&id) {
            Some(other) => {
                let first = other.location.clone();
                let cause = FaultCause::DuplicateWeight { id, first };
                self.faults.add(&location, cause);
            }
            None => {
                let separate = SeparateWeight { weight, location };
                self.separate_weights.insert(id, separate);
            }
        }
    }

    /// Adds an entry, unless it has a fault or an earlier entry has the same id or address.
    pub(super) fn add_endpoint(&mut self, location: Location, fields: EntryFields) {
        let (id, address) = match self.identity(&fields) {
            Ok(identity) => identity,
            Err(cause) => return self.faults.add(&location, cause),
        };
        self.id_locations.insert(id.clone(), location.clone());
        self.address_locations.insert(address, location.clone());
        if fields.states_weight {
            self.stated_weights.insert(id.clone(), location);
        }
        if fields.is_faulty {
            return;
        }
        let endpoint = Endpoint {
            address,
            cell: fields.cell,
            locality: fields.locality,
            kind: fields.kind,
            phase: fields.phase,
            weight: fields.weight,
            started: fields.started,
            not_before: fields.not_before,
            not_after: fields.not_after,
        };
        self.endpoints.insert(id, endpoint);
    }

    /// Returns an entry's id and address, if both are valid and not used by an earlier entry.
    fn identity(&self, fields: &EntryFields) -> Result<(String, SocketAddr), FaultCause> {
        let id = fields.id.clone().filter(|id| !id.is_empty());
        let id = id.ok_or(FaultCause::MissingId)?;
        let Some(address) = &fields.address else {
            return Err(FaultCause::MissingAddress { id });
        };
        let Ok(address) = address.parse::<SocketAddr>() else {
            let address = address.clone();
            return Err(FaultCause::InvalidAddress { id, address });
        };
        if let Some(first) = self.id_locations.get(&id) {
            let first = first.clone();
            return Err(FaultCause::DuplicateId { id, first });
        }
        if let Some(first) = self.address_locations.get(&address) {
            let first = first.clone();
            return Err(FaultCause::DuplicateAddress { address, id, first });
        }
        Ok((id, address))
    }

    /// Returns the set of all files. The error holds all faults.
    pub(super) fn finish(mut self) -> Result<EndpointSet, Vec<Fault>> {
        self.apply_separate_weights();
        let generation = self.common_generation();
        let count = self.endpoints.len();
        if count > MAX_ENDPOINTS {
            let cause = FaultCause::TooManyEndpoints { count };
            self.faults.add_to_list(cause);
        }
        if !self.faults.is_empty() {
            return Err(self.faults.into_vec());
        }
        Ok(EndpointSet {
            generation,
            allow_shrink: self.allow_shrink,
            endpoints: self.endpoints,
        })
    }

    fn apply_separate_weights(&mut self) {
        for (id, separate) in std::mem::take(&mut self.separate_weights) {
            if let Some(first) = self.stated_weights.get(&id) {
                let first = first.clone();
                let cause = FaultCause::DuplicateWeight { id, first };
                self.faults.add(&separate.location, cause);
            } else if let Some(endpoint) = self.endpoints.get_mut(&id) {
                endpoint.weight = separate.weight;
            } else if !self.id_locations.contains_key(&id) {
                let cause = FaultCause::UnknownEndpoint { id };
                self.faults.add(&separate.location, cause);
            }
        }
    }

    /// Returns the newest generation, and reports files of any other.
    fn common_generation(&mut self) -> u64 {
        let generations = self.generations.iter().map(|file| file.generation);
        let newest = generations.max().unwrap_or(0);
        for file in self.generations.iter().filter(|f| f.generation != newest) {
            let generation = file.generation;
            let cause = FaultCause::MixedGenerations { generation, newest };
            self.faults.add(&file.location, cause);
        }
        newest
    }
}
