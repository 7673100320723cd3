//! The membership state machine of one coordinator. Its inputs are datagrams and the time, its outputs are datagrams
//! and changes to report.
//!
//! | module | content |
//! | --- | --- |
//! | `config` | [`MembershipConfig`] and [`Output`] |
//! | `timing` | intervals, timeouts and limits |
//! | `swim` | the SWIM library: its configuration and callbacks |
//! | `messages` | received and sent datagrams |
//! | `transitions` | state changes of members, timers |
//! | `anti_entropy` | publication and reconciliation of gossip entries |
//! | `identity_queries` | contact with seeds, check of this coordinator's reachability |
//! | `name_ownership` | conflicts between two processes under one name |
//! | `rejoin` | rejoining after a pause or after other members declared this coordinator failed |
//! | `status` | this coordinator's health, name ownership and quorum view |
//! | `queries` | read access: view, outlier reports, counters |
//! | `clock`, `timers`, `view_version` | data types that the other modules use |

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

/// Times at which the periodic tasks run next.
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

/// The membership of one coordinator in its cluster.
pub struct Membership {
    config: MembershipConfig,
    /// Names of the configured group. Only these members count towards the quorum.
    voter_names: BTreeSet<NameHash>,
    local: MemberId,
    swim: Swim,
    filter: Rc<RefCell<MessageFilter>>,
    gossip: Rc<RefCell<GossipState>>,
    clock: PausableClock,
    rng: StdRng,
    timers: SwimTimers,
    schedule: Schedule,
    /// All known members except this coordinator.
    members: BTreeMap<NameHash, Member>,
    view_version: ViewVersion,
    /// The digest of each live member's view, taken from its last message.
    peer_digests: BTreeMap<NameHash, u64>,
    /// The latest values that this coordinator published. They are published again under a new identity.
    published_values: BTreeMap<EntryKind, GossipValue>,
    last_entry_version: u32,
    health: LocalHealth,
    /// This coordinator's SWIM incarnation at the last update of its health.
    last_incarnation: u16,
    /// Deadline for replies to the reachability check that is running, if any.
    reachability_deadline: Option<Time>,
    /// Whether the coordinator restarted its membership and no member has confirmed its new identity yet.
    awaits_confirmation: bool,
    rejoin_history: RejoinHistory,
    name_ownership: NameOwnership,
    /// Whether this coordinator announced that it leaves. It then ignores all inputs.
    has_left: bool,
    quorum_view: QuorumView,
    drop_counts: DropCounts,
}

impl Membership {
    /// Creates a membership that knows its configuration and no other member. Other members are discovered by the first
    /// calls of [`Membership::tick`].
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
        let mut rng = StdRng::seed_from_u64(config.random_seed);
        let parts = SwimParts {
            codec: FilteringCodec(filter.clone()),
            gossip: gossip.clone(),
            now: clock.shared_now(),
            rng: StdRng::seed_from_u64(rng.random()),
        };
        let mut membership = Membership {
            voter_names: config
                .member_names
                .iter()
                .map(|name| NameHash::of(name))
                .collect(),
            local,
            swim: new_swim(local, config.member_names.len(), parts),
            filter,
            gossip,
            clock,
            rng,
            timers: SwimTimers::default(),
            schedule: Schedule::new(now),
            members: BTreeMap::new(),
            view_version: ViewVersion::new(&local),
            peer_digests: BTreeMap::new(),
            published_values: BTreeMap::new(),
            last_entry_version: 0,
            health: LocalHealth::default(),
            last_incarnation: 0,
            reachability_deadline: None,
            awaits_confirmation: false,
            rejoin_history: RejoinHistory::new(now),
            name_ownership: NameOwnership::Held,
            has_left: false,
            quorum_view: QuorumView::Isolated,
            drop_counts: DropCounts::default(),
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

    /// Handles a received datagram. After a pause of the process, the caller passes all waiting datagrams before the
    /// next [`Membership::tick`], so that they are handled before the pause is.
    pub fn on_datagram(&mut self, now: Time, bytes: &[u8], out: &mut Vec<Output>) {
        if self.has_left {
            return;
        }
        self.clock.advance(now);
        if let Err(cause) = self.handle_datagram(bytes, out) {
            self.drop_counts.record(cause);
        }
        self.update_status(out);
    }

    /// Advances the time and runs what is due. The caller calls this every [`TICK_INTERVAL`] seconds.
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
                self.forget_removed_member(id);
            }
            let mut swim_output = SwimOutput::default();
            // An error means that a rejoin interrupted a probe cycle, from which the library recovers by itself.
            let _ = self.swim.handle_timer(timer, &mut swim_output);
            self.apply(swim_output, out);
        }
    }

    /// Forgets a member that the library removed, unless the member has come back under another identity.
    fn forget_removed_member(&mut self, id: &MemberId) {
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
        if now >= self.schedule.seed_contact && !self.name_ownership.is_replaced() {
            self.contact_seeds(out);
        }
        if now >= self.schedule.anti_entropy && !self.name_ownership.is_replaced() {
            self.start_anti_entropy(out);
        }
        if now >= self.schedule.member_scan {
            self.schedule.member_scan = now + MEMBER_SCAN_INTERVAL;
            self.scan_members(out);
        }
    }

    /// Publishes information about this coordinator to the other members.
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

    /// Announces that this coordinator leaves, so that the other members don't consider it failed.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.has_left || self.name_ownership.is_replaced() {
            return;
        }
        let at_ms = (now.0 / 1_000) as u64;
        self.publish(now, GossipValue::Departure { at_ms });
        let mut swim_output = SwimOutput::default();
        // If the announcement can't be sent, the other members detect a failure instead of a departure.
        let _ = self.swim.broadcast(&mut swim_output);
        let _ = self.swim.leave_cluster(&mut swim_output);
        self.has_left = true;
        self.apply(swim_output, out);
    }
}
