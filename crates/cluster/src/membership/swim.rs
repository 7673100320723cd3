//! Integration of the SWIM library `foca`: identity, configuration, callbacks and broadcasts.

use super::timing::{
    suspicion_timeout, Periodic, ANNOUNCE, ANNOUNCE_TO_FAILED, FAILED_MEMBER_RETENTION, GOSSIP,
    MAX_TRANSMISSIONS, PROBE_PERIOD, PROBE_TIMEOUT,
};
use crate::datagram::MAX_SWIM_BYTES;
use crate::gossip_entry::{EntryKey, GossipEntry};
use crate::gossip_state::GossipState;
use crate::identity::{MemberId, NameHash};
use crate::message_filter::{FilterError, FilteringCodec};
use cairnroad_types::Time;
use foca::{
    BroadcastHandler, Foca, Identity, Invalidates, Notification, PeriodicParams, Runtime, Timer,
};
use rand::rngs::StdRng;
use std::cell::{Cell, RefCell};
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

/// The library, instantiated with this crate's identity, codec and broadcast handler.
pub(super) type Swim = Foca<MemberId, FilteringCodec, StdRng, GossipBroadcast>;

/// Collects the timers, events and messages that one call of the library requests. They are handled after the call,
/// because each datagram carries the version of the view that results from it.
#[derive(Default)]
pub(super) struct SwimOutput {
    pub(super) timers: Vec<TimerRequest>,
    pub(super) events: Vec<SwimEvent>,
    pub(super) sends: Vec<SwimMessage>,
}

/// A timer that has to be passed back to the library after a delay.
pub(super) struct TimerRequest {
    pub(super) timer: Timer<MemberId>,
    pub(super) after: Duration,
}

/// A message that the library wants to send to a member.
pub(super) struct SwimMessage {
    pub(super) to: MemberId,
    pub(super) bytes: Vec<u8>,
}

/// An event that the library reports.
pub(super) enum SwimEvent {
    MemberUp(MemberId),
    MemberDown(MemberId),
    /// A member continues under another identity of the same name.
    IdentityChanged {
        earlier: MemberId,
        later: MemberId,
    },
    /// A first live member is known, after there was none.
    Active,
    /// No live member is known any more.
    Idle,
    /// This coordinator renewed its identity after it had been declared failed.
    Rejoined,
    /// This coordinator left, or was declared failed and can't renew its identity.
    Defunct,
    ProbeFailed,
}

impl SwimEvent {
    fn from_notification(notification: Notification<'_, MemberId>) -> Option<SwimEvent> {
        match notification {
            Notification::MemberUp(id) => Some(SwimEvent::MemberUp(*id)),
            Notification::MemberDown(id) => Some(SwimEvent::MemberDown(*id)),
            Notification::Rename(earlier, later) => Some(SwimEvent::IdentityChanged {
                earlier: *earlier,
                later: *later,
            }),
            Notification::Active => Some(SwimEvent::Active),
            Notification::Idle => Some(SwimEvent::Idle),
            Notification::Defunct => Some(SwimEvent::Defunct),
            Notification::Rejoin(_) => Some(SwimEvent::Rejoined),
            Notification::ProbeFailed(..) => Some(SwimEvent::ProbeFailed),
            _ => None,
        }
    }
}

impl Runtime<MemberId> for SwimOutput {
    fn notify(&mut self, notification: Notification<'_, MemberId>) {
        self.events
            .extend(SwimEvent::from_notification(notification));
    }

    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        let bytes = data.to_vec();
        self.sends.push(SwimMessage { to, bytes });
    }

    fn submit_after(&mut self, timer: Timer<MemberId>, after: Duration) {
        self.timers.push(TimerRequest { timer, after });
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

/// Handler of broadcast gossip entries. The library passes on those that are new to this coordinator.
pub(super) struct GossipBroadcast {
    gossip: Rc<RefCell<GossipState>>,
    now: Rc<Cell<Time>>,
}

/// Key of the entry that a broadcast carries. A newer broadcast of an entry replaces an older one that is still being
/// passed on.
pub(super) struct BroadcastKey(EntryKey);

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
        _sender: Option<&MemberId>,
    ) -> Result<Option<BroadcastKey>, FilterError> {
        let entry: GossipEntry = postcard::from_bytes(data)?;
        let key = entry.key();
        let is_new = self.gossip.borrow_mut().merge(self.now.get(), entry);
        Ok(is_new.then_some(BroadcastKey(key)))
    }
}

/// Objects that the library shares with the rest of the membership.
pub(super) struct SwimParts {
    pub(super) codec: FilteringCodec,
    pub(super) gossip: Rc<RefCell<GossipState>>,
    pub(super) now: Rc<Cell<Time>>,
    pub(super) rng: StdRng,
}

/// Creates an instance of the library that knows no other member.
pub(super) fn new_swim(local: MemberId, group_size: usize, parts: SwimParts) -> Swim {
    let broadcast = GossipBroadcast {
        gossip: parts.gossip,
        now: parts.now,
    };
    let config = swim_config(group_size);
    Foca::with_custom_broadcast(local, config, parts.rng, parts.codec, broadcast)
}

fn swim_config(group_size: usize) -> foca::Config {
    let size = NonZeroU32::new(group_size as u32).unwrap_or(NonZeroU32::MIN);
    foca::Config {
        probe_period: PROBE_PERIOD,
        probe_rtt: PROBE_TIMEOUT,
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_secs_f64(suspicion_timeout(group_size)),
        remove_down_after: Some(FAILED_MEMBER_RETENTION),
        max_packet_size: at_least_one(MAX_SWIM_BYTES),
        notify_down_members: true,
        periodic_announce: Some(periodic_params(&ANNOUNCE)),
        periodic_announce_to_down_members: Some(periodic_params(&ANNOUNCE_TO_FAILED)),
        periodic_gossip: Some(periodic_params(&GOSSIP)),
        ..foca::Config::new_lan(size)
    }
}

fn periodic_params(periodic: &Periodic) -> PeriodicParams {
    PeriodicParams {
        frequency: periodic.interval,
        num_members: at_least_one(periodic.recipients),
    }
}

fn at_least_one(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN)
}
