//! What the list of servers says.

use crate::router::*;

impl RequestRouter {
    /// Forgets the servers that are gone and have nothing out: on a long day they are replaced without end.
    pub(crate) fn remove_unlisted_servers(&mut self) {
        let cells = &mut self.cells;
        self.servers.retain(|id, server| {
            let known = server.state != ServerState::Removed || !server.in_flight.is_empty();
            if !known {
                cells.entry(server.cell).or_default().remove(id);
            }
            known
        });
    }

    /// A server missing from a whole list is gone; an empty list is no news.
    pub(crate) fn on_endpoints(&mut self, now: Time, news: &EndpointUpdate) {
        let rows = match news {
            EndpointUpdate::Failed => {
                let chance = self.random.next_unit();
                let wait = self
                    .poll_backoff
                    .on_failure(self.settings.max_poll_interval.unwrap_or(0.0), chance);
                self.timers.insert(now + wait, Timer::PollEndpoints);
                return;
            }
            EndpointUpdate::Snapshot(rows)
            | EndpointUpdate::Cached(rows)
            | EndpointUpdate::Delta(rows) => rows,
        };
        if !matches!(news, EndpointUpdate::Cached(_)) {
            self.poll_backoff.on_success();
        }
        if matches!(news, EndpointUpdate::Snapshot(_)) && !rows.is_empty() {
            let listed: BTreeSet<ServerId> = rows.iter().map(|row| row.server).collect();
            for (id, server) in &mut self.servers {
                if !listed.contains(id) {
                    server.state = ServerState::Removed;
                }
            }
        }
        for row in rows {
            let (turn, earned) = (
                -((self.random.next_unit() * 1e6) as i64) - 1,
                (self.random.next_unit(), now),
            );
            let server = self.servers.entry(row.server).or_insert_with(|| Server {
                last_turn: turn,
                slowness_ratio: 1.0,
                health_check_ratio: 1.0,
                last_updated: now,
                last_sent: now,
                smoothed_latency: (0.0, now),
                ready_at: row.ready_at,
                slow_start_credit: earned,
                ..Server::default()
            });
            self.cells
                .entry(server.cell)
                .or_default()
                .remove(&row.server);
            self.cells.entry(row.cell).or_default().insert(row.server);
            if row
                .ready_at
                .is_some_and(|at| server.ready_at.is_none_or(|old| at > old))
            {
                (
                    server.slowness_ratio,
                    server.health_check_ratio,
                    server.slow_start_credit,
                ) = (1.0, 1.0, earned);
            }
            (server.state, server.zone) = (row.state, row.zone);
            server.ready_at = row.ready_at;
            if server.cell != row.cell || server.generation == 0 {
                server.generation = row.generation;
            }
            server.cell = row.cell;
            self.generation = self.generation.max(row.generation);
            server.weight = if row.weight >= 0.0 && row.weight.is_finite() {
                row.weight
            } else {
                1.0
            };
            server.size = if row.size > 0.0 && row.size.is_finite() {
                row.size
            } else {
                1.0
            };
        }
    }

    /// Asks to be told of changes, and again if nothing at all comes back.
    pub(crate) fn ask(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(must_ask) = self
            .settings
            .max_poll_interval
            .filter(|_| !self.poll_backoff.is_subscribed())
        else {
            return;
        };
        actions.push(Action::SubscribeEndpoints);
        self.timers
            .insert(now + must_ask / 2.0, Timer::PollEndpoints);
    }
}
