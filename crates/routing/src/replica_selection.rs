//! Replica selection: rotation, weights, ranks and trial parts.

use crate::router::RequestRouter;
use crate::server::Server;
use crate::tuning::OUTLIER_RATIO;
use cairnroad_flow_control::{weighted_round_robin, RotationEntry};
use cairnroad_types::{Class, Idempotency, RequestId, Seconds, ServerId, ServerState, Time};

/// Shortest gap between the trial parts of an outlier whose slowness ratio is at the threshold, as a share of
/// the shortest latency objective. The gap grows with the slowness ratio.
const TRIAL_GAP_SHARE: f64 = 0.4;
/// Upper limit of trial parts, as a share of the parts that arrived within the long recent window, sent or
/// not. It is low enough that the hedge budget allows a hedged request for each, and that many coordinators
/// with little traffic together don't overload an outlier.
const TRIAL_BUDGET_SHARE: f64 = 0.04;

/// Rank of a replica for a part. Lower ranks are preferred.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// The replica takes its turn; an outlier gets a trial part.
    InRotation,
    /// The replica has an overdue attempt in flight.
    Overdue,
    /// The replica is an outlier.
    Outlier,
    /// The replica has weight 0 in the endpoint list.
    ZeroWeight,
    /// The replica was sent this part before.
    AlreadyTried,
}

/// A replica that may be sent the part.
///
/// Ordered by preference: by rank, then by the fewest attempts in flight (0 for replicas in rotation), then
/// by the longest time since the last turn.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    rank: Rank,
    in_flight: usize,
    last_turn: i64,
    server: ServerId,
}

/// The replica selected for a part, and its rank.
pub(crate) struct Selection {
    pub(crate) rank: Rank,
    pub(crate) server: ServerId,
}

impl RequestRouter {
    /// Returns the servers that may be sent a part of this shard now.
    ///
    /// They are in `cells_per_shard` consecutive cells, which start at the shard's own cell and wrap around
    /// after the last one. Only ready servers are returned, so none that is draining or removed, and servers
    /// in slow start only if they have capacity.
    pub(crate) fn candidates(&mut self, now: Time, shard: u32) -> Vec<ServerId> {
        let Some(first_cell) = shard.checked_rem(self.settings.cells) else {
            return Vec::new();
        };
        let cells_per_shard = self.settings.cells_per_shard;
        let end = first_cell.saturating_add(cells_per_shard);
        let cells_before_wrap = self.settings.cells - first_cell;
        let wrapped_cells = cells_per_shard
            .saturating_sub(cells_before_wrap)
            .min(first_cell);
        let cells = self
            .servers_by_cell
            .range(first_cell..end)
            .chain(self.servers_by_cell.range(..wrapped_cells));
        let mut ids: Vec<ServerId> = cells.flat_map(|(_, ids)| ids.iter().copied()).collect();
        ids.retain(|&id| {
            self.servers[&id].state == ServerState::Ready && self.has_slow_start_capacity(now, id)
        });
        ids
    }

    /// Selects the replica that a part is sent to. Returns `None` if the part may be sent to no server.
    ///
    /// Among the replicas in rotation, the one that waited longest for a turn is selected; if their weights
    /// differ, the one that is owed the most turns. Without a replica in rotation, the best rank decides,
    /// then the fewest attempts in flight. Replicas that this part was sent to before come last.
    pub(crate) fn select_replica(&mut self, now: Time, id: RequestId) -> Option<Selection> {
        let part = self.parts.get_mut(&id)?;
        let shard = part.shard;
        let class = part.class;
        let query = part.query;
        let resend_to = part.resend_to.take();
        let trial_allowed = self.may_send_trial(now, class);
        let mut servers = self.candidates(now, shard);
        // A query doesn't mix endpoint lists: servers of a later generation than its own are excluded.
        let generation = self
            .queries
            .get(&query)
            .map_or(0, |query| query.list_generation);
        servers.retain(|server| self.servers[server].list_generation <= generation);
        if let Some(server) = resend_to.filter(|server| servers.contains(server)) {
            return Some(Selection {
                rank: Rank::InRotation,
                server,
            });
        }
        let candidates: Vec<Candidate> = servers
            .into_iter()
            .map(|server| self.candidate(now, id, server, trial_allowed))
            .collect();
        let &Candidate { rank, server, .. } = candidates.iter().min()?;
        if rank != Rank::InRotation {
            return Some(Selection { rank, server });
        }
        let server = self.select_by_weight(&candidates).unwrap_or(server);
        if self.is_outlier(now, &self.servers[&server]) {
            self.trial_sends.push(now, self.long_recent_window());
        }
        Some(Selection { rank, server })
    }

    /// Ranks a server for a part.
    fn candidate(
        &self,
        now: Time,
        part: RequestId,
        server: ServerId,
        trial_allowed: bool,
    ) -> Candidate {
        let mut candidate = self.rank(now, server, trial_allowed);
        if self.parts[&part].tried_servers.contains(&server) {
            candidate.rank = Rank::AlreadyTried;
        } else if self.servers[&server].weight <= 0.0 {
            candidate.rank = Rank::ZeroWeight;
        }
        candidate
    }

    /// Ranks a server by its health alone.
    fn rank(&self, now: Time, id: ServerId, trial_allowed: bool) -> Candidate {
        let server = &self.servers[&id];
        let rank = if self.is_outlier(now, server) {
            if trial_allowed && self.is_due_for_trial(now, server) {
                Rank::InRotation
            } else {
                Rank::Outlier
            }
        } else if server.is_overdue(now) {
            Rank::Overdue
        } else {
            Rank::InRotation
        };
        let in_flight = match rank {
            Rank::InRotation => 0,
            _ => server.in_flight.len(),
        };
        Candidate {
            rank,
            in_flight,
            last_turn: server.last_turn,
            server: id,
        }
    }

    /// Returns whether a server would get a part in rotation, or a trial part if it is an outlier.
    pub(crate) fn is_in_rotation(&self, now: Time, id: ServerId, trial_allowed: bool) -> bool {
        self.rank(now, id, trial_allowed).rank == Rank::InRotation
    }

    /// Returns whether an outlier may get a trial part: no attempt is in flight to it, it failed no recent
    /// health check, and its last part was sent long enough ago.
    fn is_due_for_trial(&self, now: Time, server: &Server) -> bool {
        let gap = self.trial_gap() * server.slowness_ratio / OUTLIER_RATIO;
        now - server.last_sent > gap
            && server.in_flight.is_empty()
            && !server.failed_recent_health_check(now, self.recent_window)
    }

    /// Selects among the candidates in rotation by their weights. Returns `None` if all weights are equal.
    fn select_by_weight(&mut self, candidates: &[Candidate]) -> Option<ServerId> {
        let in_rotation: Vec<ServerId> = candidates
            .iter()
            .filter(|candidate| candidate.rank == Rank::InRotation)
            .map(|candidate| candidate.server)
            .collect();
        let mut entries: Vec<RotationEntry> = in_rotation
            .iter()
            .map(|&id| self.rotation_entry(id))
            .collect();
        let selected = weighted_round_robin(&mut entries)?;
        for (id, entry) in in_rotation.iter().zip(entries) {
            self.servers.get_mut(id)?.round_robin_credit = entry.credit;
        }
        in_rotation.get(selected).copied()
    }

    fn rotation_entry(&self, id: ServerId) -> RotationEntry {
        let server = &self.servers[&id];
        RotationEntry {
            weight: server.weight,
            credit: server.round_robin_credit,
            last_turn: server.last_turn,
        }
    }

    /// Returns whether the budget allows a trial part of this class.
    ///
    /// If any class is idempotent, only parts of such classes are used for trials. The budget is counted over
    /// the long recent window, because a coordinator with little traffic sends too few parts for a trial
    /// within the short one. Within a trial gap at most one trial part is sent, so that no query has several.
    pub(crate) fn may_send_trial(&self, now: Time, class: usize) -> bool {
        let is_idempotent = |class: &Class| class.idempotency == Idempotency::Idempotent;
        let classes = &self.settings.classes;
        let is_class_allowed = is_idempotent(&classes[class]) || !classes.iter().any(is_idempotent);
        let window = self.long_recent_window();
        is_class_allowed
            && self.trial_sends.count(now, self.trial_gap()) < 1.0
            && self.trial_sends.count(now, window) + 1.0
                <= TRIAL_BUDGET_SHARE * self.part_arrivals.count(now, window)
    }

    fn trial_gap(&self) -> Seconds {
        self.shortest_objective * TRIAL_GAP_SHARE
    }

    /// Returns the servers that are ready according to the endpoint list.
    pub(crate) fn ready_servers(&self) -> impl Iterator<Item = (ServerId, &Server)> {
        self.servers
            .iter()
            .filter(|(_, server)| server.state == ServerState::Ready)
            .map(|(&id, server)| (id, server))
    }
}
