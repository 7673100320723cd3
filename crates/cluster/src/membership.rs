//! One coordinator's part in its group: datagrams and time in, datagrams and changes out.

use crate::datagram::{self, Message, MAX_SWIM_BYTES};
use crate::errors::{DatagramError, DATAGRAM_ERRORS};
use crate::gossip_state::{GossipEntry, GossipState, GossipValue, Phase, MAX_REPORTED_OUTLIERS};
use crate::local_health::{HealthEvidence, LocalHealth};
use crate::message_filter::{FilterError, FilteringCodec, MessageFilter};
use crate::model::{ClusterView, Member, MemberId, MemberState, NameHash, QuorumView};
use cairnroad_types::Time;
use foca::{
    BroadcastHandler, Foca, Identity, Invalidates, Notification, PeriodicParams, Runtime, Timer,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

/// Most members that are kept in mind, gone ones included: a group's names and as many lives as change in an hour.
pub const MAX_MEMBERS: usize = 8_192;
/// How often [`Membership::tick`] is to be called, in seconds.
pub const TICK_INTERVAL: f64 = 0.1;
/// A tick that comes so much later, in seconds, tells that this process was stopped or starved.
pub const PAUSE_THRESHOLD: f64 = 0.5;
/// One member is probed in this time.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// How long a direct answer may take; the rest of the period is for the ways around.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// A suspected member has so many periods to refute it, for each factor ten in the group's size.
const SUSPICION_PERIODS: f64 = 4.0;
/// How often news is passed on, and to how many.
const GOSSIP: (Duration, usize) = (Duration::from_millis(200), 3);
/// How often each passes a piece of news on. With a fifth of all datagrams paused_for, and each in a group of 12 telling 5 times,
/// one in forty who were suspected did not hear of it in time to refute it.
const TRANSMISSIONS: u8 = 15;
/// How often somebody who is there is asked for everybody.
const ANNOUNCE: (Duration, usize) = (Duration::from_secs(10), 1);
/// How often those who have failed are looked for: so a cut heals, and one in futile_rejoins costs a datagram a second.
const ANNOUNCE_TO_FAILED: (Duration, usize) = (Duration::from_secs(2), 2);
/// How long the dead are remembered: longer than any old word about them lives.
const FAILED_MEMBER_RETENTION: Duration = Duration::from_secs(3600);
/// How often seeds are asked who they are while nobody is there, in seconds.
const REJOIN_INTERVAL_ALONE: f64 = 1.0;
/// How often they are while part of the group is missing, in seconds: the others may know only each other.
const REJOIN_INTERVAL_PARTIAL: f64 = 10.0;
/// Seeds that are asked at a time.
const SEEDS_PER_ATTEMPT: usize = 3;
/// How often facts are compared with somebody, in seconds.
const ANTI_ENTROPY_INTERVAL: f64 = 5.0;
/// The first comparison after this one came (back) to the others.
const ANTI_ENTROPY_DELAY_AFTER_JOIN: f64 = 0.3;
/// Most facts in one datagram, and most datagrams of facts in one answer.
const ENTRIES_PER_DATAGRAM: usize = 6;
const MAX_DATAGRAMS_PER_REPLY: usize = 12;
/// How often suspicions are looked at, and old facts forgotten, in seconds.
const MEMBER_SCAN_INTERVAL: f64 = 0.5;
/// So many are asked whether they hear this one once a probe was not answered, and have so long to say so, in seconds.
const REACHABILITY_QUERIES: usize = 5;
const REACHABILITY_TIMEOUT: f64 = 0.9;
/// A return so soon after another, in seconds, shows that the other came to nothing; after so many in a row somebody else
/// may bear this one's name.
const FUTILE_REJOIN_WINDOW: f64 = 2.0;
const MAX_FUTILE_REJOINS: u32 = 2;
/// A later process under this one's name is asked so often, this long apart, whether it is alive.
const MAX_CHALLENGES: u32 = 4;
const CHALLENGE_INTERVAL: f64 = 0.5;
/// One that was replaced asks again after so many seconds.
const CHALLENGE_INTERVAL_REPLACED: f64 = 5.0;

/// What a coordinator is in its group.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The name of the cluster: two that differ never merge.
    pub cluster: String,
    /// The coordinator's name.
    pub name: String,
    /// The room that it stands in.
    pub room: String,
    /// What it offers to others.
    pub offers: Vec<String>,
    /// Where its datagrams are swim_output.
    pub address: SocketAddr,
    /// When the process started, in Unix milliseconds.
    pub generation: u64,
    /// The names of the configured group.
    pub group: BTreeSet<String>,
    /// Where others may be found at first.
    pub seeds: Vec<SocketAddr>,
    /// The only source of random.
    pub seed: u64,
}

/// What is to be done, or has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    SendDatagram {
        /// Where to.
        to: SocketAddr,
        /// The whole of it.
        bytes: Vec<u8>,
    },
    /// A member's state changed. Its name may not be spelt out yet.
    MemberChanged {
        /// Which one.
        id: MemberId,
        /// Its name, if its card has come.
        name: Option<String>,
        /// Its state now.
        state: MemberState,
    },
    /// Another life took a member's place under its name.
    Replaced {
        /// The earlier one.
        earlier: MemberId,
        /// The later one.
        later: MemberId,
    },
    /// The quorum_view changed.
    QuorumChanged(QuorumView),
    /// Others had declared this coordinator failed, or it could not know; it came back.
    Rejoined,
    /// This process did not run for so many seconds.
    Paused(f64),
}

/// Takes what the library says; carried out afterwards, since a datagram needs the view in its head.
#[derive(Default)]
struct SwimOutput {
    sends: Vec<(MemberId, Vec<u8>)>,
    timers: Vec<(Timer<MemberId>, Duration)>,
    events: Vec<SwimEvent>,
}

enum SwimEvent {
    Up(MemberId),
    Down(MemberId),
    Renamed(MemberId, MemberId),
    Active,
    Idle,
    Rejoined,
    Defunct,
    ProbeFailed,
}

impl Runtime<MemberId> for SwimOutput {
    fn notify(&mut self, notification: Notification<'_, MemberId>) {
        self.events.extend(match notification {
            Notification::MemberUp(id) => Some(SwimEvent::Up(*id)),
            Notification::MemberDown(id) => Some(SwimEvent::Down(*id)),
            Notification::Rename(before, after) => Some(SwimEvent::Renamed(*before, *after)),
            Notification::Active => Some(SwimEvent::Active),
            Notification::Idle => Some(SwimEvent::Idle),
            Notification::Defunct => Some(SwimEvent::Defunct),
            Notification::Rejoin(_) => Some(SwimEvent::Rejoined),
            Notification::ProbeFailed(..) => Some(SwimEvent::ProbeFailed),
            _ => None,
        });
    }

    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<MemberId>, after: Duration) {
        self.timers.push((event, after));
    }
}

impl Identity for MemberId {
    type Addr = NameHash;

    fn renew(&self) -> Option<MemberId> {
        Some(MemberId {
            rejoins: self.rejoins.checked_add(1)?,
            ..*self
        })
    }

    fn addr(&self) -> NameHash {
        self.name
    }

    fn win_addr_conflict(&self, adversary: &MemberId) -> bool {
        self.supersedes(adversary)
    }
}

/// The library's view of the facts: what is news is passed on.
struct GossipBroadcast {
    gossip: Rc<RefCell<GossipState>>,
    now: Rc<Cell<Time>>,
}

/// Which fact a message that is still being passed on tells.
struct BroadcastKey((NameHash, u8));

impl Invalidates for BroadcastKey {
    fn invalidates(&self, other: &BroadcastKey) -> bool {
        self.0 == other.0
    }
}

impl BroadcastHandler<MemberId> for GossipBroadcast {
    type Key = BroadcastKey;
    type Error = FilterError;

    fn receive_item(
        &mut self,
        data: &[u8],
        _: Option<&MemberId>,
    ) -> Result<Option<BroadcastKey>, FilterError> {
        let entry: GossipEntry = postcard::from_bytes(data)?;
        let key = entry.key();
        Ok(self
            .gossip
            .borrow_mut()
            .merge(self.now.get(), entry)
            .then_some(BroadcastKey(key)))
    }
}

type Swim = Foca<MemberId, FilteringCodec, StdRng, GossipBroadcast>;

/// One that bears this one's name and is later: whether it is alive is being found out.
struct AddressChallenge {
    whom: MemberId,
    asked: u32,
    next: Time,
}

/// One coordinator's part in its group.
pub struct Membership {
    setup: MembershipConfig,
    voters: BTreeSet<NameHash>,
    local: MemberId,
    swim: Swim,
    observed: Rc<RefCell<MessageFilter>>,
    gossip: Rc<RefCell<GossipState>>,
    /// The time that counts here: it stands still while this process does not run.
    now: Rc<Cell<Time>>,
    paused_for: f64,
    last_tick: Option<Time>,
    random: StdRng,
    timers: BTreeMap<(Time, u64), Timer<MemberId>>,
    timer: u64,
    members: BTreeMap<NameHash, Member>,
    gossip_version: u32,
    published: BTreeMap<u8, GossipValue>,
    health: LocalHealth,
    incarnation: u16,
    /// A probe was not answered; others are asked whether they hear this one at all, up to this moment.
    reachability_deadline: Option<Time>,
    /// Nobody has shown yet that it knows this life of this coordinator.
    awaiting_confirmation: bool,
    /// When it last last_rejoin, and how many returns before that came to nothing.
    last_rejoin: Time,
    futile_rejoins: u32,
    challenge: Option<AddressChallenge>,
    replaced: bool,
    left: bool,
    epoch: u64,
    heard_epoch: u64,
    digest: u64,
    peer_digests: BTreeMap<NameHash, u64>,
    quorum_view: QuorumView,
    next_seed_contact: Time,
    next_anti_entropy: Time,
    next_member_scan: Time,
    dropped: [u64; DATAGRAM_ERRORS.len()],
}

/// How long a suspected member has in a group of this size.
fn suspicion_timeout(size: usize) -> f64 {
    let digits = (size.max(1) as f64).log10().max(1.0);
    SUSPICION_PERIODS * digits * PROBE_PERIOD.as_secs_f64()
}

fn swim_config(size: usize) -> foca::Config {
    let many = |number: usize| NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN);
    let every = |(frequency, number): (Duration, usize)| {
        Some(PeriodicParams {
            frequency,
            num_members: many(number),
        })
    };
    let size_or_one = NonZeroU32::new(size as u32).unwrap_or(NonZeroU32::MIN);
    foca::Config {
        probe_period: PROBE_PERIOD,
        probe_rtt: PROBE_TIMEOUT,
        max_transmissions: NonZeroU8::new(TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_secs_f64(suspicion_timeout(size)),
        remove_down_after: Some(FAILED_MEMBER_RETENTION),
        max_packet_size: many(MAX_SWIM_BYTES),
        notify_down_members: true,
        periodic_announce: every(ANNOUNCE),
        periodic_announce_to_down_members: every(ANNOUNCE_TO_FAILED),
        periodic_gossip: every(GOSSIP),
        ..foca::Config::new_lan(size_or_one)
    }
}

impl Membership {
    /// A coordinator that knows its setup and nothing else. It is alone until the first [`Membership::tick`]s have found others.
    pub fn new(setup: MembershipConfig, now: Time) -> Membership {
        let name = NameHash::of(&setup.name);
        let own = MemberId {
            name,
            generation: setup.generation,
            rejoins: 0,
            address: setup.address,
        };
        let observed = Rc::new(RefCell::new(MessageFilter::new(own)));
        let gossip: Rc<RefCell<GossipState>> = Rc::default();
        let local = Rc::new(Cell::new(now));
        let mut random = StdRng::seed_from_u64(setup.seed);
        let swim = Self::build_swim(&setup, own, &observed, &gossip, &local, random.random());
        let voters = setup.group.iter().map(|name| NameHash::of(name)).collect();
        let mut group = Membership {
            voters,
            local: own,
            swim,
            observed,
            gossip,
            now: local,
            paused_for: 0.0,
            last_tick: None,
            random,
            timers: BTreeMap::new(),
            timer: 0,
            members: BTreeMap::new(),
            gossip_version: 0,
            published: BTreeMap::new(),
            health: LocalHealth::default(),
            incarnation: 0,
            reachability_deadline: None,
            awaiting_confirmation: false,
            last_rejoin: now,
            futile_rejoins: 0,
            challenge: None,
            replaced: false,
            left: false,
            epoch: 1,
            heard_epoch: 0,
            digest: own.digest(),
            peer_digests: BTreeMap::new(),
            quorum_view: QuorumView::Isolated,
            next_seed_contact: now,
            next_anti_entropy: now + ANTI_ENTROPY_INTERVAL,
            next_member_scan: now + MEMBER_SCAN_INTERVAL,
            dropped: [0; DATAGRAM_ERRORS.len()],
            setup,
        };
        let MembershipConfig {
            name, room, offers, ..
        } = group.setup.clone();
        group.publish_entry(GossipValue::Description { name, room, offers });
        group.publish_entry(GossipValue::Phase(Phase::Starting));
        group.quorum_view = group.evaluate_quorum();
        group
    }

    fn build_swim(
        setup: &MembershipConfig,
        own: MemberId,
        observed: &Rc<RefCell<MessageFilter>>,
        gossip: &Rc<RefCell<GossipState>>,
        now: &Rc<Cell<Time>>,
        seed: u64,
    ) -> Swim {
        let spread = GossipBroadcast {
            gossip: gossip.clone(),
            now: now.clone(),
        };
        let config = swim_config(setup.group.len());
        Foca::with_custom_broadcast(
            own,
            config,
            StdRng::seed_from_u64(seed),
            FilteringCodec(observed.clone()),
            spread,
        )
    }

    // ---- What comes in ------------------------------------------------------------------------------------

    /// A datagram came. After a stop, all that waits is to be given here before the next [`Membership::tick`].
    pub fn on_datagram(&mut self, now: Time, bytes: &[u8], out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        self.set_clock(now);
        if let Err(cause) = self.handle_message(bytes, out) {
            let place = DATAGRAM_ERRORS.iter().position(|other| *other == cause);
            place.into_iter().for_each(|place| self.dropped[place] += 1);
        }
        self.update_status(out);
    }

    fn handle_message(&mut self, bytes: &[u8], out: &mut Vec<Output>) -> Result<(), DatagramError> {
        match datagram::decode(&self.setup.cluster, bytes)? {
            Message::Swim {
                epoch,
                digest,
                from,
                bytes,
            } => {
                if self.replaced {
                    return Ok(());
                }
                let mut swim_output = SwimOutput::default();
                let result = self.swim.handle_data(&bytes, &mut swim_output);
                self.carry_out(swim_output, out);
                result.map_err(|cause| match cause {
                    foca::Error::DataFromOurselves | foca::Error::IndirectForOurselves => {
                        DatagramError::Misdirected
                    }
                    _ if self.observed.borrow().is_full() => DatagramError::TooManyMembers,
                    _ => DatagramError::Malformed,
                })?;
                if self
                    .members
                    .get(&from)
                    .is_some_and(|member| member.state.is_live())
                {
                    self.heard_epoch = self.heard_epoch.max(epoch);
                    self.peer_digests.insert(from, digest);
                    if digest == self.digest {
                        self.epoch = self.epoch.max(epoch);
                    }
                }
                Ok(())
            }
            Message::IdentityQuery {
                from: asker,
                subject: whom,
            } => {
                let known = match whom.name {
                    name if name == self.local.name || name == NameHash(0) => {
                        Some(self.local).filter(|_| !self.replaced)
                    }
                    name => self.members.get(&name).map(|member| member.id),
                };
                if let Some(known) =
                    known.filter(|known| known.name != asker.name || *known != asker)
                {
                    let itself = known.name == self.local.name;
                    self.send(
                        asker.address,
                        &Message::IdentityReply {
                            subject: known,
                            from_subject: itself,
                        },
                        out,
                    );
                }
                Ok(())
            }
            Message::IdentityReply {
                subject: whom,
                from_subject: itself,
            } => {
                self.on_identity_reply(whom, itself, out);
                Ok(())
            }
            Message::Digests {
                from: sender,
                digests,
                is_reply,
            } => {
                if !self.knows(&sender) {
                    return Err(DatagramError::Misdirected);
                }
                let entries = self.gossip.borrow().entries_differing_from(&digests);
                for entries in entries
                    .chunks(ENTRIES_PER_DATAGRAM)
                    .take(MAX_DATAGRAMS_PER_REPLY)
                {
                    self.send(
                        sender.address,
                        &Message::GossipEntries(entries.to_vec()),
                        out,
                    );
                }
                if !is_reply {
                    self.send_digests(sender.address, true, out);
                }
                Ok(())
            }
            Message::GossipEntries(entries) => {
                // News is passed on as if it were this one's own word: others were cut off from it, too.
                for entry in entries {
                    let Ok(bytes) = postcard::to_allocvec(&entry) else {
                        continue;
                    };
                    let _ = self.swim.add_broadcast(&bytes);
                }
                Ok(())
            }
        }
    }

    /// Somebody says who it is, or who is known under a name.
    fn on_identity_reply(&mut self, whom: MemberId, itself: bool, out: &mut Vec<Output>) {
        if whom.name != self.local.name {
            // Whoever answers hears this one.
            self.reachability_deadline = self.reachability_deadline.filter(|_| !itself);
            if !self.replaced && !self.knows(&whom) {
                let mut swim_output = SwimOutput::default();
                let _ = self.swim.announce(whom, &mut swim_output);
                self.carry_out(swim_output, out);
            }
        } else if whom.supersedes(&self.local) {
            // Its own word settles it; another's may be about one that has ended since.
            let asked = self
                .challenge
                .as_ref()
                .is_some_and(|challenge| challenge.asked > 0);
            if itself && asked {
                self.yield_name(whom, out);
            } else {
                self.observed.borrow_mut().newer_process = Some(whom);
            }
        }
    }

    /// Time passes. To be called every [`TICK_INTERVAL`].
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.left {
            return;
        }
        let gap = self
            .last_tick
            .replace(now)
            .map_or(0.0, |last_tick| now - last_tick);
        if gap > PAUSE_THRESHOLD {
            self.on_pause(gap, out);
        }
        self.set_clock(now);
        let local = self.now.get();
        while let Some(entry) = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= local)
        {
            let timer = entry.remove();
            if let Timer::RemoveDown(id) = &timer {
                // One that came back under a later number since is not meant.
                let gone = |member: &Member| member.id == *id && !member.state.is_live();
                if self.members.get(&id.name).is_some_and(gone) {
                    self.observed.borrow_mut().forget(id);
                    self.members.remove(&id.name);
                }
            }
            let mut swim_output = SwimOutput::default();
            // An error tells of a cycle that a return has cut short; the library goes on.
            let _ = self.swim.handle_timer(timer, &mut swim_output);
            self.carry_out(swim_output, out);
        }
        self.advance_challenge(out);
        if self
            .reachability_deadline
            .is_some_and(|until| local >= until)
        {
            self.reachability_deadline = None;
            self.health.record(HealthEvidence::Unreachable);
        }
        if local >= self.next_seed_contact && !self.replaced {
            self.contact_seeds(out);
        }
        if local >= self.next_anti_entropy && !self.replaced {
            self.next_anti_entropy =
                local + ANTI_ENTROPY_INTERVAL * (0.75 + 0.5 * self.random.random::<f64>());
            let there: Vec<SocketAddr> = self
                .live_members()
                .map(|member| member.id.address)
                .collect();
            if !there.is_empty() {
                let to = there[self.random.random_range(0..there.len())];
                self.send_digests(to, false, out);
            }
        }
        if local >= self.next_member_scan {
            self.next_member_scan = local + MEMBER_SCAN_INTERVAL;
            self.refresh_members(out);
        }
        self.update_status(out);
    }

    /// Tells the others something of this coordinator.
    pub fn publish(&mut self, now: Time, what: GossipValue) {
        if self.left {
            return;
        }
        self.set_clock(now);
        let what = match what {
            GossipValue::Outliers(mut ids) => {
                ids.truncate(MAX_REPORTED_OUTLIERS);
                GossipValue::Outliers(ids)
            }
            what => what,
        };
        self.publish_entry(what);
    }

    /// Leaves by its own word: the others know that it has not failed.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.left || self.replaced {
            return;
        }
        self.publish(
            now,
            GossipValue::Departure {
                at_ms: (now.0 / 1_000) as u64,
            },
        );
        let mut swim_output = SwimOutput::default();
        let _ = self.swim.broadcast(&mut swim_output);
        let _ = self.swim.leave_cluster(&mut swim_output);
        self.left = true;
        self.carry_out(swim_output, out);
    }

    // ---- What is told -------------------------------------------------------------------------------------

    /// What this coordinator sees.
    pub fn view(&self) -> ClusterView {
        let peer_digests = self.peer_digests.values();
        let agree = peer_digests
            .clone()
            .filter(|digest| **digest == self.digest)
            .count();
        ClusterView {
            epoch: self.epoch,
            digest: self.digest,
            local: self.local,
            quorum_view: self.quorum_view,
            health_score: self.health.score(),
            replaced_by: self
                .challenge
                .as_ref()
                .map(|challenge| challenge.whom)
                .filter(|_| self.replaced),
            agreeing: agree,
            differing: peer_digests.len() - agree,
            members: self.members.values().cloned().collect(),
        }
    }

    /// The data nodes that others doubt, and how many do. Empty where they may not be heeded.
    pub fn outlier_reports(&self) -> BTreeMap<String, usize> {
        if !crate::model::is_allowed(self.quorum_view, crate::model::ClusterAction::UseAdvice) {
            return BTreeMap::new();
        }
        let gossip = self.gossip.borrow();
        let reports = gossip.outlier_reports(self.now.get(), self.local.name);
        reports
            .into_iter()
            .map(|(id, count)| (id.to_string(), count))
            .collect()
    }

    /// What is known of a member: its name, room and offers, and what it is doing.
    pub fn gossip_of<T>(
        &self,
        id: &MemberId,
        read: impl FnOnce(Option<(&str, &str, &[String])>, Option<Phase>) -> T,
    ) -> T {
        let gossip = self.gossip.borrow();
        read(
            gossip.description(id.name),
            gossip.phase(id.name, id.generation),
        )
    }

    /// How many datagrams were dropped, by cause.
    pub fn dropped(&self) -> impl Iterator<Item = (DatagramError, u64)> + '_ {
        DATAGRAM_ERRORS
            .iter()
            .copied()
            .zip(self.dropped.iter().copied())
    }

    // ---- The clock ----------------------------------------------------------------------------------------

    fn set_clock(&mut self, now: Time) {
        // What is not known yet of a stop, the next tick tells; until then time stands still.
        let late = self
            .last_tick
            .is_some_and(|last_tick| now - last_tick > PAUSE_THRESHOLD);
        if !late {
            self.now.set(self.now.get().max(now + -self.paused_for));
        }
    }

    /// This process was stopped or starved. Its clock stood still, so no suspicion ripens by time in which the
    /// refutation could not be read; and it trusts itself less.
    fn on_pause(&mut self, gap: f64, out: &mut Vec<Output>) {
        self.paused_for += gap - TICK_INTERVAL;
        self.health.record(HealthEvidence::Paused);
        out.push(Output::Paused(gap));
        // By now the others have declared it failed.
        if gap > suspicion_timeout(self.setup.group.len()) + 2.0 * PROBE_PERIOD.as_secs_f64()
            && !self.replaced
        {
            self.restart(self.local.renew(), out);
        }
    }

    // ---- What the library says ----------------------------------------------------------------------------

    fn carry_out(&mut self, swim_output: SwimOutput, out: &mut Vec<Output>) {
        for (timer, after) in swim_output.timers {
            // Only what ends in a verdict on others is stretched by doubt.
            let stretch = match timer {
                Timer::SendIndirectProbe { .. }
                | Timer::ProbeRandomMember(_)
                | Timer::ChangeSuspectToDown { .. } => self.health.timeout_multiplier(),
                _ => 1,
            };
            self.timer += 1;
            let due = self.now.get() + after.as_secs_f64() * f64::from(stretch);
            self.timers.insert((due, self.timer), timer);
        }
        for event in swim_output.events {
            self.on_swim_event(event, out);
        }
        for (to, bytes) in swim_output.sends {
            let (epoch, digest, from) = (self.epoch, self.digest, self.local.name);
            self.send(
                to.address,
                &Message::Swim {
                    epoch,
                    digest,
                    from,
                    bytes,
                },
                out,
            );
        }
    }

    fn on_swim_event(&mut self, event: SwimEvent, out: &mut Vec<Output>) {
        match event {
            SwimEvent::Up(id) => self.set_member_state(id, MemberState::Alive, out),
            SwimEvent::Down(id) => {
                let left = self.gossip.borrow().has_left(id.name, id.generation);
                self.set_member_state(
                    id,
                    if left {
                        MemberState::Left
                    } else {
                        MemberState::Failed
                    },
                    out,
                );
            }
            SwimEvent::Renamed(earlier, later) => {
                if let Some(member) = self.members.get_mut(&later.name) {
                    if member.state.is_live() {
                        // It goes on under a new life, as the library says nothing more of it.
                        self.digest ^= member.id.digest() ^ later.digest();
                        self.epoch = self.epoch.max(self.heard_epoch) + 1;
                    }
                    member.id = later;
                }
                if later.is_another_process(&earlier) {
                    out.push(Output::Replaced { earlier, later });
                }
            }
            SwimEvent::Active => {
                self.awaiting_confirmation = false;
                self.next_anti_entropy = self.now.get() + ANTI_ENTROPY_DELAY_AFTER_JOIN;
            }
            SwimEvent::Idle => self.next_seed_contact = self.now.get(),
            SwimEvent::Rejoined => {
                self.adopt_identity(*self.swim.identity());
                let now = self.now.get();
                self.futile_rejoins = if now - self.last_rejoin < FUTILE_REJOIN_WINDOW {
                    self.futile_rejoins + 1
                } else {
                    0
                };
                self.last_rejoin = now;
                out.push(Output::Rejoined);
            }
            SwimEvent::Defunct if self.left => {}
            // Output of numbers to return under: a later life begins.
            SwimEvent::Defunct => self.begin_generation(self.local.generation + 1, out),
            SwimEvent::ProbeFailed => self.query_reachability(out),
        }
    }

    /// Notes a member's state.
    fn set_member_state(&mut self, id: MemberId, state: MemberState, out: &mut Vec<Output>) {
        if id.name == self.local.name {
            return;
        }
        let since = self.now.get();
        let before = self.members.insert(
            id.name,
            Member {
                id,
                state,
                since,
                incarnation: 0,
            },
        );
        let was = before
            .filter(|before| before.state.is_live())
            .map_or(0, |before| before.id.digest());
        self.digest ^= was ^ if state.is_live() { id.digest() } else { 0 };
        self.epoch = self.epoch.max(self.heard_epoch) + 1;
        self.gossip
            .borrow_mut()
            .mark_presence(since, id.name, state.is_live());
        if !state.is_live() {
            self.peer_digests.remove(&id.name);
        }
        let name = self
            .gossip
            .borrow()
            .description(id.name)
            .map(|card| card.0.to_string());
        out.push(Output::MemberChanged { id, name, state });
    }

    /// Looks at suspicions, of which the library says nothing, at last words that came late, and at old facts.
    fn refresh_members(&mut self, out: &mut Vec<Output>) {
        let now = self.now.get();
        for member in self.swim.iter_members() {
            let Some(known) = self.members.get_mut(&member.id().name) else {
                continue;
            };
            let state = match member.state() {
                foca::State::Suspect => MemberState::Suspected,
                _ => MemberState::Alive,
            };
            known.incarnation = member.incarnation();
            if known.state.is_live() && known.state != state {
                (known.state, known.since) = (state, now);
                let name = self
                    .gossip
                    .borrow()
                    .description(known.id.name)
                    .map(|card| card.0.to_string());
                out.push(Output::MemberChanged {
                    id: known.id,
                    name,
                    state,
                });
            }
        }
        for known in self
            .members
            .values_mut()
            .filter(|known| known.state == MemberState::Failed)
        {
            let gossip = self.gossip.borrow();
            if gossip.has_left(known.id.name, known.id.generation) {
                known.state = MemberState::Left;
                let name = gossip
                    .description(known.id.name)
                    .map(|card| card.0.to_string());
                out.push(Output::MemberChanged {
                    id: known.id,
                    name,
                    state: MemberState::Left,
                });
            }
        }
        self.gossip.borrow_mut().remove_expired(now);
    }

    /// What follows whatever was handled.
    fn update_status(&mut self, out: &mut Vec<Output>) {
        let incarnation = self.observed.borrow().local_incarnation;
        if incarnation > self.incarnation {
            self.health.record(HealthEvidence::Suspected);
        }
        self.incarnation = incarnation;
        let probe_acks = std::mem::take(&mut self.observed.borrow_mut().probe_acks);
        (0..probe_acks).for_each(|_| self.health.record(HealthEvidence::ProbeAnswered));
        let superseded = self.observed.borrow_mut().newer_process.take();
        if let Some(whom) =
            superseded.filter(|whom| whom.supersedes(&self.local) && self.challenge.is_none())
        {
            self.challenge = Some(AddressChallenge {
                whom,
                asked: 0,
                next: self.now.get(),
            });
        }
        // Others keep declaring it failed: there may be a later life under its name, or have been.
        if self.futile_rejoins >= MAX_FUTILE_REJOINS {
            self.futile_rejoins = 0;
            self.query_own_name(out);
        }
        let quorum_view = self.evaluate_quorum();
        if quorum_view != self.quorum_view {
            self.quorum_view = quorum_view;
            out.push(Output::QuorumChanged(quorum_view));
        }
    }

    fn evaluate_quorum(&self) -> QuorumView {
        if self.replaced || self.awaiting_confirmation {
            return QuorumView::Isolated;
        }
        let own = usize::from(self.voters.contains(&self.local.name));
        let others = self
            .live_members()
            .filter(|member| self.voters.contains(&member.id.name))
            .count();
        let quorum_view = QuorumView::from_counts(own + others, self.voters.len());
        if self.health.is_degraded() {
            quorum_view.min(QuorumView::Minority)
        } else {
            quorum_view
        }
    }

    fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.state.is_live())
    }

    fn knows(&self, id: &MemberId) -> bool {
        self.members
            .get(&id.name)
            .is_some_and(|member| member.id == *id && member.state.is_live())
    }

    // ---- Lives --------------------------------------------------------------------------------------------

    fn adopt_identity(&mut self, own: MemberId) {
        self.digest ^= self.local.digest() ^ own.digest();
        self.local = own;
        self.observed.borrow_mut().local = own;
        self.epoch = self.epoch.max(self.heard_epoch) + 1;
    }

    /// Begins anew with nobody known to be there, and looks for those who were.
    fn restart(&mut self, own: Option<MemberId>, out: &mut Vec<Output>) {
        let own = own.unwrap_or(MemberId {
            generation: self.local.generation + 1,
            rejoins: 0,
            ..self.local
        });
        self.adopt_identity(own);
        let known: Vec<MemberId> = self.live_members().map(|member| member.id).collect();
        let seed = self.random.random();
        self.swim = Self::build_swim(
            &self.setup,
            own,
            &self.observed,
            &self.gossip,
            &self.now,
            seed,
        );
        self.timers.clear();
        self.members.clear();
        self.peer_digests.clear();
        (self.digest, self.incarnation) = (own.digest(), 0);
        self.awaiting_confirmation = self.voters.len() > 1;
        for id in &known {
            self.gossip
                .borrow_mut()
                .mark_presence(self.now.get(), id.name, false);
        }
        out.push(Output::Rejoined);
        let mut swim_output = SwimOutput::default();
        for _ in 0..SEEDS_PER_ATTEMPT.min(known.len()) {
            let id = known[self.random.random_range(0..known.len())];
            let _ = self.swim.announce(id, &mut swim_output);
        }
        self.carry_out(swim_output, out);
        self.next_seed_contact = self.now.get();
        for what in self.published.clone().into_values() {
            self.publish_entry(what);
        }
    }

    fn begin_generation(&mut self, generation: u64, out: &mut Vec<Output>) {
        self.gossip_version = 0;
        self.restart(
            Some(MemberId {
                generation,
                rejoins: 0,
                ..self.local
            }),
            out,
        );
    }

    /// Another process has this one's place: it says nothing more of the group until that one is gone.
    fn yield_name(&mut self, whom: MemberId, out: &mut Vec<Output>) {
        let now = self.now.get();
        if !self.replaced {
            self.replaced = true;
            self.timers.clear();
            self.members.clear();
            self.peer_digests.clear();
            self.digest = self.local.digest();
            self.epoch = self.epoch.max(self.heard_epoch) + 1;
            out.push(Output::Replaced {
                earlier: self.local,
                later: whom,
            });
        }
        self.challenge = Some(AddressChallenge {
            whom,
            asked: 0,
            next: now + CHALLENGE_INTERVAL_REPLACED,
        });
    }

    /// Asks a later process under this one's name whether it is alive; one that does not answer has ended.
    fn advance_challenge(&mut self, out: &mut Vec<Output>) {
        let now = self.now.get();
        let Some(challenge) = self
            .challenge
            .as_mut()
            .filter(|challenge| now >= challenge.next)
        else {
            return;
        };
        let whom = challenge.whom;
        if challenge.asked < MAX_CHALLENGES && whom.address != self.local.address {
            challenge.asked += 1;
            challenge.next = now + CHALLENGE_INTERVAL;
            self.send(
                whom.address,
                &Message::IdentityQuery {
                    from: self.local,
                    subject: whom,
                },
                out,
            );
            return;
        }
        // Nobody else can be at this one's own address, so a life that was there has ended, too: its clock ran ahead.
        self.challenge = None;
        self.replaced = false;
        self.begin_generation(whom.generation.max(self.local.generation) + 1, out);
    }

    // ---- Sending ------------------------------------------------------------------------------------------

    fn send(&self, to: SocketAddr, message: &Message, out: &mut Vec<Output>) {
        if let Some(bytes) = datagram::encode(&self.setup.cluster, message) {
            out.push(Output::SendDatagram { to, bytes });
        }
    }

    fn send_digests(&self, to: SocketAddr, is_reply: bool, out: &mut Vec<Output>) {
        let digests = Box::new(self.gossip.borrow().digests());
        self.send(
            to,
            &Message::Digests {
                from: self.local,
                digests,
                is_reply,
            },
            out,
        );
    }

    /// Asks seeds who they are: often while nobody is there, now and then while somebody is missing.
    fn contact_seeds(&mut self, out: &mut Vec<Output>) {
        let alone = self.live_members().next().is_none();
        self.next_seed_contact = self.now.get()
            + if alone {
                REJOIN_INTERVAL_ALONE
            } else {
                REJOIN_INTERVAL_PARTIAL
            };
        if self.quorum_view == QuorumView::Complete || self.setup.seeds.is_empty() {
            return;
        }
        let nobody = MemberId {
            name: NameHash(0),
            ..self.local
        };
        for _ in 0..SEEDS_PER_ATTEMPT.min(self.setup.seeds.len()) {
            let seed = self.setup.seeds[self.random.random_range(0..self.setup.seeds.len())];
            if seed != self.local.address {
                self.send(
                    seed,
                    &Message::IdentityQuery {
                        from: self.local,
                        subject: nobody,
                    },
                    out,
                );
            }
        }
    }

    /// A probe was answered neither directly nor by way of others: is it they, or is this one not heard?
    fn query_reachability(&mut self, out: &mut Vec<Output>) {
        let others: Vec<SocketAddr> = self
            .live_members()
            .map(|member| member.id.address)
            .collect();
        if others.is_empty() || self.reachability_deadline.is_some() {
            return;
        }
        self.reachability_deadline = Some(self.now.get() + REACHABILITY_TIMEOUT);
        let nobody = MemberId {
            name: NameHash(0),
            ..self.local
        };
        for _ in 0..REACHABILITY_QUERIES {
            let to = others[self.random.random_range(0..others.len())];
            self.send(
                to,
                &Message::IdentityQuery {
                    from: self.local,
                    subject: nobody,
                },
                out,
            );
        }
    }

    fn query_own_name(&mut self, out: &mut Vec<Output>) {
        let mut addresses: Vec<SocketAddr> = self
            .members
            .values()
            .map(|member| member.id.address)
            .collect();
        addresses.extend(&self.setup.seeds);
        for _ in 0..SEEDS_PER_ATTEMPT.min(addresses.len()) {
            let to = addresses[self.random.random_range(0..addresses.len())];
            self.send(
                to,
                &Message::IdentityQuery {
                    from: self.local,
                    subject: self.local,
                },
                out,
            );
        }
    }

    fn publish_entry(&mut self, what: GossipValue) {
        self.gossip_version += 1;
        let entry = GossipEntry {
            writer: self.local.name,
            generation: self.local.generation,
            version: self.gossip_version,
            value: what,
        };
        self.published.insert(entry.key().1, entry.value.clone());
        self.gossip
            .borrow_mut()
            .mark_presence(self.now.get(), self.local.name, true);
        if let Ok(bytes) = postcard::to_allocvec(&entry) {
            let _ = self.swim.add_broadcast(&bytes);
        }
    }
}
