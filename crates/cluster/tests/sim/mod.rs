//! Groups on a virtual clock and an emulated network, with faults from a seeded schedule. The decisions are those that
//! ship.
#![allow(dead_code, reason = "each test binary uses some of the helpers")]

use cairnroad_cluster::gossip_state::{GossipValue, Phase};
use cairnroad_cluster::identity::NameHash;
use cairnroad_cluster::quorum::QuorumView;
use cairnroad_cluster::view::MemberState;
use cairnroad_cluster::{Membership, MembershipConfig, Output, TICK_INTERVAL};
use cairnroad_types::Time;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;

/// Datagrams that wait for a stopped process; further ones are lost, as in a socket's buffer.
const BUFFER: usize = 200;

/// What happens to the group at a moment.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Nothing passes between these and all others, in both directions.
    Cut(Vec<usize>),
    /// What these send is lost; what they are sent arrives.
    Mute(Vec<usize>),
    /// All cuts are over.
    Heal,
    Kill(usize),
    /// It starts anew under its name. Its clock is so many seconds off.
    Restart(usize, f64),
    /// It is stopped, as by SIGSTOP, for so many seconds.
    Stop(usize, f64),
    Leave(usize),
    /// The share of datagrams that is lost, and that comes twice, from now on.
    Loss(f64, f64),
}

enum Event {
    Datagram {
        from: usize,
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    Tick(usize),
    Fault(Fault),
}

struct Entry(Time, u64, Event);

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A change that a member told of another.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: f64,
    pub by: usize,
    pub of: usize,
    pub state: MemberState,
}

pub struct Sim {
    pub size: usize,
    pub groups: Vec<Option<Membership>>,
    /// Who has left by its own word and was not started since.
    pub left: BTreeSet<usize>,
    pub seen: Vec<Seen>,
    pub quorum_views: Vec<(f64, usize, QuorumView)>,
    pub bytes: Vec<u64>,
    pub datagrams: u64,
    start: Time,
    now: Time,
    queue: BinaryHeap<Reverse<Entry>>,
    number: u64,
    random: StdRng,
    lives: Vec<u64>,
    stopped: BTreeMap<usize, (Time, VecDeque<Vec<u8>>)>,
    cuts: Vec<BTreeSet<usize>>,
    muted: BTreeSet<usize>,
    loss: f64,
    twice: f64,
    names: BTreeMap<NameHash, usize>,
    seeds: usize,
}

pub fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (member >> 8) as u8, member as u8], 4000))
}

fn member(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            usize::from(high) << 8 | usize::from(low)
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl Sim {
    /// `size` members that start together, knowing the first few as seeds.
    pub fn new(size: usize, seed: u64) -> Sim {
        let start = Time::from_secs(1_790_000_000.0);
        let mut sim = Sim {
            size,
            groups: (0..size).map(|_| None).collect(),
            left: BTreeSet::new(),
            seen: Vec::new(),
            quorum_views: Vec::new(),
            bytes: vec![0; size],
            datagrams: 0,
            start,
            now: start,
            queue: BinaryHeap::new(),
            number: 0,
            random: StdRng::seed_from_u64(seed),
            lives: vec![0; size],
            stopped: BTreeMap::new(),
            cuts: Vec::new(),
            muted: BTreeSet::new(),
            loss: 0.0,
            twice: 0.0,
            names: (0..size)
                .map(|member| (NameHash::of(&format!("n{member}")), member))
                .collect(),
            seeds: 3.min(size),
        };
        for member in 0..size {
            sim.begin(member, 0.0);
            let at = sim.now + sim.random.random::<f64>() * TICK_INTERVAL;
            sim.push(at, Event::Tick(member));
        }
        sim
    }

    fn begin(&mut self, member: usize, skew: f64) {
        self.lives[member] += 1;
        let setup = MembershipConfig {
            cluster: "sim".into(),
            name: format!("n{member}"),
            room: "kita".into(),
            offers: Vec::new(),
            address: address(member),
            generation: ((self.now + skew).secs() * 1e3) as u64,
            group: (0..self.size).map(|member| format!("n{member}")).collect(),
            seeds: (0..self.seeds).map(address).collect(),
            seed: self.random.random(),
        };
        self.left.remove(&member);
        let mut group = Membership::new(setup, self.now);
        group.publish(self.now, GossipValue::Phase(Phase::Serving));
        self.groups[member] = Some(group);
    }

    fn push(&mut self, at: Time, event: Event) {
        self.number += 1;
        self.queue.push(Reverse(Entry(at, self.number, event)));
    }

    /// Seconds since the start.
    pub fn age(&self) -> f64 {
        self.now - self.start
    }

    /// Plans a fault, so many seconds after the start.
    pub fn plan(&mut self, at: f64, fault: Fault) {
        self.push(self.start + at, Event::Fault(fault));
    }

    /// Plays until so many seconds after the start.
    pub fn play(&mut self, until: f64) {
        let end = self.start + until;
        while self
            .queue
            .peek()
            .is_some_and(|Reverse(Entry(at, ..))| *at <= end)
        {
            let Some(Reverse(Entry(at, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            match event {
                Event::Datagram { from, to, bytes } => self.deliver(from, to, bytes),
                Event::Tick(member) => {
                    self.tick(member);
                    let at = self.now + TICK_INTERVAL;
                    self.push(at, Event::Tick(member));
                }
                Event::Fault(fault) => self.strike(fault),
            }
        }
        self.now = end;
    }

    fn tick(&mut self, member: usize) {
        let waiting = match self.stopped.get(&member) {
            Some((until, _)) if *until > self.now => return,
            Some(_) => self.stopped.remove(&member).map(|stopped| stopped.1),
            None => None,
        };
        let now = self.now;
        let Some(group) = &mut self.groups[member] else {
            return;
        };
        let mut out = Vec::new();
        for bytes in waiting.into_iter().flatten() {
            group.on_datagram(now, &bytes, &mut out);
        }
        group.tick(now, &mut out);
        self.carry_out(member, out);
    }

    fn carry_out(&mut self, from: usize, out: Vec<Output>) {
        for out in out {
            match out {
                Output::SendDatagram { to, bytes } => {
                    self.bytes[from] += bytes.len() as u64;
                    self.datagrams += 1;
                    let copies = 1 + usize::from(self.random.random::<f64>() < self.twice);
                    for _ in 0..copies {
                        if self.random.random::<f64>() < self.loss {
                            continue;
                        }
                        let at = self.now + (0.0002 + 0.003 * self.random.random::<f64>());
                        self.push(
                            at,
                            Event::Datagram {
                                from,
                                to,
                                bytes: bytes.clone(),
                            },
                        );
                    }
                }
                Output::MemberChanged { id, state, .. } => {
                    let Some(&of) = self.names.get(&id.name) else {
                        continue;
                    };
                    self.seen.push(Seen {
                        at: self.age(),
                        by: from,
                        of,
                        state,
                    });
                }
                Output::QuorumChanged(standing) => {
                    self.quorum_views.push((self.age(), from, standing))
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let to = member(to);
        let cut = self
            .cuts
            .iter()
            .any(|side| side.contains(&from) != side.contains(&to));
        if to >= self.size || cut || self.muted.contains(&from) {
            return;
        }
        if let Some((_, waiting)) = self.stopped.get_mut(&to) {
            if waiting.len() < BUFFER {
                waiting.push_back(bytes);
            }
            return;
        }
        let Some(group) = &mut self.groups[to] else {
            return;
        };
        let mut out = Vec::new();
        group.on_datagram(self.now, &bytes, &mut out);
        self.carry_out(to, out);
    }

    fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::Cut(side) => self.cuts.push(side.into_iter().collect()),
            Fault::Mute(members) => self.muted.extend(members),
            Fault::Heal => {
                self.cuts.clear();
                self.muted.clear();
            }
            Fault::Kill(member) => {
                self.groups[member] = None;
                self.stopped.remove(&member);
            }
            Fault::Restart(member, skew) => {
                self.stopped.remove(&member);
                self.begin(member, skew);
            }
            Fault::Stop(member, secs) => {
                if self.groups[member].is_some() {
                    self.stopped
                        .entry(member)
                        .or_insert((self.now + secs, VecDeque::new()));
                }
            }
            Fault::Leave(member) => {
                let mut out = Vec::new();
                if let Some(group) = &mut self.groups[member] {
                    group.leave(self.now, &mut out);
                    self.left.insert(member);
                }
                self.carry_out(member, out);
                self.groups[member] = None;
                self.stopped.remove(&member);
            }
            Fault::Loss(share, twice) => (self.loss, self.twice) = (share, twice),
        }
    }

    /// Who is alive.
    pub fn alive(&self) -> BTreeSet<usize> {
        (0..self.size)
            .filter(|member| self.groups[*member].is_some())
            .collect()
    }

    /// Whom a member sees there, itself included.
    pub fn sees(&self, by: usize) -> BTreeSet<usize> {
        let Some(group) = &self.groups[by] else {
            return BTreeSet::new();
        };
        let view = group.view();
        let there = view.members.iter().filter(|member| member.state.is_live());
        there
            .filter_map(|member| self.names.get(&member.id.name).copied())
            .chain([by])
            .collect()
    }

    pub fn quorum_view(&self, by: usize) -> Option<QuorumView> {
        self.groups[by]
            .as_ref()
            .map(|group| group.view().quorum_view)
    }

    /// What is wrong in the views, if anything: each of those alive sees just those who are.
    pub fn wrong(&self) -> Option<String> {
        let alive = self.alive();
        let mut digests = BTreeSet::new();
        let mut left: BTreeMap<usize, BTreeSet<MemberState>> = BTreeMap::new();
        for &by in &alive {
            let sees = self.sees(by);
            if sees != alive {
                let missing: Vec<&usize> = alive.difference(&sees).collect();
                let surplus: Vec<&usize> = sees.difference(&alive).collect();
                return Some(format!(
                    "{by} misses {missing:?} and sees {surplus:?} at {:.1} s",
                    self.age()
                ));
            }
            if let Some(group) = &self.groups[by] {
                let view = group.view();
                digests.insert(view.digest);
                for member in &view.members {
                    let of = self.names[&member.id.name];
                    if self.left.contains(&of) {
                        left.entry(of).or_default().insert(member.state);
                    }
                }
            }
        }
        // The last word of one who left in the middle of a cut may be lost; all know it, or nobody does.
        if let Some((of, states)) = left.iter().find(|(_, states)| states.len() > 1) {
            return Some(format!(
                "{of}, who left, is taken for {states:?} at {:.1} s",
                self.age()
            ));
        }
        (digests.len() > 1)
            .then(|| format!("{} views differ at {:.1} s", digests.len(), self.age()))
    }

    /// Plays on until all views are right, and says after how many seconds; `Err` with what is wrong at the end.
    pub fn settle(&mut self, within: f64) -> Result<f64, String> {
        let from = self.age();
        loop {
            let Some(wrong) = self.wrong() else {
                return Ok(self.age() - from);
            };
            if self.age() - from >= within {
                return Err(wrong);
            }
            self.play(self.age() + 0.25);
        }
    }

    /// Who was told to have failed, by whom, from a moment on.
    pub fn failures(&self, from: f64) -> Vec<&Seen> {
        self.seen
            .iter()
            .filter(|seen| seen.at >= from && seen.state == MemberState::Failed)
            .collect()
    }
}
