//! Which replica gets a part: turns, weights, standings, trials.

use crate::router::*;

/// A doubted server gets one trial part in this share of the shortest aim, times its pace over `DOUBT`.
const TRIAL_GAP: f64 = 0.4;
/// Trial parts stay under this share of the parts lately asked of this node, sent or not: a rescue for each
/// is within the tenth of copies, and many nodes with little traffic don't wear a bad server down or out.
const TRIAL_SHARE: f64 = 0.04;

impl RequestRouter {
    /// Servers that may be sent a part of this shard now: those of the cells from its own on, as far as the
    /// reach goes, around the ring.
    pub(crate) fn candidates(&mut self, now: Time, shard: u32) -> Vec<ServerId> {
        let Some(first) = shard.checked_rem(self.settings.cells) else {
            return Vec::new();
        };
        let end = first.saturating_add(self.settings.cells_per_shard);
        let around = self
            .settings
            .cells_per_shard
            .saturating_sub(self.settings.cells - first)
            .min(first);
        let cells = self
            .cells
            .range(first..end)
            .chain(self.cells.range(..around));
        let mut ids: Vec<ServerId> = cells.flat_map(|(_, ids)| ids.iter().copied()).collect();
        ids.retain(|&id| {
            self.servers[&id].state == ServerState::Ready && self.slow_start_capacity(now, id)
        });
        ids
    }

    /// The replica whose turn it is, and its standing: of those that hold the part's shard and are not
    /// overdue, the one that waited longest. Where all are overdue or doubted, the one with the fewest parts
    /// out, and last of all one that this part has been to.
    pub(crate) fn select_replica(&mut self, now: Time, id: RequestId) -> Option<(u8, ServerId)> {
        let part = self.parts.get_mut(&id)?;
        let (shard, class, back) = (part.shard, part.class, part.retry_on.take());
        let may_try = self.may_try(now, class);
        let mut candidates = self.candidates(now, shard);
        // Never a mix of lists: what came with a later one is not for this query.
        let generation = self
            .queries
            .get(&self.parts[&id].query)
            .map_or(0, |query| query.generation);
        candidates.retain(|server| self.servers[server].generation <= generation);
        if let Some(server) = back.filter(|server| candidates.contains(server)) {
            return Some((0, server));
        }
        let tried = &self.parts[&id].tried;
        let keys = candidates
            .into_iter()
            .map(|server| match self.standing(now, server, may_try) {
                (_, out, turn) if tried.contains(&server) => (4, out, turn, server),
                (_, out, turn) if self.servers[&server].weight <= 0.0 => (3, out, turn, server),
                (rank, out, turn) => (rank, out, turn, server),
            });
        let keys: Vec<_> = keys.collect();
        let &(rank, _, _, mut server) = keys.iter().min()?;
        if rank == 0 {
            let level: Vec<ServerId> = keys
                .iter()
                .filter(|key| key.0 == 0)
                .map(|key| key.3)
                .collect();
            server = self.select_by_weight(&level).unwrap_or(server);
        }
        if rank == 0 && self.is_outlier(now, &self.servers[&server]) {
            self.trials
                .push(now, self.recent_span * SPARSE_TRAFFIC_FACTOR);
        }
        Some((rank, server))
    }

    /// Of replicas whose turn it may be, the one that is owed most by their weights. `None`: all weigh the
    /// same, the turns decide.
    fn select_by_weight(&mut self, level: &[ServerId]) -> Option<ServerId> {
        let turn = |id| {
            let server = &self.servers[id];
            Turn {
                weight: server.weight,
                credit: server.round_robin_credit,
                last_turn: server.last_turn,
            }
        };
        let mut turns: Vec<Turn> = level.iter().map(turn).collect();
        let best = weighted_round_robin(&mut turns)?;
        for (id, turn) in level.iter().zip(turns) {
            self.servers.get_mut(id)?.round_robin_credit = turn.credit;
        }
        level.get(best).copied()
    }

    /// Whether there is room for a trial part of this class.
    pub(crate) fn may_try(&mut self, now: Time, class: usize) -> bool {
        let span = self.recent_span * SPARSE_TRAFFIC_FACTOR; // in less, a node asked little sends too few parts for one
        let safe = |class: &Class| class.idempotency == Idempotency::Idempotent;
        (safe(&self.settings.classes[class]) || !self.settings.classes.iter().any(safe))
            && self.trials.count(now, self.shortest_objective * TRIAL_GAP) < 1.0 // saved up, but not one query's burden
            && self.trials.count(now, span) + 1.0 <= TRIAL_SHARE * self.part_arrivals.count(now, span)
    }

    /// 0: takes its turn. 1: overdue. 2: doubted. (`choose` adds 3: weightless, 4: tried.) And the parts out.
    pub(crate) fn standing(&self, now: Time, id: ServerId, may_try: bool) -> (u8, usize, i64) {
        let server = &self.servers[&id];
        if self.is_outlier(now, server) {
            let hinted = server.health_check_ratio > OUTLIER_RATIO
                && now - server.last_health_check < self.recent_span;
            let rested = now - server.last_sent
                > self.shortest_objective * TRIAL_GAP * server.slowness_ratio / OUTLIER_RATIO;
            if may_try && rested && server.in_flight.is_empty() && !hinted {
                return (0, 0, server.last_turn);
            }
            return (2, server.in_flight.len(), server.last_turn);
        }
        let overdue = server
            .in_flight
            .first()
            .is_some_and(|&(overdue, ..)| overdue <= now);
        (
            u8::from(overdue),
            if overdue { server.in_flight.len() } else { 0 },
            server.last_turn,
        )
    }

    /// The servers that the list calls ready.
    pub(crate) fn ready(&self) -> impl Iterator<Item = (ServerId, &Server)> {
        self.servers
            .iter()
            .filter(|(_, s)| s.state == ServerState::Ready)
            .map(|(&id, s)| (id, s))
    }
}
