//! The membership state machine of one coordinator: datagrams and time in, datagrams and changes out.
//!
//! | module | job |
//! | --- | --- |
//! | `config` | [`MembershipConfig`] and [`Output`] |
//! | `timing` | intervals, timeouts and bounds |
//! | `swim` | the SWIM library: its configuration and callbacks |
//! | `messages` | datagrams in and out |
//! | `transitions` | members' states, timers |
//! | `anti_entropy` | gossip entries: publishing and reconciling |
//! | `identity_queries` | seeds, reachability of this coordinator |
//! | `name_ownership` | two processes under one name |
//! | `rejoin` | coming back after a pause or a verdict of the others |
//! | `status` | this coordinator's health and quorum view |
//! | `queries` | what is reported: view, outlier reports, counters |
//! | `clock`, `timers`, `view_version` | values of their own |

mod anti_entropy;
mod clock;
mod config;
mod identity_queries;
mod messages;
mod name_ownership;
mod queries;
mod rejoin;
mod status;
mod swim;
mod timers;
mod timing;
mod transitions;
mod view_version;

pub use config::{MembershipConfig, Output};
pub use queries::MemberGossip;
pub use timing::TICK_INTERVAL;

use crate::datagram_error::DropCounts;
use crate::gossip_entry::{
    EntryKind, GossipValue, MemberDescription, MemberPhase, MAX_REPORTED_OUTLIERS,
};
use crate::gossip_state::GossipState;
use crate::identity::{MemberId, NameHash};
use crate::local_health::LocalHealth;
use crate::message_filter::{FilteringCodec, MessageFilter};
use crate::quorum::QuorumView;
use crate::view::Member;
use cairnroad_types::Time;
use clock::PausableClock;
use foca::Timer;
use name_ownership::NameOwnership;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rejoin::RejoinHistory;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use swim::{new_swim, Swim, SwimOutput, SwimParts};
use timers::SwimTimers;
use timing::{ANTI_ENTROPY_INTERVAL, MEMBER_SCAN_INTERVAL, PAUSE_THRESHOLD};
use view_version::ViewVersion;

/// When periodic tasks run next.
struct Schedule {
    seed_contact: Time,
    anti_entropy: Time,
    member_scan: Time,
}

impl Schedule {
    fn new(now: Time) -> Schedule {
        Schedule {
            seed_contact: now,
            anti_entropy: now + ANTI_ENTROPY_INTERVAL,
            member_scan: now + MEMBER_SCAN_INTERVAL,
        }
    }
}

/// One coordinator's part in its cluster.
pub struct Membership {
    config: MembershipConfig,
    /// The configured group: only its names count towards the quorum.
    voters: BTreeSet<NameHash>,
    local: MemberId,
    swim: Swim,
    filter: Rc<RefCell<MessageFilter>>,
    gossip: Rc<RefCell<GossipState>>,
    clock: PausableClock,
    random: StdRng,
    timers: SwimTimers,
    schedule: Schedule,
    /// All known members, this coordinator not included.
    members: BTreeMap<NameHash, Member>,
    version: ViewVersion,
    /// The digest of each live member's view, as in its last message.
    peer_digests: BTreeMap<NameHash, u64>,
    /// What this coordinator published, to be published again under a new identity.
    published: BTreeMap<EntryKind, GossipValue>,
    last_entry_version: u32,
    health: LocalHealth,
    /// This coordinator's SWIM incarnation when its health was last updated.
    last_incarnation: u16,
    /// Until when members may answer that they hear this coordinator, while it checks that.
    reachability_deadline: Option<Time>,
    /// After a restart no member has shown yet that it knows this coordinator's identity.
    awaits_confirmation: bool,
    rejoins: RejoinHistory,
    ownership: NameOwnership,
    /// It announced that it leaves, and does nothing more.
    has_left: bool,
    quorum_view: QuorumView,
    drops: DropCounts,
}

impl Membership {
    /// A coordinator that knows its configuration and no other member. The first [`Membership::tick`]s find others.
    pub fn new(config: MembershipConfig, now: Time) -> Membership {
        let local = MemberId {
            name: NameHash::of(&config.name),
            generation: config.generation,
            rejoins: 0,
            address: config.address,
        };
        let filter = Rc::new(RefCell::new(MessageFilter::new(local)));
        let gossip: Rc<RefCell<GossipState>> = Rc::default();
        let clock = PausableClock::new(now);
        let mut random = StdRng::seed_from_u64(config.random_seed);
        let parts = SwimParts {
            codec: FilteringCodec(filter.clone()),
            gossip: gossip.clone(),
            now: clock.shared(),
            random: StdRng::seed_from_u64(random.random()),
        };
        let mut membership = Membership {
            voters: config
                .member_names
                .iter()
                .map(|name| NameHash::of(name))
                .collect(),
            local,
            swim: new_swim(local, config.member_names.len(), parts),
            filter,
            gossip,
            clock,
            random,
            timers: SwimTimers::default(),
            schedule: Schedule::new(now),
            members: BTreeMap::new(),
            version: ViewVersion::new(&local),
            peer_digests: BTreeMap::new(),
            published: BTreeMap::new(),
            last_entry_version: 0,
            health: LocalHealth::default(),
            last_incarnation: 0,
            reachability_deadline: None,
            awaits_confirmation: false,
            rejoins: RejoinHistory::new(now),
            ownership: NameOwnership::Held,
            has_left: false,
            quorum_view: QuorumView::Isolated,
            drops: DropCounts::default(),
            config,
        };
        membership.publish_description();
        membership.publish_entry(GossipValue::Phase(MemberPhase::Starting));
        membership.quorum_view = membership.evaluate_quorum();
        membership
    }

    fn publish_description(&mut self) {
        let description = MemberDescription {
            name: self.config.name.clone(),
            room: self.config.room.clone(),
            offers: self.config.offers.clone(),
        };
        self.publish_entry(GossipValue::Description(description));
    }

    /// Handles a datagram. After a pause all waiting datagrams are to be given here before the next
    /// [`Membership::tick`].
    pub fn on_datagram(&mut self, now: Time, bytes: &[u8], out: &mut Vec<Output>) {
        if self.has_left {
            return;
        }
        self.clock.advance(now);
        if let Err(cause) = self.handle_datagram(bytes, out) {
            self.drops.record(cause);
        }
        self.update_status(out);
    }

    /// Lets time pass. To be called every [`TICK_INTERVAL`].
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.has_left {
            return;
        }
        let gap = self.clock.record_tick(now);
        if gap > PAUSE_THRESHOLD {
            self.on_pause(gap, out);
        }
        self.clock.advance(now);
        self.run_due_timers(out);
        self.advance_challenge(out);
        self.check_reachability();
        self.run_periodic_tasks(out);
        self.update_status(out);
    }

    fn run_due_timers(&mut self, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop_due(self.clock.now()) {
            if let Timer::RemoveDown(id) = &timer {
                self.forget_removed(id);
            }
            let mut swim_output = SwimOutput::default();
            // An error tells of a probe cycle that a rejoin has cut short; the library goes on.
            let _ = self.swim.handle_timer(timer, &mut swim_output);
            self.apply(swim_output, out);
        }
    }

    /// Follows the library in forgetting a member, unless it came back under another identity since.
    fn forget_removed(&mut self, id: &MemberId) {
        let is_gone = self
            .members
            .get(&id.name)
            .is_some_and(|member| member.id == *id && !member.state.is_live());
        if is_gone {
            self.filter.borrow_mut().forget(id);
            self.members.remove(&id.name);
        }
    }

    fn run_periodic_tasks(&mut self, out: &mut Vec<Output>) {
        let now = self.clock.now();
        if now >= self.schedule.seed_contact && !self.ownership.is_replaced() {
            self.contact_seeds(out);
        }
        if now >= self.schedule.anti_entropy && !self.ownership.is_replaced() {
            self.start_anti_entropy(out);
        }
        if now >= self.schedule.member_scan {
            self.schedule.member_scan = now + MEMBER_SCAN_INTERVAL;
            self.scan_members(out);
        }
    }

    /// Publishes something about this coordinator to the others.
    pub fn publish(&mut self, now: Time, mut value: GossipValue) {
        if self.has_left {
            return;
        }
        self.clock.advance(now);
        if let GossipValue::Outliers(servers) = &mut value {
            servers.truncate(MAX_REPORTED_OUTLIERS);
        }
        self.publish_entry(value);
    }

    /// Announces that this coordinator leaves, so that the others don't take it for failed.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.has_left || self.ownership.is_replaced() {
            return;
        }
        let at_ms = (now.0 / 1_000) as u64;
        self.publish(now, GossipValue::Departure { at_ms });
        let mut swim_output = SwimOutput::default();
        // What can't be sent is lost: the others find the member failed instead of left.
        let _ = self.swim.broadcast(&mut swim_output);
        let _ = self.swim.leave_cluster(&mut swim_output);
        self.has_left = true;
        self.apply(swim_output, out);
    }
}
