//! Assigns to servers the numeric ids by which the router identifies them.

use crate::messages::{EndpointEntry, EndpointListUpdate};
use cairnroad_types::{Endpoint, EndpointUpdate, ServerId, ServerState};
use std::collections::{BTreeMap, BTreeSet};

/// The ids of the listed servers, assigned in the order in which their names are first listed and never reused.
///
/// A removed server is forgotten, because servers are replaced under new names over time.
#[derive(Default)]
pub struct ServerDirectory {
    by_name: BTreeMap<String, (ServerId, EndpointEntry)>,
    next_id: u32,
}

impl ServerDirectory {
    /// Returns the entries of an update with their servers' ids. A server that returns after its removal gets a new id;
    /// the removal of an unknown server is left out.
    pub fn assign_ids(&mut self, update: &EndpointListUpdate) -> Vec<(ServerId, EndpointEntry)> {
        let entries: Vec<(ServerId, EndpointEntry)> = update
            .entries
            .iter()
            .filter_map(|entry| Some((self.record(entry)?, entry.clone())))
            .collect();
        if update.is_snapshot && !entries.is_empty() {
            self.retain_listed(&entries);
        }
        entries
    }

    /// Records an entry and returns its server's id; `None` if the entry removes an unknown server.
    fn record(&mut self, entry: &EndpointEntry) -> Option<ServerId> {
        let known_id = self.by_name.get(&entry.id).map(|(server, _)| *server);
        if entry.state == ServerState::Removed {
            self.by_name.remove(&entry.id);
            return known_id;
        }
        let server = known_id.unwrap_or_else(|| self.next_id());
        self.by_name
            .insert(entry.id.clone(), (server, entry.clone()));
        Some(server)
    }

    fn next_id(&mut self) -> ServerId {
        let server = ServerId(self.next_id);
        self.next_id += 1;
        server
    }

    /// Forgets the servers that a complete list does not name.
    fn retain_listed(&mut self, entries: &[(ServerId, EndpointEntry)]) {
        let listed: BTreeSet<ServerId> = entries.iter().map(|(server, _)| *server).collect();
        self.by_name
            .retain(|_, (server, _)| listed.contains(server));
    }

    /// Returns the id and the newest entry of the server with this name.
    pub fn get(&self, name: &str) -> Option<(ServerId, EndpointEntry)> {
        self.by_name.get(name).cloned()
    }

    /// Returns the names of these servers.
    pub fn names_of<'a>(&'a self, servers: &'a [ServerId]) -> impl Iterator<Item = &'a str> {
        self.by_name
            .iter()
            .filter(|(_, (server, _))| servers.contains(server))
            .map(|(name, _)| name.as_str())
    }

    /// Returns the number of listed servers.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }
}

/// Converts entries to an update for the router. `cached` marks a list that was stored before this process started.
pub fn endpoint_update(
    entries: &[(ServerId, EndpointEntry)],
    complete: bool,
    cached: bool,
) -> EndpointUpdate {
    let endpoints = entries
        .iter()
        .map(|(server, entry)| endpoint(*server, entry))
        .collect();
    if cached {
        EndpointUpdate::Cached(endpoints)
    } else if complete {
        EndpointUpdate::Snapshot(endpoints)
    } else {
        EndpointUpdate::Delta(endpoints)
    }
}

fn endpoint(server: ServerId, entry: &EndpointEntry) -> Endpoint {
    Endpoint {
        server,
        cell: entry.cell,
        zone: entry.zone,
        state: entry.state,
        relative_capacity: entry.size,
        weight: entry.weight,
        generation: entry.generation,
        ready_at: entry.ready_at,
    }
}
