//! Which replica gets a part: turns, weights, standings, trials.

use super::*;

/// A doubted server gets one trial part in this share of the shortest aim, times its pace over `DOUBT`.
const TRIAL_GAP: f64 = 0.4;
/// Trial parts stay under this share of the parts lately asked of this node, sent or not: a rescue for each
/// is within the tenth of copies, and many nodes with little traffic don't wear a bad server down or out.
const TRIAL_SHARE: f64 = 0.04;

impl RequestRouter {
    /// Servers that may be sent a part of this shard now: those of the cells from its own on, as far as the
    /// reach goes, around the ring.
    pub(super) fn holders(&mut self, now: Time, shard: u32) -> Vec<ServerId> {
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
        ids.retain(|&id| self.servers[&id].state == ServerState::Ready && self.cold_room(now, id));
        ids
    }

    /// The replica whose turn it is, and its standing: of those that hold the part's shard and are not
    /// overdue, the one that waited longest. Where all are overdue or doubted, the one with the fewest parts
    /// out, and last of all one that this part has been to.
    pub(super) fn choose(&mut self, now: Time, id: RequestId) -> Option<(u8, ServerId)> {
        let part = self.parts.get_mut(&id)?;
        let (shard, class, back) = (part.shard, part.class, part.back.take());
        let may_try = self.may_try(now, class);
        let mut holders = self.holders(now, shard);
        // Never a mix of lists: what came with a later one is not for this query.
        let generation = self
            .queries
            .get(&self.parts[&id].query)
            .map_or(0, |query| query.generation);
        holders.retain(|server| self.servers[server].generation <= generation);
        if let Some(server) = back.filter(|server| holders.contains(server)) {
            return Some((0, server));
        }
        let tried = &self.parts[&id].tried;
        let keys = holders
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
            server = self.weighed(&level).unwrap_or(server);
        }
        if rank == 0 && self.doubted(now, &self.servers[&server]) {
            self.trials.push(now, self.recent * CALM_LATELY);
        }
        Some((rank, server))
    }

    /// Of replicas whose turn it may be, the one that is owed most by their weights. `None`: all weigh the
    /// same, the turns decide.
    fn weighed(&mut self, level: &[ServerId]) -> Option<ServerId> {
        let turn = |id| {
            let server = &self.servers[id];
            Turn {
                weight: server.weight,
                credit: server.credit,
                last_turn: server.turn,
            }
        };
        let mut turns: Vec<Turn> = level.iter().map(turn).collect();
        let best = weighted_round_robin(&mut turns)?;
        for (id, turn) in level.iter().zip(turns) {
            self.servers.get_mut(id)?.credit = turn.credit;
        }
        level.get(best).copied()
    }

    /// Whether there is room for a trial part of this class.
    pub(super) fn may_try(&mut self, now: Time, class: usize) -> bool {
        let span = self.recent * CALM_LATELY; // in less, a node asked little sends too few parts for one
        let safe = |class: &Class| class.idempotency == Idempotency::Idempotent;
        (safe(&self.settings.classes[class]) || !self.settings.classes.iter().any(safe))
            && self.trials.count(now, self.shortest * TRIAL_GAP) < 1.0 // saved up, but not one query's burden
            && self.trials.count(now, span) + 1.0 <= TRIAL_SHARE * self.asked.count(now, span)
    }

    /// 0: takes its turn. 1: overdue. 2: doubted. (`choose` adds 3: weightless, 4: tried.) And the parts out.
    pub(super) fn standing(&self, now: Time, id: ServerId, may_try: bool) -> (u8, usize, i64) {
        let server = &self.servers[&id];
        if self.doubted(now, server) {
            let hinted = server.hint > DOUBT && now - server.probed < self.recent;
            let rested = now - server.last_sent > self.shortest * TRIAL_GAP * server.pace / DOUBT;
            if may_try && rested && server.out.is_empty() && !hinted {
                return (0, 0, server.turn);
            }
            return (2, server.out.len(), server.turn);
        }
        let overdue = server
            .out
            .first()
            .is_some_and(|&(overdue, ..)| overdue <= now);
        (
            u8::from(overdue),
            if overdue { server.out.len() } else { 0 },
            server.turn,
        )
    }

    /// The servers that the list calls ready.
    pub(super) fn ready(&self) -> impl Iterator<Item = (ServerId, &Server)> {
        self.servers
            .iter()
            .filter(|(_, s)| s.state == ServerState::Ready)
            .map(|(&id, s)| (id, s))
    }
}
