//! Which replica gets a part: rotation, weights, ranks and trial parts.

use crate::router::RequestRouter;
use crate::server::Server;
use crate::tuning::OUTLIER_RATIO;
use cairnroad_flow_control::{weighted_round_robin, RotationEntry};
use cairnroad_types::{Class, Idempotency, RequestId, Seconds, ServerId, ServerState, Time};

/// Shortest gap between trial parts of an outlier at the threshold, as a share of the shortest latency
/// objective. The gap grows with the slowness ratio.
const TRIAL_GAP_SHARE: f64 = 0.4;
/// Trial parts stay under this share of the parts that arrived within the long recent span, sent or not. A
/// hedged request for each fits into the hedge budget, and many coordinators with little traffic together
/// don't overload an outlier.
const TRIAL_BUDGET_SHARE: f64 = 0.04;

/// How well a replica suits a part. Lower ranks are preferred.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// Takes its turn; for an outlier, a trial part.
    InRotation,
    /// Has an overdue attempt.
    Overdue,
    /// Is an outlier.
    Outlier,
    /// Is listed with weight 0.
    Weightless,
    /// Was sent this part before.
    AlreadyTried,
}

/// A replica that may be sent the part. Ordered by preference: the rank, then the fewest attempts in flight
/// (counted only past the first rank), then the longest wait for a turn.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    rank: Rank,
    in_flight: usize,
    last_turn: i64,
    server: ServerId,
}

/// The replica that was selected for a part, and its rank among the candidates.
pub(crate) struct Selection {
    pub(crate) rank: Rank,
    pub(crate) server: ServerId,
}

impl RequestRouter {
    /// Returns the servers that may be sent a part of this shard now: those of the cells from its own on, as
    /// many as hold each shard, around the ring. Only ready ones, which keeps draining and removed servers out,
    /// and in slow start only those with capacity.
    pub(crate) fn candidates(&mut self, now: Time, shard: u32) -> Vec<ServerId> {
        let Some(first_cell) = shard.checked_rem(self.settings.cells) else {
            return Vec::new();
        };
        let cells_per_shard = self.settings.cells_per_shard;
        let end = first_cell.saturating_add(cells_per_shard);
        let cells_to_ring_end = self.settings.cells - first_cell;
        let wrapped = cells_per_shard
            .saturating_sub(cells_to_ring_end)
            .min(first_cell);
        let cells = self
            .servers_by_cell
            .range(first_cell..end)
            .chain(self.servers_by_cell.range(..wrapped));
        let mut ids: Vec<ServerId> = cells.flat_map(|(_, ids)| ids.iter().copied()).collect();
        ids.retain(|&id| {
            self.servers[&id].state == ServerState::Ready && self.has_slow_start_capacity(now, id)
        });
        ids
    }

    /// Selects the replica that a part is sent to, `None` if no server may be sent it.
    ///
    /// Of the replicas in rotation it is the one that waited longest, or the one that is owed most by its
    /// weight. Where there are none, it is the one with the fewest attempts in flight, and last of all one that
    /// this part has been sent to.
    pub(crate) fn select_replica(&mut self, now: Time, id: RequestId) -> Option<Selection> {
        let part = self.parts.get_mut(&id)?;
        let shard = part.shard;
        let class = part.class;
        let query = part.query;
        let retry_on = part.retry_on.take();
        let trial_allowed = self.may_send_trial(now, class);
        let mut servers = self.candidates(now, shard);
        // A query never mixes lists: servers of a later generation are not for it.
        let generation = self.queries.get(&query).map_or(0, |query| query.generation);
        servers.retain(|server| self.servers[server].generation <= generation);
        if let Some(server) = retry_on.filter(|server| servers.contains(server)) {
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
            self.trials.push(now, self.long_recent_span());
        }
        Some(Selection { rank, server })
    }

    /// Rates a server for a part.
    fn candidate(
        &self,
        now: Time,
        part: RequestId,
        server: ServerId,
        trial_allowed: bool,
    ) -> Candidate {
        let mut candidate = self.rank(now, server, trial_allowed);
        if self.parts[&part].tried.contains(&server) {
            candidate.rank = Rank::AlreadyTried;
        } else if self.servers[&server].weight <= 0.0 {
            candidate.rank = Rank::Weightless;
        }
        candidate
    }

    /// Rates a server by its health alone.
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

    /// Whether a server, an outlier or not, would be sent a part in rotation.
    pub(crate) fn is_in_rotation(&self, now: Time, id: ServerId, trial_allowed: bool) -> bool {
        self.rank(now, id, trial_allowed).rank == Rank::InRotation
    }

    /// Whether an outlier may get a trial part: nothing is in flight to it, no recent health check speaks
    /// against it, and its last part was long enough ago.
    fn is_due_for_trial(&self, now: Time, server: &Server) -> bool {
        let gap = self.trial_gap() * server.slowness_ratio / OUTLIER_RATIO;
        now - server.last_sent > gap
            && server.in_flight.is_empty()
            && !server.failed_recent_health_check(now, self.recent_span)
    }

    /// Picks among the candidates in rotation by their weights; `None` if all weigh the same.
    fn select_by_weight(&mut self, candidates: &[Candidate]) -> Option<ServerId> {
        let in_rotation: Vec<ServerId> = candidates
            .iter()
            .filter(|candidate| candidate.rank == Rank::InRotation)
            .map(|candidate| candidate.server)
            .collect();
        let mut turns: Vec<RotationEntry> = in_rotation.iter().map(|&id| self.turn(id)).collect();
        let selected = weighted_round_robin(&mut turns)?;
        for (id, turn) in in_rotation.iter().zip(turns) {
            self.servers.get_mut(id)?.round_robin_credit = turn.credit;
        }
        in_rotation.get(selected).copied()
    }

    fn turn(&self, id: ServerId) -> RotationEntry {
        let server = &self.servers[&id];
        RotationEntry {
            weight: server.weight,
            credit: server.round_robin_credit,
            last_turn: server.last_turn,
        }
    }

    /// Whether the budget allows a trial part of this class.
    ///
    /// Trial parts are of idempotent queries, where there are such classes. They are saved up over the long
    /// recent span, as a coordinator with little traffic sends too few parts for one in less, but not more than
    /// one is sent at a time, so that no query bears several.
    pub(crate) fn may_send_trial(&self, now: Time, class: usize) -> bool {
        let idempotent = |class: &Class| class.idempotency == Idempotency::Idempotent;
        let classes = &self.settings.classes;
        let class_allowed = idempotent(&classes[class]) || !classes.iter().any(idempotent);
        let span = self.long_recent_span();
        class_allowed
            && self.trials.count(now, self.trial_gap()) < 1.0
            && self.trials.count(now, span) + 1.0
                <= TRIAL_BUDGET_SHARE * self.part_arrivals.count(now, span)
    }

    fn trial_gap(&self) -> Seconds {
        self.shortest_objective * TRIAL_GAP_SHARE
    }

    /// The servers that the endpoint list calls ready.
    pub(crate) fn ready_servers(&self) -> impl Iterator<Item = (ServerId, &Server)> {
        self.servers
            .iter()
            .filter(|(_, server)| server.state == ServerState::Ready)
            .map(|(&id, server)| (id, server))
    }
}
