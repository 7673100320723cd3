//! Intervals, timeouts and bounds of the membership protocol.

use cairnroad_types::Seconds;
use std::time::Duration;

/// How often [`Membership::tick`](crate::Membership::tick) is to be called, in seconds.
pub const TICK_INTERVAL: Seconds = 0.1;
/// A gap between two ticks beyond this shows that the process was stopped or starved.
pub(super) const PAUSE_THRESHOLD: Seconds = 0.5;

/// One member is probed in each period.
pub(super) const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// How long a direct answer to a probe may take; the rest of the period is for indirect probes.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Probe periods that a suspected member has to refute the suspicion, for each factor ten in the group's size.
const SUSPICION_PERIODS: f64 = 4.0;
/// How often a member passes on each update. With a fifth of all datagrams lost, and 5 transmissions each in a group
/// of 12, one in forty suspected members did not hear of the suspicion in time to refute it.
pub(super) const MAX_TRANSMISSIONS: u8 = 15;
/// How long failed members are remembered: longer than any stale gossip about them lives.
pub(super) const FAILED_MEMBER_RETENTION: Duration = Duration::from_secs(3600);

/// A message that goes out at an interval to some members.
pub(super) struct Periodic {
    pub(super) interval: Duration,
    pub(super) recipients: usize,
}

/// Updates are passed on beside the probes.
pub(super) const GOSSIP: Periodic = Periodic {
    interval: Duration::from_millis(200),
    recipients: 3,
};
/// A live member is asked for its list of members.
pub(super) const ANNOUNCE: Periodic = Periodic {
    interval: Duration::from_secs(10),
    recipients: 1,
};
/// Failed members are contacted, so that a partition heals. In vain it costs a datagram a second.
pub(super) const ANNOUNCE_TO_FAILED: Periodic = Periodic {
    interval: Duration::from_secs(2),
    recipients: 2,
};

/// How often seeds are contacted while no other member is live.
pub(super) const SEED_CONTACT_INTERVAL_ALONE: Seconds = 1.0;
/// How often they are while part of the group is missing: the others may know only each other.
pub(super) const SEED_CONTACT_INTERVAL_PARTIAL: Seconds = 10.0;
/// Members contacted in one attempt to rejoin.
pub(super) const CONTACTS_PER_ATTEMPT: usize = 3;

/// How often gossip digests are compared with another member, on average.
pub(super) const ANTI_ENTROPY_INTERVAL: Seconds = 5.0;
/// Least and greatest factor of the interval, drawn anew each time so that members don't act in step.
pub(super) const ANTI_ENTROPY_JITTER: std::ops::Range<f64> = 0.75..1.25;
/// Delay of the first comparison after this coordinator (re)joined.
pub(super) const ANTI_ENTROPY_DELAY_AFTER_JOIN: Seconds = 0.3;
/// Most gossip entries in one datagram.
pub(super) const ENTRIES_PER_DATAGRAM: usize = 6;
/// Most datagrams of entries in one reply.
pub(super) const MAX_DATAGRAMS_PER_REPLY: usize = 12;

/// How often members are scanned for suspicions and departures, and old gossip entries are removed.
pub(super) const MEMBER_SCAN_INTERVAL: Seconds = 0.5;

/// Members asked whether they hear this coordinator after a probe was not answered.
pub(super) const REACHABILITY_QUERIES: usize = 5;
/// How long they have to answer.
pub(super) const REACHABILITY_TIMEOUT: Seconds = 0.9;

/// A rejoin this soon after another shows that the earlier one was futile.
pub(super) const FUTILE_REJOIN_WINDOW: Seconds = 2.0;
/// After so many futile rejoins in a row another process may bear this coordinator's name.
pub(super) const MAX_FUTILE_REJOINS: u32 = 2;
/// How often a newer process under this coordinator's name is asked whether it is alive.
pub(super) const MAX_CHALLENGES: u32 = 4;
/// Time between two such queries.
pub(super) const CHALLENGE_INTERVAL: Seconds = 0.5;
/// How long a replaced coordinator waits before it asks again.
pub(super) const CHALLENGE_INTERVAL_REPLACED: Seconds = 5.0;

/// How long a suspected member has to refute the suspicion in a group of this size.
pub(super) fn suspicion_timeout(group_size: usize) -> Seconds {
    let factors_of_ten = (group_size.max(1) as f64).log10().max(1.0);
    SUSPICION_PERIODS * factors_of_ten * PROBE_PERIOD.as_secs_f64()
}

/// A pause beyond this means that the other members have declared this coordinator failed.
pub(super) fn declared_failed_after(group_size: usize) -> Seconds {
    suspicion_timeout(group_size) + 2.0 * PROBE_PERIOD.as_secs_f64()
}
