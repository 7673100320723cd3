//! All decisions of the aggregator. Its types, events and actions are in `src/interface.rs`.
//!
//! Reading order: constants, state, the turn of events, what is noted, choosing a replica, sending and
//! hedging, ending a query, the server list.

use crate::interface::*;
use crate::pacing::{Asking, Probing};
use crate::window::Window;
use crate::zones::{Sighting, Zones};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

mod beliefs;
mod retune;

/// A part's one copy goes out after this share of its class's aim. The design's default.
const HEDGE_DELAY: f64 = 0.5;
/// Copies stay under this share of the parts lately sent by this node. The design's tenth.
const HEDGE_SHARE: f64 = 0.1;
/// "Lately" for that share, in multiples of the longest aim: several queries' lives, yet soon forgotten.
const RECENT_AIMS: f64 = 5.0;
/// "Lately" is so many times longer where most of a query is in: the fleet isn't slow as a whole. A node with
/// little traffic sends few parts in a few aims, and a lost zone is a third of one query.
const CALM_LATELY: f64 = 10.0;
/// The usual answer time before any answer was seen, as a share of the aim.
const FIRST_GUESS: f64 = 0.125;
/// Weight of one answer in its class's usual answer time: the last thirty or so count.
const USUAL_GAIN: f64 = 0.03;
/// Weight of one answer in a server's pace: the last few count.
const PACE_GAIN: f64 = 0.3;
/// Weight of one unanswered or failed part in a server's pace: surer evidence than a slow answer.
const BAD_GAIN: f64 = 0.5;
/// Pace, in usual answer times, above which a server is doubted.
const DOUBT: f64 = 3.0;
/// The worst pace that is remembered, and what an error counts for: two or so good trials restore trust.
const WORST_PACE: f64 = 8.0;
/// A doubted server gets one trial part in this share of the shortest aim, times its pace over `DOUBT`.
const TRIAL_GAP: f64 = 0.4;
/// Trial parts stay under this share of the parts lately sent by this node: a rescue for each is within the
/// tenth of copies, and many nodes with little traffic each don't wear a bad server down or out.
const TRIAL_SHARE: f64 = 0.04;
/// A reset within this share of the usual answer time may be of an idle connection gone stale. The part goes
/// back there: on a fresh connection, or to a server that its own query felled.
const AT_ONCE: f64 = 0.1;
/// With so many resets, and more than answers, a query is the suspect. (Lost answers leave others answered.)
const SUSPECT_RESETS: u32 = 2;
/// Share of a cold server's stated limit that the nodes together may use; the rest is for chance.
const COLD_MARGIN: f64 = 0.75;
/// What a cold server earned is kept for this share of the window in which its limit is counted: parts of one
/// query come together, and what is earned between two queries would be lost.
const COLD_BURST: f64 = 0.1;
/// Over how many warm-up times the usual take of a warm server is counted.
const TAKE_WARM_UPS: f64 = 0.5;
/// A query of middling worth is shed if its slowest part would likely take this share of its aim.
const SHED_AT: f64 = 0.5;
/// The bounds of that share for queries of low and high worth for their work.
const SHED_RANGE: (f64, f64) = (0.5, 0.9);
/// Shares of its aim between which a query's slowest part, going by usual times, has it refused by chance.
const SLOW_RANGE: (f64, f64) = (1.0, 2.4);
/// It fades from that over so many times "lately": a node asked little would refuse by a jam long over.
const SLOW_MEMORY: f64 = 5.0;
/// The surest of such refusals: the rest of the queries tell when it is over.
const SURE_REFUSAL: f64 = 0.9;
/// Under this share of sound servers doubt proves little, and parts are sent all the same.
const PANIC_SHARE: f64 = 0.5;
/// A query refused before its aim may come again after this share of what is left of it.
const ADVICE: f64 = 0.25;
/// Ends come this many ticks before they are due, so that a late tick still meets them.
const END_TICKS: f64 = 3.0;
/// Answers for an aim leave this share of it before: the way to the client and a busy processor take time.
const AIM_MARGIN: f64 = 0.03;
/// A copy's timer that is judged so many ticks late tells of a stall of this node, not of a slow server.
const STALL_TICKS: f64 = 10.0;
/// A zone that was dark for this share of the warm-up time may have started anew, and warms up as if it had.
const DARK_START: f64 = 0.1;
/// Slack for sums of weights, which are rounded on their way here.
const WEIGHT_SLACK: f64 = 1e-5;

#[derive(Default)]
struct Server {
    cell: u32,
    size: f64,
    /// Its share of turns, the turns that it is owed by it, and the list's generation that brought it here.
    weight: f64,
    credit: f64,
    generation: u64,
    state: ServerState,
    ready_at: Option<Time>,
    /// When its turn was last taken, as a count of turns.
    turn: i64,
    /// Attempts out, by the time after which they are overdue.
    out: BTreeSet<(Time, RequestId, u8)>,
    /// Answer times over the usual ones, smoothed. Errors and silence count as slow answers.
    pace: f64,
    judged: Time,
    /// What its last probe makes of it, as a pace; own answers and time override it.
    hint: f64,
    probed: Time,
    last_sent: Time,
    /// Answer time in seconds, smoothed, and when it was last noted. Silence counts at its length so far.
    wait: (f64, Time),
    /// Where it stands, 0 if that isn't told; and the first send since it was heard of that it kept.
    zone: u32,
    kept: Option<Time>,
    /// The latest send that it answered. Older parts still out were overtaken: they are long, not waiting.
    passed: Time,
    /// Parts earned while cold, and until when these are counted.
    earned: (f64, Time),
    /// Answers within the window for what servers take.
    answers: Window,
}

struct Flight {
    server: ServerId,
    class: usize,
    sent: Time,
    overdue: Time,
}

#[derive(Default)]
struct Part {
    query: RequestId,
    class: usize,
    shard: u32,
    weight: f64,
    answered: bool,
    first_sent: Option<Time>,
    out: Vec<u8>,
    tried: Vec<ServerId>,
    /// An attempt ended without proof that it never ran.
    may_have_run: bool,
    /// The server that reset it at once: it goes back there first.
    back: Option<ServerId>,
}

#[derive(Default)]
struct Query {
    class: usize,
    number: u64,
    asked_at: Time,
    aim_at: Time,
    end_at: Time,
    /// The list's generation under which it was admitted.
    generation: u64,
    second_step: bool,
    first_whole: bool,
    parts: Vec<RequestId>,
    /// How many of its attempts were reset, and how many answered.
    resets: u32,
    answers: u32,
    repeat: bool,
    /// Its class and, added up, its shards: a repeat has the same.
    kind: (usize, u64),
}

impl Query {
    /// More of its parts brought connections down than were answered: it may bring down what begins it.
    fn suspect(&self) -> bool {
        self.resets >= SUSPECT_RESETS && self.resets > self.answers
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Aim(RequestId),
    End(RequestId),
    Hedge(RequestId),
    Ask,
    Probe,
}

/// Decides for one front node.
#[derive(Default)]
pub struct Aggregator {
    settings: Settings,
    random: u64,
    born: Option<Time>,
    servers: BTreeMap<ServerId, Server>,
    /// The servers of each cell.
    cells: BTreeMap<u32, BTreeSet<ServerId>>,
    /// The latest generation of the list.
    generation: u64,
    turns: i64,
    queries: BTreeMap<RequestId, Query>,
    numbers: BTreeMap<u64, RequestId>,
    parts: BTreeMap<RequestId, Part>,
    flights: BTreeMap<(RequestId, u8), Flight>,
    /// The kinds of query that were suspects, and when last.
    suspects: BTreeMap<(usize, u64), Time>,
    timers: BTreeSet<(Time, Due)>,
    armed: Option<Time>,
    /// The shortest aim, and how far back "lately" goes, in seconds.
    shortest: f64,
    recent: f64,
    /// Each class's usual answer time, and when it was last seen.
    usual: Vec<f64>,
    noted: Vec<Time>,
    density: f64,
    taken: Window,
    parts_sent: Window,
    copies: Window,
    trials: Window,
    further: Window,
    best_take: f64,
    take_noted: Option<Time>,
    probing: Probing,
    zones: Zones,
    asking: Asking,
}

// ---- The turn of events -------------------------------------------------------------------------------

impl Aggregator {
    /// A node that knows its settings and nothing else. `seed` is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut node = Aggregator { random: seed, ..Aggregator::default() };
        let all: Vec<ClassId> = (0..settings.classes.len() as u16).map(ClassId).collect();
        node.retune(settings, &[], &all);
        node
    }

    /// Takes all events of one tick and appends what is to be done. All outcomes are noted before any
    /// timer is judged: a node back from a stall must not hedge parts whose answers came meanwhile.
    pub fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        if self.born.is_none() {
            self.born = Some(now);
            if self.settings.must_ask.is_some() {
                self.timers.insert((now, Due::Ask));
            }
        }
        let mut fresh = BTreeSet::new();
        let mut touched = BTreeSet::new();
        let (mut won, mut broken) = (Vec::new(), Vec::new());
        for event in events {
            match event {
                Event::List(news) => self.note_list(now, news),
                &Event::Query { id, .. } => {
                    self.note_query(now, event);
                    fresh.insert(id);
                }
                Event::Part { .. } => fresh.extend(self.note_part(now, event)),
                &Event::Done { id, attempt, outcome } => {
                    if let Some(query) = self.note_outcome(now, id, attempt, outcome) {
                        touched.insert(query);
                        match outcome {
                            Outcome::Ok => won.push(id),
                            _ => broken.push(id),
                        }
                    }
                }
                Event::Probed { server, outcome, report } => self.note_probe(*server, *outcome, report),
                Event::Withdrawn(id) => self.forget(now, *id, actions),
                Event::Wake => {}
            }
        }
        self.forget_gone();
        for part in won {
            let twins = self.parts.get_mut(&part).map(|p| std::mem::take(&mut p.out)).unwrap_or_default();
            for attempt in twins {
                self.cancel(now, part, attempt, actions);
            }
        }
        for &query in &touched {
            self.settle(now, query, actions);
        }
        for query in fresh {
            self.open_step(now, query, actions);
        }
        for part in broken {
            self.retry(now, part, actions);
        }
        while let Some(&(at, due)) = self.timers.first().filter(|&&(at, _)| at <= now) {
            self.timers.remove(&(at, due));
            match due {
                // A node back from a stall finds these overdue in one wave, and answers still unread.
                Due::Hedge(_) if now - at > self.settings.tick * STALL_TICKS => {
                    let spread = self.shortest * HEDGE_DELAY * self.chance();
                    self.timers.insert((now + spread.max(self.settings.tick), due));
                }
                Due::Hedge(part) => self.hedge(now, part, actions),
                Due::Aim(query) => self.aim_passed(now, query, actions),
                Due::End(query) => self.give_up(now, query, actions),
                Due::Ask => self.ask(now, actions),
                Due::Probe => self.probe(now, actions),
            }
        }
        let next = self.timers.first().map(|&(at, _)| at);
        if let Some(at) = next.filter(|&at| self.armed.is_none_or(|armed| armed <= now || at < armed)) {
            self.armed = Some(at);
            actions.push(Action::Wake(at));
        }
    }

    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.random;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    // ---- What is noted --------------------------------------------------------------------------------

    fn note_query(&mut self, now: Time, event: &Event) {
        let &Event::Query { id, class, number, due, work, repeat } = event else { return };
        self.note_taken(now);
        let class = usize::from(class.0);
        let margin = self.settings.tick * END_TICKS;
        // A query of an unknown class is one that earns nothing: it ends at once, in `open_step`.
        let (aim, deadline) = self.settings.classes.get(class).map_or((0.0, 0.0), |c| {
            let stretch = c.aim_stretch * work.filter(|w| w.is_finite()).unwrap_or(0.0).max(0.0);
            ((c.aim + stretch).min(c.deadline), c.deadline)
        });
        let end_at = due.min(now + deadline) + -margin;
        // What a marked repeat has left of the deadline tells when its client came first. Of a try that isn't
        // marked, time left says nothing: impatient clients come with little.
        let asked_at = if repeat { now.min(due + -deadline) } else { now };
        let query = Query {
            class,
            number,
            asked_at,
            aim_at: end_at.min(asked_at + (aim - margin.max(aim * AIM_MARGIN))),
            end_at,
            generation: self.generation,
            repeat,
            kind: (class, 0),
            ..Query::default()
        };
        self.timers.insert((query.aim_at, Due::Aim(id)));
        self.timers.insert((query.end_at, Due::End(id)));
        self.numbers.insert(number, id);
        self.queries.insert(id, query);
    }

    fn note_part(&mut self, now: Time, event: &Event) -> Option<RequestId> {
        let &Event::Part { id, number, shard, weight } = event else { return None };
        let query_id = *self.numbers.get(&number)?;
        let query = self.queries.get_mut(&query_id)?;
        if self.parts.contains_key(&id) {
            return None;
        }
        query.parts.push(id);
        query.kind.1 = query.kind.1.wrapping_add(u64::from(shard).wrapping_mul(u64::from(shard)) + 1);
        let weight = if weight.is_finite() { weight.max(0.0) } else { 0.0 };
        let part = Part { query: query_id, class: query.class, shard, weight, ..Part::default() };
        self.parts.insert(id, part);
        self.note_taken(now);
        Some(query_id)
    }

    /// Where no budget is stated nobody counts these, and they would pile up.
    fn note_taken(&mut self, now: Time) {
        if self.settings.budget.is_some() {
            self.taken.push(now, self.settings.budget.map_or(0.0, |budget| budget.window));
        }
    }

    /// Books an outcome with its server and its part; the query, if that still runs.
    fn note_outcome(&mut self, now: Time, id: RequestId, attempt: u8, outcome: Outcome) -> Option<RequestId> {
        let flight = self.land(id, attempt)?;
        let visits = |part: &Part| part.tried.iter().filter(|&&server| server == flight.server).count();
        let went_back = self.parts.get(&id).is_some_and(|part| visits(part) > 1);
        let at_once = now - flight.sent < self.usual[flight.class] * AT_ONCE;
        let stale = outcome == Outcome::Reset && at_once && !went_back;
        if !stale {
            self.judge(now, &flight, outcome);
        }
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::Reset) {
            self.note_heard(now, flight.server);
        }
        let part = self.parts.get_mut(&id)?;
        let query = self.queries.get_mut(&part.query)?;
        part.out.retain(|&number| number != attempt);
        match outcome {
            Outcome::Ok => (part.answered, query.answers) = (true, query.answers + 1),
            Outcome::Full | Outcome::ConnectFailed | Outcome::Moot => {}
            Outcome::Error | Outcome::Timeout | Outcome::Reset | Outcome::Cancelled => {
                part.may_have_run = true
            }
        }
        part.back = stale.then_some(flight.server);
        if !stale && (outcome == Outcome::Reset || went_back && outcome == Outcome::ConnectFailed) {
            query.resets += 1;
            if query.suspect() {
                self.suspects.insert(query.kind, now);
            }
        }
        Some(part.query)
    }

    fn land(&mut self, id: RequestId, attempt: u8) -> Option<Flight> {
        let flight = self.flights.remove(&(id, attempt))?;
        if let Some(server) = self.servers.get_mut(&flight.server) {
            server.out.remove(&(flight.overdue, id, attempt));
        }
        Some(flight)
    }

    /// A server's health, from this node's own parts alone: one figure for slow, failing, refusing and
    /// silent servers. Measured against what is usual now, so that a general slowdown dooms nobody.
    fn judge(&mut self, now: Time, flight: &Flight, outcome: Outcome) {
        let took = now - flight.sent;
        let usual = &mut self.usual[flight.class];
        let ratio = (took / usual.max(1e-6)).min(WORST_PACE);
        let Some(server) = self.servers.get_mut(&flight.server) else { return };
        let (sample, gain) = match outcome {
            Outcome::Ok => {
                // A doubted server's slowness is its own, or its path's, and counts less.
                *usual += (took - *usual) * USUAL_GAIN * if server.pace > DOUBT { PACE_GAIN } else { 1.0 };
                self.noted[flight.class] = now;
                server.passed = server.passed.max(flight.sent);
                server.answers.push(now, self.settings.warm_up * TAKE_WARM_UPS);
                (ratio, PACE_GAIN)
            }
            // Silence so far: it says something only if it is worse than what was known.
            Outcome::Cancelled | Outcome::Timeout => (ratio.max(server.pace), BAD_GAIN),
            Outcome::Moot => return,
            _ => (WORST_PACE, PACE_GAIN),
        };
        if outcome == Outcome::ConnectFailed
            || now >= flight.overdue && matches!(outcome, Outcome::Cancelled | Outcome::Timeout)
        {
            server.kept.get_or_insert(flight.sent);
        }
        let memory = (-(now - server.judged).max(0.0) / self.recent).exp();
        server.pace += (sample - server.pace) * (1.0 - (1.0 - gain) * memory);
        server.judged = now;
        server.hint = if outcome == Outcome::Ok && ratio < DOUBT { 1.0 } else { server.hint };
        if server.pace > DOUBT && !self.probing.armed && self.settings.probes.is_some() {
            self.probing.armed = true;
            self.timers.insert((now, Due::Probe));
        }
        let took = match outcome {
            Outcome::Ok => took,
            Outcome::Cancelled | Outcome::Timeout => took.max(server.wait.0),
            Outcome::Full => self.settings.classes[flight.class].aim,
            _ => return,
        };
        server.wait = (server.wait.0 + (took - server.wait.0) * PACE_GAIN, now);
    }

    /// Zones are lost whole: a node with little traffic must not lose parts to each server of one to find it.
    /// Those of a dark zone are doubted until one of them is heard.
    fn note_dark(&mut self, now: Time) {
        let sightings = self.ready().map(|(_, server)| {
            let oldest = server.out.first().and_then(|&(_, id, attempt)| self.flights.get(&(id, attempt)));
            let delay = |flight: &Flight| self.settings.classes[flight.class].aim * HEDGE_DELAY;
            let waiting =
                oldest.filter(|flight| now - flight.sent >= delay(flight)).map(|flight| flight.sent);
            Sighting { zone: server.zone, answered: server.passed, kept: server.kept.or(waiting) }
        });
        let dark = self.zones.lost(now, &sightings.collect::<Vec<_>>());
        for server in self.servers.values_mut().filter(|server| dark.contains(&server.zone)) {
            (server.pace, server.judged) = (WORST_PACE, now);
        }
    }

    /// A server said something. Its zone is back, perhaps from a start of which the list is yet to tell.
    fn note_heard(&mut self, now: Time, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.kept = None;
        let zone = server.zone;
        let Some(dark_for) = self.zones.found(now, zone) else { return };
        let restarted = dark_for > self.settings.warm_up * DARK_START;
        for server in self.servers.values_mut().filter(|s| s.zone == zone) {
            (server.pace, server.kept) = (1.0, None);
            if restarted {
                (server.ready_at, server.earned) = (Some(now), (server.earned.0.min(0.0), now));
            }
        }
    }

    // ---- Choosing a replica ---------------------------------------------------------------------------

    /// Servers that may be sent a part of this shard now: those of the cells from its own on, as far as the
    /// reach goes, around the ring.
    fn holders(&mut self, now: Time, shard: u32) -> Vec<ServerId> {
        let Some(first) = shard.checked_rem(self.settings.cells) else { return Vec::new() };
        let end = first.saturating_add(self.settings.reach);
        let around = self.settings.reach.saturating_sub(self.settings.cells - first).min(first);
        let cells = self.cells.range(first..end).chain(self.cells.range(..around));
        let mut ids: Vec<ServerId> = cells.flat_map(|(_, ids)| ids.iter().copied()).collect();
        ids.retain(|&id| self.servers[&id].state == ServerState::Ready && self.cold_room(now, id));
        ids
    }

    /// The replica whose turn it is, and its standing: of those that hold the part's shard and are not
    /// overdue, the one that waited longest. Where all are overdue or doubted, the one with the fewest parts
    /// out, and last of all one that this part has been to.
    fn choose(&mut self, now: Time, id: RequestId) -> Option<(u8, ServerId)> {
        let part = self.parts.get_mut(&id)?;
        let (shard, class, back) = (part.shard, part.class, part.back.take());
        let may_try = self.may_try(now, class);
        let mut holders = self.holders(now, shard);
        // Never a mix of lists: what came with a later one is not for this query.
        let generation = self.queries.get(&self.parts[&id].query).map_or(0, |query| query.generation);
        holders.retain(|server| self.servers[server].generation <= generation);
        if let Some(server) = back.filter(|server| holders.contains(server)) {
            return Some((0, server));
        }
        let tried = &self.parts[&id].tried;
        let keys = holders.into_iter().map(|server| match self.standing(now, server, may_try) {
            (_, out, turn) if tried.contains(&server) => (4, out, turn, server),
            (_, out, turn) if self.servers[&server].weight <= 0.0 => (3, out, turn, server),
            (rank, out, turn) => (rank, out, turn, server),
        });
        let keys: Vec<_> = keys.collect();
        let &(rank, _, _, mut server) = keys.iter().min()?;
        if rank == 0 {
            let level: Vec<ServerId> = keys.iter().filter(|key| key.0 == 0).map(|key| key.3).collect();
            server = self.weighed(&level).unwrap_or(server);
        }
        if rank == 0 && self.doubted(now, &self.servers[&server]) {
            self.trials.push(now, self.recent * CALM_LATELY);
        }
        Some((rank, server))
    }

    /// Of replicas whose turn it may be, the one that is owed most by their weights: turns are shared in
    /// proportion and smoothly, the heaviest gets no bursts. `None`: all weigh the same, the turns decide.
    fn weighed(&mut self, level: &[ServerId]) -> Option<ServerId> {
        let weight = |id: &ServerId| self.servers[id].weight;
        let sum: f64 = level.iter().map(weight).sum();
        if level.iter().all(|id| weight(id) == weight(&level[0])) {
            return None;
        }
        for id in level {
            let server = self.servers.get_mut(id)?;
            server.credit = (server.credit + server.weight).min(sum);
        }
        let owed = |id: &&ServerId| (self.servers[id].credit, -self.servers[id].turn);
        let best = *level.iter().max_by(|a, b| owed(a).partial_cmp(&owed(b)).unwrap_or(Ordering::Equal))?;
        let server = self.servers.get_mut(&best)?;
        server.credit = (server.credit - sum).max(-sum);
        Some(best)
    }

    /// Whether there is room for a trial part of this class.
    fn may_try(&mut self, now: Time, class: usize) -> bool {
        let span = self.recent * CALM_LATELY; // in less, a node asked little sends too few parts for one
        self.settings.classes[class].effect == Effect::Safe
            && self.trials.count(now, self.shortest * TRIAL_GAP) < 1.0 // saved up, but not one query's burden
            && self.trials.count(now, span) + 1.0 <= TRIAL_SHARE * self.parts_sent.count(now, span)
    }

    /// Doubted by this node's own parts or, while that is fresh, by what its probe showed.
    fn doubted(&self, now: Time, server: &Server) -> bool {
        server.pace > DOUBT || (server.hint > DOUBT && now - server.probed < self.recent)
    }

    /// What a probe shows is a hint: a server that holds many more requests than is typical, or whose probe
    /// failed, is likely slow, hung or far for this node.
    fn note_probe(&mut self, id: ServerId, outcome: Outcome, report: &[f64]) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let held = self.settings.probes.and_then(|at| report.get(at)).copied();
        server.hint = self.probing.hint(outcome, held, WORST_PACE).unwrap_or(server.hint);
    }

    /// The servers that the list calls ready.
    fn ready(&self) -> impl Iterator<Item = (ServerId, &Server)> {
        self.servers.iter().filter(|(_, s)| s.state == ServerState::Ready).map(|(&id, s)| (id, s))
    }

    /// While any server is doubted, one is probed after another, first that of which nothing was heard for
    /// longest; of a doubted one, only probes count as news.
    fn probe(&mut self, now: Time, actions: &mut Vec<Action>) {
        let doubts = self.ready().any(|(_, s)| self.doubted(now, s));
        self.probing.armed = doubts;
        if !doubts {
            return;
        }
        let heard = |s: &Server| if self.doubted(now, s) { s.probed } else { s.judged.max(s.probed) };
        let oldest = self.ready().map(|(id, s)| (heard(s), id)).min();
        let due = oldest.filter(|&(at, _)| now - at > self.shortest);
        if let Some((_, id)) = due.filter(|_| self.probing.take()) {
            actions.push(Action::Probe(id));
            if let Some(server) = self.servers.get_mut(&id) {
                server.probed = now;
            }
        }
        let gap = Probing::gap(self.shortest, self.chance());
        self.timers.insert((now + gap.max(self.settings.tick), Due::Probe));
    }

    /// 0: takes its turn. 1: overdue. 2: doubted. (`choose` adds 3: weightless, 4: tried.) And the parts out.
    fn standing(&self, now: Time, id: ServerId, may_try: bool) -> (u8, usize, i64) {
        let server = &self.servers[&id];
        if self.doubted(now, server) {
            let rested = now - server.last_sent > self.shortest * TRIAL_GAP * server.pace / DOUBT;
            if may_try && rested && server.out.is_empty() && server.hint <= DOUBT {
                return (0, 0, server.turn);
            }
            return (2, server.out.len(), server.turn);
        }
        let overdue = server.out.first().is_some_and(|&(overdue, ..)| overdue <= now);
        (u8::from(overdue), if overdue { server.out.len() } else { 0 }, server.turn)
    }

    /// The cold guard. A server that has just started earns parts at the stated multiple of its guaranteed
    /// capacity, taken to be what warm servers answer this node, its share of what they do for all. Fractions
    /// are carried over and begin at chance, so that sparse nodes send theirs, and not in step.
    fn cold_room(&mut self, now: Time, id: ServerId) -> bool {
        self.note_take(now);
        let s = &self.settings;
        let Some(server) = self.servers.get_mut(&id) else { return false };
        let Some(age) = server.ready_at.map(|at| (now - at).max(0.0)).filter(|&age| age < s.warm_up) else {
            return true;
        };
        let ramp = s.cold_from + (1.0 - s.cold_from) * (age - s.fall_window / 2.0).max(0.0) / s.warm_up;
        let earned = COLD_MARGIN * s.fall_multiple * ramp * self.best_take * server.size;
        let (earlier, at) = server.earned;
        let most = (earned * s.fall_window * COLD_BURST).max(1.0);
        server.earned = ((earlier + earned * (now - at)).min(most), now);
        server.earned.0 >= 1.0
    }

    /// Notes once a tick what a warm server of size 1 answers this node a second, and keeps the best: what
    /// servers can do doesn't shrink because they answer less in a jam.
    fn note_take(&mut self, now: Time) {
        if self.take_noted.replace(now) == Some(now) {
            return;
        }
        let span = self.settings.warm_up * TAKE_WARM_UPS;
        let seen = span.min(self.born.map_or(0.0, |at| now - at)).max(self.settings.fall_window);
        let (mut answers, mut total) = (0.0, 0.0);
        for server in self.servers.values_mut().filter(|s| s.state == ServerState::Ready) {
            if server.ready_at.is_none_or(|at| now - at >= self.settings.warm_up) {
                answers += server.answers.count(now, span);
                total += server.size;
            }
        }
        self.best_take = self.best_take.max(answers / seen / f64::max(total, 1.0));
    }

    // ---- Sending and hedging --------------------------------------------------------------------------

    /// All parts of a step are sent at once; a query that can't be served, or not in time, is turned away
    /// before any of its parts is sent.
    fn open_step(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        self.note_dark(now);
        let Some(query) = self.queries.get(&id) else { return };
        let unsent = |id: &RequestId| self.parts[id].first_sent.is_none();
        let parts: Vec<RequestId> = query.parts.iter().copied().filter(unsent).collect();
        if self.settings.classes.get(query.class).is_none() || query.parts.is_empty() {
            return self.give_up(now, id, actions);
        }
        let (class, second_step) = (query.class, query.second_step);
        let cells = self.settings.cells.max(1);
        let calls = parts.iter().map(|id| self.parts[id].shard % cells).collect::<BTreeSet<u32>>().len();
        let (_, floor) = self.bars(query);
        let aim_left = (query.asked_at + self.settings.classes[class].aim) - now;
        self.suspects.retain(|_, &mut at| now - at < self.recent);
        let suspect = query.repeat && self.suspects.contains_key(&query.kind);
        let late = suspect || aim_left <= 0.0 && self.settings.classes[class].late_share <= 0.0;
        if late || (!second_step && self.too_slow(now, class, calls, aim_left)) {
            return self.give_up(now, id, actions);
        }
        if !second_step {
            let limit = self.shed_limit(class, parts.len());
            let mut servable = WEIGHT_SLACK;
            for part in &parts {
                servable += if self.in_time(now, *part, limit) { self.parts[part].weight } else { 0.0 };
            }
            if servable < floor {
                return self.give_up(now, id, actions);
            }
        }
        // A call costs a server work beside that of its parts: those of one query that have the same holders
        // share one, and with it one turn. A trial stays a single part.
        let mut calls: BTreeMap<u32, (ServerId, u32)> = BTreeMap::new();
        for part in parts {
            let cell = self.parts[&part].shard.checked_rem(self.settings.cells).unwrap_or(0);
            let open = calls.get(&cell).filter(|&&(_, room)| room > 0).copied();
            let open = open.filter(|&(server, _)| self.cold_room(now, server));
            let room = open.map_or(self.settings.parts_a_call, |(_, room)| room).saturating_sub(1);
            let chosen = open.or_else(|| self.choose(now, part).map(|(_, server)| (server, room)));
            let Some((server, _)) = chosen else { continue };
            let trial = self.doubted(now, &self.servers[&server]);
            calls.insert(cell, (server, if trial { 0 } else { room }));
            self.send(now, part, server, actions);
        }
        self.settle(now, id, actions);
    }

    /// Whether the quickest sound replica would likely answer this part in time; with none sound, whether one
    /// is due for a trial or would within the hedge delay. If not, the query's other parts would be wasted.
    /// Where most servers are doubted that proves little, and it is sent.
    fn in_time(&mut self, now: Time, id: RequestId, limit: f64) -> bool {
        let (shard, class) = (self.parts[&id].shard, self.parts[&id].class);
        let holders = self.holders(now, shard);
        let sound = |id: &&ServerId| !self.doubted(now, &self.servers[id]) || holders.len() == 1;
        let waits = holders.iter().filter(sound).map(|id| self.likely_wait(now, &self.servers[id]));
        if let Some(wait) = waits.reduce(f64::min) {
            return wait <= limit;
        }
        let may_try = self.may_try(now, class);
        let pace = |id: &ServerId| self.servers[id].pace.max(self.servers[id].hint);
        let likely = self.usual[class] * holders.iter().map(pace).fold(f64::MAX, f64::min);
        let sound = || self.ready().filter(|(_, s)| !self.doubted(now, s)).count() as f64;
        !holders.is_empty()
            && (likely <= self.settings.classes[class].aim * HEDGE_DELAY
                || holders.iter().any(|&id| self.standing(now, id, may_try).0 == 0)
                || sound() < PANIC_SHARE * self.ready().count() as f64)
    }

    /// Load shedding by the fleet as a whole: a query of many calls waits for its slowest (parts of one wait
    /// together). Refused by chance, the likelier the more of its aim that would take; so all nodes back off
    /// alike, and none stops learning.
    fn too_slow(&mut self, now: Time, class: usize, calls: usize, left: f64) -> bool {
        let age = (self.noted[class] - now) / (self.recent * SLOW_MEMORY);
        let slowest = self.usual[class] * (1.0 + (calls.max(1) as f64).ln()) * age.min(0.0).exp();
        let share = slowest / left.max(1e-6);
        self.chance() < ((share - SLOW_RANGE.0) / (SLOW_RANGE.1 - SLOW_RANGE.0)).min(SURE_REFUSAL)
    }

    /// Load shedding: the longest wait for a part with which a query is still let in. Queries that are worth
    /// more for their work are shed later.
    fn shed_limit(&mut self, class: usize, parts: usize) -> f64 {
        let (aim, worth) = (self.settings.classes[class].aim, self.settings.classes[class].worth);
        let density = worth / (parts.max(1) as f64 * self.usual[class].max(1e-6));
        let gain = if self.density > 0.0 { USUAL_GAIN } else { 1.0 };
        self.density += (density - self.density) * gain;
        let share = SHED_AT * (density / self.density.max(1e-9)).sqrt();
        let waits = if self.settings.classes[class].fetch > 0 { 2.0 } else { 1.0 }; // both on one clock
        share.clamp(SHED_RANGE.0, SHED_RANGE.1) * aim / waits
    }

    /// How long a part sent now would likely take there. What was noted shrinks as time drains the queue,
    /// which lets work back in once a jam may have gone.
    fn likely_wait(&self, now: Time, server: &Server) -> f64 {
        let waiting = server.out.iter().filter_map(|&(_, id, attempt)| self.flights.get(&(id, attempt)));
        let waiting = waiting.filter(|flight| flight.sent > server.passed);
        let oldest = waiting.map(|flight| now - flight.sent).fold(0.0, f64::max);
        oldest.max(server.wait.0 - (now - server.wait.1))
    }

    fn send(&mut self, now: Time, id: RequestId, server_id: ServerId, actions: &mut Vec<Action>) {
        let Some(part) = self.parts.get_mut(&id) else { return };
        let Some(query) = self.queries.get(&part.query) else { return };
        let servers = self.servers.len() as f64;
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        let class = &self.settings.classes[query.class];
        let delay = class.aim * HEDGE_DELAY;
        let overdue = now + self.usual[query.class].min(delay);
        let attempt = part.tried.len() as u8;
        part.out.push(attempt);
        part.tried.push(server_id);
        if part.first_sent.is_none() {
            part.first_sent = Some(now);
            self.parts_sent.push(now, self.recent * CALM_LATELY);
            self.probing.earn(servers);
            if class.effect != Effect::Unsafe && self.settings.second_copies {
                self.timers.insert((now + delay, Due::Hedge(id)));
            }
        }
        if attempt > 0 && self.settings.budget.is_some() {
            self.further.push(now, self.settings.budget.map_or(0.0, |budget| 2.0 * budget.window));
        }
        self.turns += 1;
        server.turn = self.turns;
        server.out.insert((overdue, id, attempt));
        server.last_sent = now;
        server.earned.0 -= 1.0;
        let flight = Flight { server: server_id, class: query.class, sent: now, overdue };
        self.flights.insert((id, attempt), flight);
        actions.push(Action::Send { part: id, server: server_id, until: query.end_at });
    }

    /// Whether the rules allow this part a further attempt.
    fn may_repeat(&mut self, now: Time, id: RequestId) -> bool {
        let Some(part) = self.parts.get(&id) else { return false };
        let Some(query) = self.queries.get(&part.query) else { return false };
        let class = &self.settings.classes[query.class];
        let margin = self.settings.tick * END_TICKS;
        let ran = part.may_have_run || !part.out.is_empty();
        let allowed = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => !ran || part.first_sent.is_some_and(|at| now - at < class.window - margin),
            Effect::Unsafe => !ran,
        };
        let open = !query.suspect()
            && !part.answered
            && now < query.end_at
            && (part.tried.len() as u64) < u64::from(self.settings.max_attempts.min(u32::from(u8::MAX)));
        allowed && open && self.budget_left(now) >= 1.0
    }

    /// Further attempts that the stated budget still allows now.
    fn budget_left(&mut self, now: Time) -> f64 {
        let Some(budget) = self.settings.budget else { return f64::MAX };
        let (margin, window) = (self.settings.tick * END_TICKS, budget.window);
        budget.free + budget.share * self.taken.count(now, window - margin)
            - self.further.count(now, window + margin)
    }

    /// The design's copy: one for a part unanswered after the fixed delay, to a replica that is not overdue.
    /// Exception: with no such replica there is no copy, as in a general slowdown it would only add load.
    fn hedge(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let query = self.parts.get(&id).and_then(|part| self.queries.get(&part.query));
        let calm = query.is_some_and(|query| 2 * query.answers as usize > query.parts.len());
        let span = self.recent * if calm { CALM_LATELY } else { 1.0 };
        let room = self.copies.count(now, span) + 1.0 <= HEDGE_SHARE * self.parts_sent.count(now, span);
        if !room || self.parts.get(&id).is_none_or(|part| part.out.len() != 1) || !self.may_repeat(now, id) {
            return;
        }
        if let Some((0, server)) = self.choose(now, id) {
            self.copies.push(now, self.recent * CALM_LATELY);
            self.send(now, id, server, actions);
        }
    }

    /// A failed attempt is followed by another at once, elsewhere if there is an elsewhere.
    fn retry(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let lost = |part: &&Part| part.out.is_empty() && !part.answered;
        let Some(query) = self.parts.get(&id).filter(lost).map(|part| part.query) else { return };
        if self.may_repeat(now, id) {
            if let Some((_, server)) = self.choose(now, id) {
                self.send(now, id, server, actions);
            }
        }
        self.settle(now, query, actions);
    }

    // ---- Ending a query -------------------------------------------------------------------------------

    /// Weight that is in, and weight that is in or may still come.
    fn weights(&mut self, now: Time, id: RequestId) -> (f64, f64) {
        let Some(parts) = self.queries.get(&id).map(|q| q.parts.clone()) else { return (0.0, 0.0) };
        let (mut done, mut possible) = (0.0, 0.0);
        for id in parts {
            let Some(part) = self.parts.get(&id) else { continue };
            let (answered, weight, sent) = (part.answered, part.weight, part.first_sent.is_some());
            let live = answered || !part.out.is_empty() || (sent && self.may_repeat(now, id));
            done += if answered { weight } else { 0.0 };
            possible += if live { weight } else { 0.0 };
        }
        (done + WEIGHT_SLACK, possible + WEIGHT_SLACK)
    }

    /// Ends the step as soon as its parts decide it: whole, hopeless, or partial with nothing left to come.
    fn settle(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let (done, possible) = self.weights(now, id);
        let Some(query) = self.queries.get(&id) else { return };
        let (need, floor) = self.bars(query);
        let whole = query.first_whole || !query.second_step;
        if done >= need {
            self.answer(now, id, whole, actions);
        } else if possible < floor {
            self.give_up(now, id, actions);
        } else if possible < need && done >= floor && possible - done < WEIGHT_SLACK {
            self.answer(now, id, false, actions);
        }
    }

    /// Least weights for a whole and for any answer in the query's present step.
    fn bars(&self, query: &Query) -> (f64, f64) {
        let class = &self.settings.classes[query.class];
        match (query.second_step, class.floor < class.need) {
            (false, _) => (class.need, class.floor.min(class.need)),
            (true, true) => (1.0, class.floor),
            (true, false) => (1.0, 1.0),
        }
    }

    fn aim_passed(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let (done, _) = self.weights(now, id);
        let Some(query) = self.queries.get(&id) else { return };
        let Some(class) = self.settings.classes.get(query.class) else { return };
        let (_, floor) = self.bars(query);
        if done >= floor && class.partial * done.min(class.need) / class.need >= class.late_share {
            self.answer(now, id, false, actions);
        } else if class.late_share <= 0.0 {
            self.give_up(now, id, actions);
        }
    }

    fn answer(&mut self, now: Time, id: RequestId, whole: bool, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let step_follows = !query.second_step && self.settings.classes[query.class].fetch > 0;
        actions.push(Action::Answer { query: id, whole });
        if step_follows {
            query.second_step = true;
            query.first_whole = whole;
            let parts = std::mem::take(&mut query.parts);
            self.drop_parts(now, parts, actions);
        } else {
            self.forget(now, id, actions);
        }
    }

    /// The final answer for a query that earns nothing more, given at once: a refusal with advice where
    /// trying again is harmless, else a failure.
    fn give_up(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&id) else { return };
        let may_run = |part: &Part| part.may_have_run || part.answered || !part.out.is_empty();
        let ran = query.second_step || query.parts.iter().any(|p| self.parts.get(p).is_some_and(may_run));
        let effect = self.settings.classes.get(query.class).map_or(Effect::Unsafe, |c| c.effect);
        let harmless = effect == Effect::Safe || !ran;
        // While its aim stands a query may come again within it; after that, as late as clients heed.
        let left = query.aim_at - now;
        let within = if left > 0.0 { left * ADVICE } else { f64::MAX };
        let retry_after = self.settings.retry_after.map(|longest| longest.min(within));
        actions.push(match harmless {
            true => Action::Refuse { query: id, retry_after },
            false => Action::Fail { query: id },
        });
        self.forget(now, id, actions);
    }

    fn forget(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.remove(&id) else { return };
        if self.numbers.get(&query.number) == Some(&id) {
            self.numbers.remove(&query.number);
        }
        self.timers.remove(&(query.aim_at, Due::Aim(id)));
        self.timers.remove(&(query.end_at, Due::End(id)));
        self.drop_parts(now, query.parts, actions);
    }

    /// Forgets parts and cancels what they still have out.
    fn drop_parts(&mut self, now: Time, parts: Vec<RequestId>, actions: &mut Vec<Action>) {
        for id in parts {
            let Some(part) = self.parts.remove(&id) else { continue };
            for attempt in part.out {
                self.cancel(now, id, attempt, actions);
            }
        }
    }

    fn cancel(&mut self, now: Time, id: RequestId, attempt: u8, actions: &mut Vec<Action>) {
        if let Some(flight) = self.settings.cancel.then(|| self.land(id, attempt)).flatten() {
            self.judge(now, &flight, Outcome::Cancelled);
            actions.push(Action::Cancel { part: id, attempt });
        }
    }

    // ---- The server list ------------------------------------------------------------------------------

    /// Forgets the servers that are gone and have nothing out: on a long day they are replaced without end.
    fn forget_gone(&mut self) {
        let cells = &mut self.cells;
        self.servers.retain(|id, server| {
            let known = server.state != ServerState::Gone || !server.out.is_empty();
            if !known {
                cells.entry(server.cell).or_default().remove(id);
            }
            known
        });
    }

    /// A server missing from a whole list is gone; an empty list is no news.
    fn note_list(&mut self, now: Time, news: &ListNews) {
        let rows = match news {
            ListNews::Failed => {
                let chance = self.chance();
                let wait = self.asking.failed(self.settings.must_ask.unwrap_or(0.0), chance);
                self.timers.insert((now + wait, Due::Ask));
                return;
            }
            ListNews::Full(rows) | ListNews::Cached(rows) | ListNews::Delta(rows) => rows,
        };
        if !matches!(news, ListNews::Cached(_)) {
            self.asking.told();
        }
        if matches!(news, ListNews::Full(_)) && !rows.is_empty() {
            let listed: BTreeSet<ServerId> = rows.iter().map(|row| row.server).collect();
            for (id, server) in &mut self.servers {
                if !listed.contains(id) {
                    server.state = ServerState::Gone;
                }
            }
        }
        for row in rows {
            let (turn, earned) = (-((self.chance() * 1e6) as i64) - 1, (self.chance(), now));
            let server = self.servers.entry(row.server).or_insert_with(|| Server {
                turn,
                pace: 1.0,
                hint: 1.0,
                judged: now,
                last_sent: now,
                wait: (0.0, now),
                ready_at: row.ready_at,
                earned,
                ..Server::default()
            });
            self.cells.entry(server.cell).or_default().remove(&row.server);
            self.cells.entry(row.cell).or_default().insert(row.server);
            if row.ready_at.is_some_and(|at| server.ready_at.is_none_or(|old| at > old)) {
                (server.pace, server.hint, server.earned) = (1.0, 1.0, earned);
            }
            (server.state, server.zone) = (row.state, row.zone);
            server.ready_at = row.ready_at;
            if server.cell != row.cell || server.generation == 0 {
                server.generation = row.generation;
            }
            server.cell = row.cell;
            self.generation = self.generation.max(row.generation);
            server.weight = if row.weight >= 0.0 && row.weight.is_finite() { row.weight } else { 1.0 };
            server.size = if row.size > 0.0 && row.size.is_finite() { row.size } else { 1.0 };
        }
    }

    /// Asks to be told of changes, and again if nothing at all comes back.
    fn ask(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(must_ask) = self.settings.must_ask.filter(|_| !self.asking.subscribed) else { return };
        actions.push(Action::Subscribe);
        self.timers.insert((now + must_ask / 2.0, Due::Ask));
    }
}
