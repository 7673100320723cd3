//! Simulation of clusters on a virtual clock and an emulated network, with faults at scheduled times. Each simulated
//! member runs the production [`Membership`].
#![allow(dead_code, reason = "each test binary uses some of the helpers")]

use cairnroad_cluster::gossip_state::{GossipValue, MemberPhase};
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

/// Maximum number of datagrams that wait for a paused process; further ones are lost, as with a full socket buffer.
const MAX_WAITING_DATAGRAMS: usize = 200;

/// A fault, or the end of faults, at one point in time. Members are numbered from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// No datagram passes between these members and all others, in both directions.
    Partition(Vec<usize>),
    /// Datagrams from these members are lost; datagrams to them arrive.
    Mute(Vec<usize>),
    /// All partitions and mutes end.
    Heal,
    /// The process ends without an announcement.
    Kill(usize),
    /// A new process starts under the member's name. Its clock is ahead by `clock_skew` seconds.
    Restart { member: usize, clock_skew: f64 },
    /// The process is stopped for a number of seconds, as by SIGSTOP.
    Pause { member: usize, seconds: f64 },
    /// The process announces that it leaves, and ends.
    Leave(usize),
    /// From now on, these shares of all datagrams are lost or delivered twice.
    Loss { lost: f64, duplicated: f64 },
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

/// An event with its time. Events with equal times are handled in the order in which they were queued.
struct QueuedEvent {
    at: Time,
    sequence: u64,
    event: Event,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &QueuedEvent) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &QueuedEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, other: &QueuedEvent) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A change of a member's state, as another member reported it.
#[derive(Clone, Debug)]
pub struct MemberChange {
    /// Seconds since the start.
    pub at: f64,
    pub observer: usize,
    pub member: usize,
    pub state: MemberState,
}

/// A change of a member's quorum view.
#[derive(Clone, Debug)]
pub struct QuorumChange {
    /// Seconds since the start.
    pub at: f64,
    pub member: usize,
    pub quorum_view: QuorumView,
}

/// A paused process, and the datagrams that its socket has received since.
struct PausedProcess {
    until: Time,
    waiting: VecDeque<Vec<u8>>,
}

/// A simulated cluster whose members are numbered from 0.
pub struct Simulation {
    pub size: usize,
    pub memberships: Vec<Option<Membership>>,
    /// Members that announced that they leave and have not been restarted since.
    pub departed: BTreeSet<usize>,
    pub member_changes: Vec<MemberChange>,
    pub quorum_changes: Vec<QuorumChange>,
    pub bytes_sent: Vec<u64>,
    pub datagrams_sent: u64,
    start: Time,
    now: Time,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    last_sequence: u64,
    rng: StdRng,
    paused: BTreeMap<usize, PausedProcess>,
    partitions: Vec<BTreeSet<usize>>,
    muted: BTreeSet<usize>,
    lost_share: f64,
    duplicated_share: f64,
    names: BTreeMap<NameHash, usize>,
    seed_count: usize,
}

/// Returns the address of a member.
pub fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (member >> 8) as u8, member as u8], 4000))
}

/// Returns the number of the member at an address, see [`address`].
fn member_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            usize::from(high) << 8 | usize::from(low)
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl Simulation {
    /// Creates a cluster of `size` members that start together. The first three are the seeds.
    pub fn new(size: usize, seed: u64) -> Simulation {
        let start = Time::from_secs(1_790_000_000.0);
        let mut sim = Simulation {
            size,
            memberships: (0..size).map(|_| None).collect(),
            departed: BTreeSet::new(),
            member_changes: Vec::new(),
            quorum_changes: Vec::new(),
            bytes_sent: vec![0; size],
            datagrams_sent: 0,
            start,
            now: start,
            queue: BinaryHeap::new(),
            last_sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            paused: BTreeMap::new(),
            partitions: Vec::new(),
            muted: BTreeSet::new(),
            lost_share: 0.0,
            duplicated_share: 0.0,
            names: (0..size)
                .map(|member| (NameHash::of(&format!("n{member}")), member))
                .collect(),
            seed_count: 3.min(size),
        };
        for member in 0..size {
            sim.start_member(member, 0.0);
            let at = sim.now + sim.rng.random::<f64>() * TICK_INTERVAL;
            sim.push(at, Event::Tick(member));
        }
        sim
    }

    fn start_member(&mut self, member: usize, clock_skew: f64) {
        let config = MembershipConfig {
            cluster_name: "sim".into(),
            name: format!("n{member}"),
            room: "kita".into(),
            offers: Vec::new(),
            address: address(member),
            generation: ((self.now + clock_skew).secs() * 1e3) as u64,
            member_names: (0..self.size).map(|member| format!("n{member}")).collect(),
            seeds: (0..self.seed_count).map(address).collect(),
            random_seed: self.rng.random(),
        };
        self.departed.remove(&member);
        let mut membership = Membership::new(config, self.now);
        membership.publish(self.now, GossipValue::Phase(MemberPhase::Serving));
        self.memberships[member] = Some(membership);
    }

    fn push(&mut self, at: Time, event: Event) {
        self.last_sequence += 1;
        self.queue.push(Reverse(QueuedEvent {
            at,
            sequence: self.last_sequence,
            event,
        }));
    }

    /// Returns the simulated seconds since the start.
    pub fn elapsed(&self) -> f64 {
        self.now - self.start
    }

    /// Schedules a fault at a time in seconds after the start.
    pub fn schedule_fault(&mut self, at: f64, fault: Fault) {
        self.push(self.start + at, Event::Fault(fault));
    }

    /// Runs the simulation until a time in seconds after the start.
    pub fn run_until(&mut self, until: f64) {
        let end = self.start + until;
        while self
            .queue
            .peek()
            .is_some_and(|Reverse(queued)| queued.at <= end)
        {
            let Some(Reverse(QueuedEvent { at, event, .. })) = self.queue.pop() else {
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
                Event::Fault(fault) => self.inject(fault),
            }
        }
        self.now = end;
    }

    fn tick(&mut self, member: usize) {
        let is_paused = self
            .paused
            .get(&member)
            .is_some_and(|paused| paused.until > self.now);
        if is_paused {
            return;
        }
        let waiting = self.paused.remove(&member).map(|paused| paused.waiting);
        let now = self.now;
        let Some(membership) = &mut self.memberships[member] else {
            return;
        };
        let mut out = Vec::new();
        for bytes in waiting.into_iter().flatten() {
            membership.on_datagram(now, &bytes, &mut out);
        }
        membership.tick(now, &mut out);
        self.handle_outputs(member, out);
    }

    fn handle_outputs(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::SendDatagram { to, bytes } => self.send(from, to, &bytes),
                Output::MemberChanged { id, state, .. } => {
                    let Some(&member) = self.names.get(&id.name) else {
                        continue;
                    };
                    self.member_changes.push(MemberChange {
                        at: self.elapsed(),
                        observer: from,
                        member,
                        state,
                    });
                }
                Output::QuorumChanged(quorum_view) => self.quorum_changes.push(QuorumChange {
                    at: self.elapsed(),
                    member: from,
                    quorum_view,
                }),
                _ => {}
            }
        }
    }

    /// Sends a datagram through the emulated network, which delays it and may lose or duplicate it.
    fn send(&mut self, from: usize, to: SocketAddr, bytes: &[u8]) {
        self.bytes_sent[from] += bytes.len() as u64;
        self.datagrams_sent += 1;
        let copies = 1 + usize::from(self.rng.random::<f64>() < self.duplicated_share);
        for _ in 0..copies {
            if self.rng.random::<f64>() < self.lost_share {
                continue;
            }
            let at = self.now + (0.0002 + 0.003 * self.rng.random::<f64>());
            let bytes = bytes.to_vec();
            self.push(at, Event::Datagram { from, to, bytes });
        }
    }

    fn deliver(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let to = member_at(to);
        let is_partitioned = self
            .partitions
            .iter()
            .any(|side| side.contains(&from) != side.contains(&to));
        if to >= self.size || is_partitioned || self.muted.contains(&from) {
            return;
        }
        if let Some(paused) = self.paused.get_mut(&to) {
            if paused.waiting.len() < MAX_WAITING_DATAGRAMS {
                paused.waiting.push_back(bytes);
            }
            return;
        }
        let Some(membership) = &mut self.memberships[to] else {
            return;
        };
        let mut out = Vec::new();
        membership.on_datagram(self.now, &bytes, &mut out);
        self.handle_outputs(to, out);
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Partition(side) => self.partitions.push(side.into_iter().collect()),
            Fault::Mute(members) => self.muted.extend(members),
            Fault::Heal => {
                self.partitions.clear();
                self.muted.clear();
            }
            Fault::Kill(member) => {
                self.memberships[member] = None;
                self.paused.remove(&member);
            }
            Fault::Restart { member, clock_skew } => {
                self.paused.remove(&member);
                self.start_member(member, clock_skew);
            }
            Fault::Pause { member, seconds } => {
                if self.memberships[member].is_some() {
                    let until = self.now + seconds;
                    let waiting = VecDeque::new();
                    self.paused
                        .entry(member)
                        .or_insert(PausedProcess { until, waiting });
                }
            }
            Fault::Leave(member) => {
                let mut out = Vec::new();
                if let Some(membership) = &mut self.memberships[member] {
                    membership.leave(self.now, &mut out);
                    self.departed.insert(member);
                }
                self.handle_outputs(member, out);
                self.memberships[member] = None;
                self.paused.remove(&member);
            }
            Fault::Loss { lost, duplicated } => {
                self.lost_share = lost;
                self.duplicated_share = duplicated;
            }
        }
    }

    /// Returns the members whose processes run, paused ones included.
    pub fn running(&self) -> BTreeSet<usize> {
        (0..self.size)
            .filter(|member| self.memberships[*member].is_some())
            .collect()
    }

    /// Returns the members that an observer sees as live, itself included.
    pub fn live_members_seen_by(&self, observer: usize) -> BTreeSet<usize> {
        let Some(membership) = &self.memberships[observer] else {
            return BTreeSet::new();
        };
        let view = membership.view();
        let live_members = view.members.iter().filter(|member| member.state.is_live());
        live_members
            .filter_map(|member| self.names.get(&member.id.name).copied())
            .chain([observer])
            .collect()
    }

    /// Returns a member's quorum view; `None` if its process does not run.
    pub fn quorum_view(&self, member: usize) -> Option<QuorumView> {
        self.memberships[member]
            .as_ref()
            .map(|membership| membership.view().quorum_view)
    }

    /// Returns the first inconsistency of the views, if there is any. In consistent views, each running member sees
    /// exactly the running members as live, and all digests are equal.
    pub fn inconsistency(&self) -> Option<String> {
        let running = self.running();
        let mut digests = BTreeSet::new();
        let mut states_of_departed: BTreeMap<usize, BTreeSet<MemberState>> = BTreeMap::new();
        for &observer in &running {
            let live = self.live_members_seen_by(observer);
            if live != running {
                let missing: Vec<&usize> = running.difference(&live).collect();
                let surplus: Vec<&usize> = live.difference(&running).collect();
                return Some(format!(
                    "member {observer} misses running members {missing:?} and sees ended members {surplus:?} as live \
                     at {:.1} s",
                    self.elapsed()
                ));
            }
            if let Some(membership) = &self.memberships[observer] {
                let view = membership.view();
                digests.insert(view.digest);
                for member in &view.members {
                    let number = self.names[&member.id.name];
                    if self.departed.contains(&number) {
                        states_of_departed
                            .entry(number)
                            .or_default()
                            .insert(member.state);
                    }
                }
            }
        }
        // The announcement of a member that left during a partition may be lost, but then all members have to see it as
        // failed.
        let differing = states_of_departed
            .iter()
            .find(|(_, states)| states.len() > 1);
        if let Some((departed, states)) = differing {
            return Some(format!(
                "departed member {departed} is seen in different states {states:?} at {:.1} s",
                self.elapsed()
            ));
        }
        (digests.len() > 1).then(|| {
            format!(
                "{} different view digests at {:.1} s",
                digests.len(),
                self.elapsed()
            )
        })
    }

    /// Continues until all views are consistent, and returns the seconds that this took. Returns the remaining
    /// inconsistency as an error if it took `time_limit` seconds.
    pub fn run_until_consistent(&mut self, time_limit: f64) -> Result<f64, String> {
        let start = self.elapsed();
        loop {
            let Some(inconsistency) = self.inconsistency() else {
                return Ok(self.elapsed() - start);
            };
            if self.elapsed() - start >= time_limit {
                return Err(inconsistency);
            }
            self.run_until(self.elapsed() + 0.25);
        }
    }

    /// Returns the reports of failed members since a time in seconds after the start.
    pub fn failures(&self, since: f64) -> Vec<&MemberChange> {
        self.member_changes
            .iter()
            .filter(|change| change.at >= since && change.state == MemberState::Failed)
            .collect()
    }
}
