//! Updates of the endpoint list.
//!
//! A server whose state isn't [`ServerState::Ready`] gets no new part, because `candidates` in
//! `replica_selection` skips it. Its attempts in flight go on.

use crate::router::RequestRouter;
use crate::server::{Server, SlowStartCredit};
use crate::timer::Timer;
use cairnroad_types::{Action, Endpoint, EndpointUpdate, ServerId, ServerState, Time};
use std::collections::BTreeSet;

/// Range over which the first turns of new servers are spread at random.
const FIRST_TURN_RANGE: f64 = 1e6;
/// Weight and relative capacity of a server for which the list gives no valid number.
const DEFAULT_SCALE: f64 = 1.0;

impl RequestRouter {
    /// Applies an update of the endpoint list, or schedules the next poll after a failed one.
    ///
    /// A snapshot removes the servers that it doesn't list, but an empty snapshot removes none.
    pub(crate) fn on_endpoints(&mut self, now: Time, update: &EndpointUpdate) {
        match update {
            EndpointUpdate::Failed => self.on_poll_failed(now),
            EndpointUpdate::Snapshot(endpoints) => {
                self.poll_backoff.on_success();
                self.mark_unlisted_as_removed(endpoints);
                self.apply_endpoints(now, endpoints);
            }
            EndpointUpdate::Delta(endpoints) => {
                self.poll_backoff.on_success();
                self.apply_endpoints(now, endpoints);
            }
            EndpointUpdate::Cached(endpoints) => self.apply_endpoints(now, endpoints),
        }
    }

    /// Schedules the next poll after a failed one.
    fn on_poll_failed(&mut self, now: Time) {
        let random = self.random.next_f64();
        let max_poll_interval = self.settings.max_poll_interval.unwrap_or(0.0);
        let delay = self.poll_backoff.on_failure(max_poll_interval, random);
        self.timers.insert(now + delay, Timer::PollEndpoints);
    }

    fn mark_unlisted_as_removed(&mut self, endpoints: &[Endpoint]) {
        if endpoints.is_empty() {
            return;
        }
        let listed: BTreeSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.server).collect();
        for (id, server) in &mut self.servers {
            if !listed.contains(id) {
                server.state = ServerState::Removed;
            }
        }
    }

    fn apply_endpoints(&mut self, now: Time, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            self.apply_endpoint(now, endpoint);
        }
    }

    /// Adds a server, or updates the properties of a known one.
    fn apply_endpoint(&mut self, now: Time, endpoint: &Endpoint) {
        let first_turn = -((self.random.next_f64() * FIRST_TURN_RANGE) as i64) - 1;
        // The initial credit is random, so that coordinators with little traffic don't send their first parts
        // at the same time.
        let slow_start_credit = SlowStartCredit {
            parts: self.random.next_f64(),
            updated_at: now,
        };
        let id = endpoint.server;
        let server = self
            .servers
            .entry(id)
            .or_insert_with(|| Server::new(now, endpoint, first_turn, slow_start_credit));
        if let Some(cell) = self.servers_by_cell.get_mut(&server.cell) {
            cell.remove(&id);
        }
        self.servers_by_cell
            .entry(endpoint.cell)
            .or_default()
            .insert(id);
        if has_restarted(server, endpoint) {
            server.slowness_ratio = 1.0;
            server.health_check_ratio = 1.0;
            server.slow_start_credit = slow_start_credit;
        }
        if server.cell != endpoint.cell || server.list_generation == 0 {
            server.list_generation = endpoint.generation;
        }
        server.cell = endpoint.cell;
        server.zone = endpoint.zone;
        server.state = endpoint.state;
        server.ready_at = endpoint.ready_at;
        server.weight = scale_or_default(endpoint.weight, endpoint.weight >= 0.0);
        server.relative_capacity =
            scale_or_default(endpoint.relative_capacity, endpoint.relative_capacity > 0.0);
        self.list_generation = self.list_generation.max(endpoint.generation);
    }

    /// Drops removed servers without attempts in flight. Otherwise memory would grow, since servers are
    /// replaced all the time.
    pub(crate) fn remove_unlisted_servers(&mut self) {
        let servers_by_cell = &mut self.servers_by_cell;
        self.servers.retain(|id, server| {
            let keep = server.state != ServerState::Removed || !server.in_flight.is_empty();
            if !keep {
                if let Some(cell) = servers_by_cell.get_mut(&server.cell) {
                    cell.remove(id);
                }
            }
            keep
        });
    }

    /// Subscribes to the endpoint list, and does so again if no list arrives within half the allowed poll
    /// interval.
    pub(crate) fn poll_endpoints(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.poll_backoff.is_subscribed() {
            return;
        }
        let Some(max_poll_interval) = self.settings.max_poll_interval else {
            return;
        };
        actions.push(Action::SubscribeEndpoints);
        self.timers
            .insert(now + max_poll_interval / 2.0, Timer::PollEndpoints);
    }
}

/// Returns whether the list shows a later start of a known server.
fn has_restarted(server: &Server, endpoint: &Endpoint) -> bool {
    let is_later = |at: Time| server.ready_at.is_none_or(|known| at > known);
    endpoint.ready_at.is_some_and(is_later)
}

fn scale_or_default(value: f64, in_range: bool) -> f64 {
    if in_range && value.is_finite() {
        value
    } else {
        DEFAULT_SCALE
    }
}
