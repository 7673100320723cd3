//! One coordinator's part in its group: datagrams and time in, datagrams and changes out.

use crate::codec::{Observed, Observing, Unusable};
use crate::doubt::{Doubt, Sign};
use crate::envelope::{self, Message, MOST_SWIM};
use crate::errors::{Dropped, CAUSES};
use crate::facts::{Fact, Facts, Phase, What, MOST_DOUBTS};
use crate::model::{Id, Member, Name, Standing, State, View};
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
pub const MOST_MEMBERS: usize = 8_192;
/// How often [`Group::tick`] is to be called, in seconds.
pub const TICK: f64 = 0.1;
/// A tick that comes so much later, in seconds, tells that this process was stopped or starved.
pub const LATE: f64 = 0.5;
/// One member is probed in this time.
const PERIOD: Duration = Duration::from_secs(1);
/// How long a direct answer may take; the rest of the period is for the ways around.
const ROUND_TRIP: Duration = Duration::from_millis(300);
/// A suspected member has so many periods to refute it, for each factor ten in the group's size.
const SUSPICION_PERIODS: f64 = 4.0;
/// How often news is passed on, and to how many.
const GOSSIP: (Duration, usize) = (Duration::from_millis(200), 3);
/// How often each passes a piece of news on. With a fifth of all datagrams lost, and each in a group of 12 telling 5 times,
/// one in forty who were suspected did not hear of it in time to refute it.
const TRANSMISSIONS: u8 = 15;
/// How often somebody who is there is asked for everybody.
const ANNOUNCE: (Duration, usize) = (Duration::from_secs(10), 1);
/// How often those who have failed are looked for: so a cut heals, and one in vain costs a datagram a second.
const LOOK_FOR_FAILED: (Duration, usize) = (Duration::from_secs(2), 2);
/// How long the dead are remembered: longer than any old word about them lives.
const FORGET: Duration = Duration::from_secs(3600);
/// How often seeds are asked who they are while nobody is there, in seconds.
const KNOCK: f64 = 1.0;
/// How often they are while part of the group is missing, in seconds: the others may know only each other.
const KNOCK_SELDOM: f64 = 10.0;
/// Seeds that are asked at a time.
const KNOCKS: usize = 3;
/// How often facts are compared with somebody, in seconds.
const EXCHANGE: f64 = 5.0;
/// The first comparison after this one came (back) to the others.
const EXCHANGE_SOON: f64 = 0.3;
/// Most facts in one datagram, and most datagrams of facts in one answer.
const FACTS_A_DATAGRAM: usize = 6;
const MOST_ANSWERS: usize = 12;
/// How often suspicions are looked at, and old facts forgotten, in seconds.
const LOOK: f64 = 0.5;
/// So many are asked whether they hear this one once a probe was not answered, and have so long to say so, in seconds.
const ASK_AROUND: usize = 5;
const ASKED_AROUND: f64 = 0.9;
/// A return so soon after another, in seconds, shows that the other came to nothing; after so many in a row somebody else
/// may bear this one's name.
const VAIN: f64 = 2.0;
const MOST_VAIN: u32 = 2;
/// A later process under this one's name is asked so often, this long apart, whether it is alive.
const CHALLENGES: u32 = 4;
const CHALLENGE: f64 = 0.5;
/// One that was replaced asks again after so many seconds.
const CHALLENGE_AGAIN: f64 = 5.0;

/// What a coordinator is in its group.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The name of the cluster: two that differ never merge.
    pub cluster: String,
    /// The coordinator's name.
    pub name: String,
    /// The room that it stands in.
    pub room: String,
    /// What it offers to others.
    pub offers: Vec<String>,
    /// Where its datagrams are taken.
    pub address: SocketAddr,
    /// When the process started, in Unix milliseconds.
    pub generation: u64,
    /// The names of the configured group.
    pub group: BTreeSet<String>,
    /// Where others may be found at first.
    pub seeds: Vec<SocketAddr>,
    /// The only source of chance.
    pub seed: u64,
}

/// What is to be done, or has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The whole of it.
        bytes: Vec<u8>,
    },
    /// A member's state changed. Its name may not be spelt out yet.
    Member {
        /// Which one.
        id: Id,
        /// Its name, if its card has come.
        name: Option<String>,
        /// Its state now.
        state: State,
    },
    /// Another life took a member's place under its name.
    Replaced {
        /// The earlier one.
        earlier: Id,
        /// The later one.
        later: Id,
    },
    /// The standing changed.
    Standing(Standing),
    /// Others had declared this coordinator failed, or it could not know; it came back.
    Returned,
    /// This process did not run for so many seconds.
    Late(f64),
}

/// Takes what the library says; carried out afterwards, since a datagram needs the view in its head.
#[derive(Default)]
struct Taken {
    sends: Vec<(Id, Vec<u8>)>,
    timers: Vec<(Timer<Id>, Duration)>,
    told: Vec<Told>,
}

enum Told {
    Up(Id),
    Down(Id),
    Renamed(Id, Id),
    Active,
    Idle,
    Rejoined,
    Defunct,
    Unanswered,
}

impl Runtime<Id> for Taken {
    fn notify(&mut self, notification: Notification<'_, Id>) {
        self.told.extend(match notification {
            Notification::MemberUp(id) => Some(Told::Up(*id)),
            Notification::MemberDown(id) => Some(Told::Down(*id)),
            Notification::Rename(before, after) => Some(Told::Renamed(*before, *after)),
            Notification::Active => Some(Told::Active),
            Notification::Idle => Some(Told::Idle),
            Notification::Defunct => Some(Told::Defunct),
            Notification::Rejoin(_) => Some(Told::Rejoined),
            Notification::ProbeFailed(..) => Some(Told::Unanswered),
            _ => None,
        });
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Id>, after: Duration) {
        self.timers.push((event, after));
    }
}

impl Identity for Id {
    type Addr = Name;

    fn renew(&self) -> Option<Id> {
        Some(Id {
            returns: self.returns.checked_add(1)?,
            ..*self
        })
    }

    fn addr(&self) -> Name {
        self.name
    }

    fn win_addr_conflict(&self, adversary: &Id) -> bool {
        self.supersedes(adversary)
    }
}

/// The library's view of the facts: what is news is passed on.
struct Spread {
    facts: Rc<RefCell<Facts>>,
    now: Rc<Cell<Time>>,
}

/// Which fact a message that is still being passed on tells.
struct Telling((Name, u8));

impl Invalidates for Telling {
    fn invalidates(&self, other: &Telling) -> bool {
        self.0 == other.0
    }
}

impl BroadcastHandler<Id> for Spread {
    type Key = Telling;
    type Error = Unusable;

    fn receive_item(&mut self, data: &[u8], _: Option<&Id>) -> Result<Option<Telling>, Unusable> {
        let fact: Fact = postcard::from_bytes(data)?;
        let key = fact.key();
        Ok(self
            .facts
            .borrow_mut()
            .take(self.now.get(), fact)
            .then_some(Telling(key)))
    }
}

type Swim = Foca<Id, Observing, StdRng, Spread>;

/// One that bears this one's name and is later: whether it is alive is being found out.
struct Challenge {
    whom: Id,
    asked: u32,
    next: Time,
}

/// One coordinator's part in its group.
pub struct Group {
    setup: Setup,
    voters: BTreeSet<Name>,
    own: Id,
    swim: Swim,
    observed: Rc<RefCell<Observed>>,
    facts: Rc<RefCell<Facts>>,
    /// The time that counts here: it stands still while this process does not run.
    now: Rc<Cell<Time>>,
    lost: f64,
    ticked: Option<Time>,
    chance: StdRng,
    timers: BTreeMap<(Time, u64), Timer<Id>>,
    timer: u64,
    members: BTreeMap<Name, Member>,
    versions: u32,
    said: BTreeMap<u8, What>,
    doubt: Doubt,
    incarnation: u16,
    /// A probe was not answered; others are asked whether they hear this one at all, up to this moment.
    asked_around: Option<Time>,
    /// Nobody has shown yet that it knows this life of this coordinator.
    unproven: bool,
    /// When it last returned, and how many returns before that came to nothing.
    returned: Time,
    vain: u32,
    challenge: Option<Challenge>,
    replaced: bool,
    left: bool,
    epoch: u64,
    heard_epoch: u64,
    digest: u64,
    told: BTreeMap<Name, u64>,
    standing: Standing,
    due_knock: Time,
    due_exchange: Time,
    due_look: Time,
    dropped: [u64; CAUSES.len()],
}

/// How long a suspected member has in a group of this size.
fn suspicion(size: usize) -> f64 {
    let digits = (size.max(1) as f64).log10().max(1.0);
    SUSPICION_PERIODS * digits * PERIOD.as_secs_f64()
}

fn config(size: usize) -> foca::Config {
    let many = |number: usize| NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN);
    let every = |(frequency, number): (Duration, usize)| {
        Some(PeriodicParams {
            frequency,
            num_members: many(number),
        })
    };
    let size_or_one = NonZeroU32::new(size as u32).unwrap_or(NonZeroU32::MIN);
    foca::Config {
        probe_period: PERIOD,
        probe_rtt: ROUND_TRIP,
        max_transmissions: NonZeroU8::new(TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_secs_f64(suspicion(size)),
        remove_down_after: Some(FORGET),
        max_packet_size: many(MOST_SWIM),
        notify_down_members: true,
        periodic_announce: every(ANNOUNCE),
        periodic_announce_to_down_members: every(LOOK_FOR_FAILED),
        periodic_gossip: every(GOSSIP),
        ..foca::Config::new_lan(size_or_one)
    }
}

impl Group {
    /// A coordinator that knows its setup and nothing else. It is alone until the first [`Group::tick`]s have found others.
    pub fn new(setup: Setup, now: Time) -> Group {
        let name = Name::of(&setup.name);
        let own = Id {
            name,
            generation: setup.generation,
            returns: 0,
            address: setup.address,
        };
        let observed = Rc::new(RefCell::new(Observed::new(own)));
        let facts: Rc<RefCell<Facts>> = Rc::default();
        let local = Rc::new(Cell::new(now));
        let mut chance = StdRng::seed_from_u64(setup.seed);
        let swim = Self::library(&setup, own, &observed, &facts, &local, chance.random());
        let voters = setup.group.iter().map(|name| Name::of(name)).collect();
        let mut group = Group {
            voters,
            own,
            swim,
            observed,
            facts,
            now: local,
            lost: 0.0,
            ticked: None,
            chance,
            timers: BTreeMap::new(),
            timer: 0,
            members: BTreeMap::new(),
            versions: 0,
            said: BTreeMap::new(),
            doubt: Doubt::default(),
            incarnation: 0,
            asked_around: None,
            unproven: false,
            returned: now,
            vain: 0,
            challenge: None,
            replaced: false,
            left: false,
            epoch: 1,
            heard_epoch: 0,
            digest: own.digest(),
            told: BTreeMap::new(),
            standing: Standing::Alone,
            due_knock: now,
            due_exchange: now + EXCHANGE,
            due_look: now + LOOK,
            dropped: [0; CAUSES.len()],
            setup,
        };
        let Setup {
            name, room, offers, ..
        } = group.setup.clone();
        group.say_quietly(What::Card { name, room, offers });
        group.say_quietly(What::Phase(Phase::Starting));
        group.standing = group.reckon();
        group
    }

    fn library(
        setup: &Setup,
        own: Id,
        observed: &Rc<RefCell<Observed>>,
        facts: &Rc<RefCell<Facts>>,
        now: &Rc<Cell<Time>>,
        seed: u64,
    ) -> Swim {
        let spread = Spread {
            facts: facts.clone(),
            now: now.clone(),
        };
        let config = config(setup.group.len());
        Foca::with_custom_broadcast(
            own,
            config,
            StdRng::seed_from_u64(seed),
            Observing(observed.clone()),
            spread,
        )
    }

    // ---- What comes in ------------------------------------------------------------------------------------

    /// A datagram came. After a stop, all that waits is to be given here before the next [`Group::tick`].
    pub fn datagram(&mut self, now: Time, bytes: &[u8], out: &mut Vec<Out>) {
        if self.left {
            return;
        }
        self.set_clock(now);
        if let Err(cause) = self.take(bytes, out) {
            let place = CAUSES.iter().position(|other| *other == cause);
            place.into_iter().for_each(|place| self.dropped[place] += 1);
        }
        self.after(out);
    }

    fn take(&mut self, bytes: &[u8], out: &mut Vec<Out>) -> Result<(), Dropped> {
        match envelope::open(&self.setup.cluster, bytes)? {
            Message::Swim {
                epoch,
                digest,
                from,
                bytes,
            } => {
                if self.replaced {
                    return Ok(());
                }
                let mut taken = Taken::default();
                let result = self.swim.handle_data(&bytes, &mut taken);
                self.carry_out(taken, out);
                result.map_err(|cause| match cause {
                    foca::Error::DataFromOurselves | foca::Error::IndirectForOurselves => {
                        Dropped::Misdirected
                    }
                    _ if self.observed.borrow().is_full() => Dropped::Full,
                    _ => Dropped::Garbage,
                })?;
                if self
                    .members
                    .get(&from)
                    .is_some_and(|member| member.state.is_there())
                {
                    self.heard_epoch = self.heard_epoch.max(epoch);
                    self.told.insert(from, digest);
                    if digest == self.digest {
                        self.epoch = self.epoch.max(epoch);
                    }
                }
                Ok(())
            }
            Message::Who { from: asker, whom } => {
                let known = match whom.name {
                    name if name == self.own.name || name == Name(0) => {
                        Some(self.own).filter(|_| !self.replaced)
                    }
                    name => self.members.get(&name).map(|member| member.id),
                };
                if let Some(known) =
                    known.filter(|known| known.name != asker.name || *known != asker)
                {
                    let itself = known.name == self.own.name;
                    self.send(
                        asker.address,
                        &Message::Here {
                            whom: known,
                            itself,
                        },
                        out,
                    );
                }
                Ok(())
            }
            Message::Here { whom, itself } => {
                self.here(whom, itself, out);
                Ok(())
            }
            Message::Sums {
                from: sender,
                sums,
                last,
            } => {
                if !self.knows(&sender) {
                    return Err(Dropped::Misdirected);
                }
                let facts = self.facts.borrow().differing(&sums);
                for facts in facts.chunks(FACTS_A_DATAGRAM).take(MOST_ANSWERS) {
                    self.send(sender.address, &Message::Facts(facts.to_vec()), out);
                }
                if !last {
                    self.send_sums(sender.address, true, out);
                }
                Ok(())
            }
            Message::Facts(facts) => {
                // News is passed on as if it were this one's own word: others were cut off from it, too.
                for fact in facts {
                    let Ok(bytes) = postcard::to_allocvec(&fact) else {
                        continue;
                    };
                    let _ = self.swim.add_broadcast(&bytes);
                }
                Ok(())
            }
        }
    }

    /// Somebody says who it is, or who is known under a name.
    fn here(&mut self, whom: Id, itself: bool, out: &mut Vec<Out>) {
        if whom.name != self.own.name {
            // Whoever answers hears this one.
            self.asked_around = self.asked_around.filter(|_| !itself);
            if !self.replaced && !self.knows(&whom) {
                let mut taken = Taken::default();
                let _ = self.swim.announce(whom, &mut taken);
                self.carry_out(taken, out);
            }
        } else if whom.supersedes(&self.own) {
            // Its own word settles it; another's may be about one that has ended since.
            let asked = self
                .challenge
                .as_ref()
                .is_some_and(|challenge| challenge.asked > 0);
            if itself && asked {
                self.stand_back(whom, out);
            } else {
                self.observed.borrow_mut().superseded = Some(whom);
            }
        }
    }

    /// Time passes. To be called every [`TICK`].
    pub fn tick(&mut self, now: Time, out: &mut Vec<Out>) {
        if self.left {
            return;
        }
        let gap = self.ticked.replace(now).map_or(0.0, |ticked| now - ticked);
        if gap > LATE {
            self.was_late(gap, out);
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
                let gone = |member: &Member| member.id == *id && !member.state.is_there();
                if self.members.get(&id.name).is_some_and(gone) {
                    self.observed.borrow_mut().forget(id);
                    self.members.remove(&id.name);
                }
            }
            let mut taken = Taken::default();
            // An error tells of a cycle that a return has cut short; the library goes on.
            let _ = self.swim.handle_timer(timer, &mut taken);
            self.carry_out(taken, out);
        }
        self.meet_challenge(out);
        if self.asked_around.is_some_and(|until| local >= until) {
            self.asked_around = None;
            self.doubt.note(Sign::Unheard);
        }
        if local >= self.due_knock && !self.replaced {
            self.knock(out);
        }
        if local >= self.due_exchange && !self.replaced {
            self.due_exchange = local + EXCHANGE * (0.75 + 0.5 * self.chance.random::<f64>());
            let there: Vec<SocketAddr> = self.there().map(|member| member.id.address).collect();
            if !there.is_empty() {
                let to = there[self.chance.random_range(0..there.len())];
                self.send_sums(to, false, out);
            }
        }
        if local >= self.due_look {
            self.due_look = local + LOOK;
            self.look(out);
        }
        self.after(out);
    }

    /// When [`Group::tick`] has something to do at the latest, should nothing come in.
    pub fn next_due(&self) -> Time {
        let timer = self
            .timers
            .first_key_value()
            .map_or(Time(i64::MAX), |((at, _), _)| *at);
        let challenge = self
            .challenge
            .as_ref()
            .map_or(Time(i64::MAX), |challenge| challenge.next);
        let due = timer
            .min(challenge)
            .min(self.due_knock)
            .min(self.due_exchange)
            .min(self.due_look);
        due + self.lost
    }

    /// Tells the others something of this coordinator.
    pub fn say(&mut self, now: Time, what: What) {
        if self.left {
            return;
        }
        self.set_clock(now);
        let what = match what {
            What::Doubts(mut ids) => {
                ids.truncate(MOST_DOUBTS);
                What::Doubts(ids)
            }
            what => what,
        };
        self.say_quietly(what);
    }

    /// Leaves by its own word: the others know that it has not failed.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Out>) {
        if self.left || self.replaced {
            return;
        }
        self.say(
            now,
            What::Left {
                at_ms: (now.0 / 1_000) as u64,
            },
        );
        let mut taken = Taken::default();
        let _ = self.swim.broadcast(&mut taken);
        let _ = self.swim.leave_cluster(&mut taken);
        self.left = true;
        self.carry_out(taken, out);
    }

    // ---- What is told -------------------------------------------------------------------------------------

    /// What this coordinator sees.
    pub fn view(&self) -> View {
        let told = self.told.values();
        let agree = told
            .clone()
            .filter(|digest| **digest == self.digest)
            .count();
        View {
            epoch: self.epoch,
            digest: self.digest,
            own: self.own,
            standing: self.standing,
            doubt: self.doubt.score(),
            replaced_by: self
                .challenge
                .as_ref()
                .map(|challenge| challenge.whom)
                .filter(|_| self.replaced),
            agree,
            differ: told.len() - agree,
            members: self.members.values().cloned().collect(),
        }
    }

    /// The data nodes that others doubt, and how many do. Empty where they may not be heeded.
    pub fn advice(&self) -> BTreeMap<String, usize> {
        if !crate::model::may(self.standing, crate::model::Feature::Heed) {
            return BTreeMap::new();
        }
        let facts = self.facts.borrow();
        let doubted = facts.doubted(self.now.get(), self.own.name);
        doubted
            .into_iter()
            .map(|(id, count)| (id.to_string(), count))
            .collect()
    }

    /// What is known of a member: its name, room and offers, and what it is doing.
    pub fn told_by<T>(
        &self,
        id: &Id,
        read: impl FnOnce(Option<(&str, &str, &[String])>, Option<Phase>) -> T,
    ) -> T {
        let facts = self.facts.borrow();
        read(facts.card(id.name), facts.phase(id.name, id.generation))
    }

    /// How many datagrams were dropped, by cause.
    pub fn dropped(&self) -> impl Iterator<Item = (Dropped, u64)> + '_ {
        CAUSES.iter().copied().zip(self.dropped.iter().copied())
    }

    /// How many facts are known.
    pub fn facts(&self) -> usize {
        self.facts.borrow().len()
    }

    // ---- The clock ----------------------------------------------------------------------------------------

    fn set_clock(&mut self, now: Time) {
        // What is not known yet of a stop, the next tick tells; until then time stands still.
        let late = self.ticked.is_some_and(|ticked| now - ticked > LATE);
        if !late {
            self.now.set(self.now.get().max(now + -self.lost));
        }
    }

    /// This process was stopped or starved. Its clock stood still, so no suspicion ripens by time in which the
    /// refutation could not be read; and it trusts itself less.
    fn was_late(&mut self, gap: f64, out: &mut Vec<Out>) {
        self.lost += gap - TICK;
        self.doubt.note(Sign::Late);
        out.push(Out::Late(gap));
        // By now the others have declared it failed.
        if gap > suspicion(self.setup.group.len()) + 2.0 * PERIOD.as_secs_f64() && !self.replaced {
            self.start_over(self.own.renew(), out);
        }
    }

    // ---- What the library says ----------------------------------------------------------------------------

    fn carry_out(&mut self, taken: Taken, out: &mut Vec<Out>) {
        for (timer, after) in taken.timers {
            // Only what ends in a verdict on others is stretched by doubt.
            let stretch = match timer {
                Timer::SendIndirectProbe { .. }
                | Timer::ProbeRandomMember(_)
                | Timer::ChangeSuspectToDown { .. } => self.doubt.stretch(),
                _ => 1,
            };
            self.timer += 1;
            let due = self.now.get() + after.as_secs_f64() * f64::from(stretch);
            self.timers.insert((due, self.timer), timer);
        }
        for told in taken.told {
            self.note(told, out);
        }
        for (to, bytes) in taken.sends {
            let (epoch, digest, from) = (self.epoch, self.digest, self.own.name);
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

    fn note(&mut self, told: Told, out: &mut Vec<Out>) {
        match told {
            Told::Up(id) => self.put(id, State::Alive, out),
            Told::Down(id) => {
                let left = self.facts.borrow().has_left(id.name, id.generation);
                self.put(id, if left { State::Left } else { State::Failed }, out);
            }
            Told::Renamed(earlier, later) => {
                if let Some(member) = self.members.get_mut(&later.name) {
                    if member.state.is_there() {
                        // It goes on under a new life, as the library says nothing more of it.
                        self.digest ^= member.id.digest() ^ later.digest();
                        self.epoch = self.epoch.max(self.heard_epoch) + 1;
                    }
                    member.id = later;
                }
                if later.is_another_life(&earlier) {
                    out.push(Out::Replaced { earlier, later });
                }
            }
            Told::Active => {
                self.unproven = false;
                self.due_exchange = self.now.get() + EXCHANGE_SOON;
            }
            Told::Idle => self.due_knock = self.now.get(),
            Told::Rejoined => {
                self.take_identity(*self.swim.identity());
                let now = self.now.get();
                self.vain = if now - self.returned < VAIN {
                    self.vain + 1
                } else {
                    0
                };
                self.returned = now;
                out.push(Out::Returned);
            }
            Told::Defunct if self.left => {}
            // Out of numbers to return under: a later life begins.
            Told::Defunct => self.begin_life(self.own.generation + 1, out),
            Told::Unanswered => self.ask_around(out),
        }
    }

    /// Notes a member's state.
    fn put(&mut self, id: Id, state: State, out: &mut Vec<Out>) {
        if id.name == self.own.name {
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
            .filter(|before| before.state.is_there())
            .map_or(0, |before| before.id.digest());
        self.digest ^= was ^ if state.is_there() { id.digest() } else { 0 };
        self.epoch = self.epoch.max(self.heard_epoch) + 1;
        self.facts
            .borrow_mut()
            .seen(since, id.name, state.is_there());
        if !state.is_there() {
            self.told.remove(&id.name);
        }
        let name = self
            .facts
            .borrow()
            .card(id.name)
            .map(|card| card.0.to_string());
        out.push(Out::Member { id, name, state });
    }

    /// Looks at suspicions, of which the library says nothing, at last words that came late, and at old facts.
    fn look(&mut self, out: &mut Vec<Out>) {
        let now = self.now.get();
        for member in self.swim.iter_members() {
            let Some(known) = self.members.get_mut(&member.id().name) else {
                continue;
            };
            let state = match member.state() {
                foca::State::Suspect => State::Suspected,
                _ => State::Alive,
            };
            known.incarnation = member.incarnation();
            if known.state.is_there() && known.state != state {
                (known.state, known.since) = (state, now);
                let name = self
                    .facts
                    .borrow()
                    .card(known.id.name)
                    .map(|card| card.0.to_string());
                out.push(Out::Member {
                    id: known.id,
                    name,
                    state,
                });
            }
        }
        for known in self
            .members
            .values_mut()
            .filter(|known| known.state == State::Failed)
        {
            let facts = self.facts.borrow();
            if facts.has_left(known.id.name, known.id.generation) {
                known.state = State::Left;
                let name = facts.card(known.id.name).map(|card| card.0.to_string());
                out.push(Out::Member {
                    id: known.id,
                    name,
                    state: State::Left,
                });
            }
        }
        self.facts.borrow_mut().expire(now);
    }

    /// What follows whatever was handled.
    fn after(&mut self, out: &mut Vec<Out>) {
        let incarnation = self.observed.borrow().incarnation;
        if incarnation > self.incarnation {
            self.doubt.note(Sign::Suspected);
        }
        self.incarnation = incarnation;
        let answers = std::mem::take(&mut self.observed.borrow_mut().answers);
        (0..answers).for_each(|_| self.doubt.note(Sign::Answered));
        let superseded = self.observed.borrow_mut().superseded.take();
        if let Some(whom) =
            superseded.filter(|whom| whom.supersedes(&self.own) && self.challenge.is_none())
        {
            self.challenge = Some(Challenge {
                whom,
                asked: 0,
                next: self.now.get(),
            });
        }
        // Others keep declaring it failed: there may be a later life under its name, or have been.
        if self.vain >= MOST_VAIN {
            self.vain = 0;
            self.ask_for_own_name(out);
        }
        let standing = self.reckon();
        if standing != self.standing {
            self.standing = standing;
            out.push(Out::Standing(standing));
        }
    }

    fn reckon(&self) -> Standing {
        if self.replaced || self.unproven {
            return Standing::Alone;
        }
        let own = usize::from(self.voters.contains(&self.own.name));
        let others = self
            .there()
            .filter(|member| self.voters.contains(&member.id.name))
            .count();
        let standing = Standing::of(own + others, self.voters.len());
        if self.doubt.is_too_much() {
            standing.min(Standing::Minority)
        } else {
            standing
        }
    }

    fn there(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.state.is_there())
    }

    fn knows(&self, id: &Id) -> bool {
        self.members
            .get(&id.name)
            .is_some_and(|member| member.id == *id && member.state.is_there())
    }

    // ---- Lives --------------------------------------------------------------------------------------------

    fn take_identity(&mut self, own: Id) {
        self.digest ^= self.own.digest() ^ own.digest();
        self.own = own;
        self.observed.borrow_mut().own = own;
        self.epoch = self.epoch.max(self.heard_epoch) + 1;
    }

    /// Begins anew with nobody known to be there, and looks for those who were.
    fn start_over(&mut self, own: Option<Id>, out: &mut Vec<Out>) {
        let own = own.unwrap_or(Id {
            generation: self.own.generation + 1,
            returns: 0,
            ..self.own
        });
        self.take_identity(own);
        let known: Vec<Id> = self.there().map(|member| member.id).collect();
        let seed = self.chance.random();
        self.swim = Self::library(
            &self.setup,
            own,
            &self.observed,
            &self.facts,
            &self.now,
            seed,
        );
        self.timers.clear();
        self.members.clear();
        self.told.clear();
        (self.digest, self.incarnation) = (own.digest(), 0);
        self.unproven = self.voters.len() > 1;
        for id in &known {
            self.facts.borrow_mut().seen(self.now.get(), id.name, false);
        }
        out.push(Out::Returned);
        let mut taken = Taken::default();
        for _ in 0..KNOCKS.min(known.len()) {
            let id = known[self.chance.random_range(0..known.len())];
            let _ = self.swim.announce(id, &mut taken);
        }
        self.carry_out(taken, out);
        self.due_knock = self.now.get();
        for what in self.said.clone().into_values() {
            self.say_quietly(what);
        }
    }

    fn begin_life(&mut self, generation: u64, out: &mut Vec<Out>) {
        self.versions = 0;
        self.start_over(
            Some(Id {
                generation,
                returns: 0,
                ..self.own
            }),
            out,
        );
    }

    /// Another process has this one's place: it says nothing more of the group until that one is gone.
    fn stand_back(&mut self, whom: Id, out: &mut Vec<Out>) {
        let now = self.now.get();
        if !self.replaced {
            self.replaced = true;
            self.timers.clear();
            self.members.clear();
            self.told.clear();
            self.digest = self.own.digest();
            self.epoch = self.epoch.max(self.heard_epoch) + 1;
            out.push(Out::Replaced {
                earlier: self.own,
                later: whom,
            });
        }
        self.challenge = Some(Challenge {
            whom,
            asked: 0,
            next: now + CHALLENGE_AGAIN,
        });
    }

    /// Asks a later process under this one's name whether it is alive; one that does not answer has ended.
    fn meet_challenge(&mut self, out: &mut Vec<Out>) {
        let now = self.now.get();
        let Some(challenge) = self
            .challenge
            .as_mut()
            .filter(|challenge| now >= challenge.next)
        else {
            return;
        };
        let whom = challenge.whom;
        if challenge.asked < CHALLENGES && whom.address != self.own.address {
            challenge.asked += 1;
            challenge.next = now + CHALLENGE;
            self.send(
                whom.address,
                &Message::Who {
                    from: self.own,
                    whom,
                },
                out,
            );
            return;
        }
        // Nobody else can be at this one's own address, so a life that was there has ended, too: its clock ran ahead.
        self.challenge = None;
        self.replaced = false;
        self.begin_life(whom.generation.max(self.own.generation) + 1, out);
    }

    // ---- Sending ------------------------------------------------------------------------------------------

    fn send(&self, to: SocketAddr, message: &Message, out: &mut Vec<Out>) {
        if let Some(bytes) = envelope::seal(&self.setup.cluster, message) {
            out.push(Out::Send { to, bytes });
        }
    }

    fn send_sums(&self, to: SocketAddr, last: bool, out: &mut Vec<Out>) {
        let sums = Box::new(self.facts.borrow().sums());
        self.send(
            to,
            &Message::Sums {
                from: self.own,
                sums,
                last,
            },
            out,
        );
    }

    /// Asks seeds who they are: often while nobody is there, now and then while somebody is missing.
    fn knock(&mut self, out: &mut Vec<Out>) {
        let alone = self.there().next().is_none();
        self.due_knock = self.now.get() + if alone { KNOCK } else { KNOCK_SELDOM };
        if self.standing == Standing::Whole || self.setup.seeds.is_empty() {
            return;
        }
        let nobody = Id {
            name: Name(0),
            ..self.own
        };
        for _ in 0..KNOCKS.min(self.setup.seeds.len()) {
            let seed = self.setup.seeds[self.chance.random_range(0..self.setup.seeds.len())];
            if seed != self.own.address {
                self.send(
                    seed,
                    &Message::Who {
                        from: self.own,
                        whom: nobody,
                    },
                    out,
                );
            }
        }
    }

    /// A probe was answered neither directly nor by way of others: is it they, or is this one not heard?
    fn ask_around(&mut self, out: &mut Vec<Out>) {
        let others: Vec<SocketAddr> = self.there().map(|member| member.id.address).collect();
        if others.is_empty() || self.asked_around.is_some() {
            return;
        }
        self.asked_around = Some(self.now.get() + ASKED_AROUND);
        let nobody = Id {
            name: Name(0),
            ..self.own
        };
        for _ in 0..ASK_AROUND {
            let to = others[self.chance.random_range(0..others.len())];
            self.send(
                to,
                &Message::Who {
                    from: self.own,
                    whom: nobody,
                },
                out,
            );
        }
    }

    fn ask_for_own_name(&mut self, out: &mut Vec<Out>) {
        let mut addresses: Vec<SocketAddr> = self
            .members
            .values()
            .map(|member| member.id.address)
            .collect();
        addresses.extend(&self.setup.seeds);
        for _ in 0..KNOCKS.min(addresses.len()) {
            let to = addresses[self.chance.random_range(0..addresses.len())];
            self.send(
                to,
                &Message::Who {
                    from: self.own,
                    whom: self.own,
                },
                out,
            );
        }
    }

    fn say_quietly(&mut self, what: What) {
        self.versions += 1;
        let fact = Fact {
            writer: self.own.name,
            generation: self.own.generation,
            version: self.versions,
            what,
        };
        self.said.insert(fact.key().1, fact.what.clone());
        self.facts
            .borrow_mut()
            .seen(self.now.get(), self.own.name, true);
        if let Ok(bytes) = postcard::to_allocvec(&fact) {
            let _ = self.swim.add_broadcast(&bytes);
        }
    }
}
