//! Intervals, timeouts and limits of the membership protocol.

use cairnroad_types::Seconds;
use std::time::Duration;

/// Interval in seconds at which [`Membership::tick`](crate::Membership::tick) has to be called.
pub const TICK_INTERVAL: Seconds = 0.1;
/// A longer gap between two ticks, in seconds, shows that the process was stopped or starved.
pub(super) const PAUSE_THRESHOLD: Seconds = 0.5;

/// Interval between probes. One member is probed in each period.
pub(super) const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time limit for the direct answer to a probe; the rest of the period is for indirect probes.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of probe periods in which a suspected member can refute the suspicion, for each factor of ten in the group's
/// size.
const SUSPICION_PERIODS: f64 = 4.0;
/// Number of times a member passes on each update. With 5 transmissions in a group of 12 and a fifth of all datagrams
/// lost, one in forty suspected members did not learn of the suspicion in time to refute it.
pub(super) const MAX_TRANSMISSIONS: u8 = 15;
/// How long failed members are remembered: longer than stale gossip about them circulates.
pub(super) const FAILED_MEMBER_RETENTION: Duration = Duration::from_secs(3600);

/// A message that is sent at an interval to a number of random members.
pub(super) struct Periodic {
    pub(super) interval: Duration,
    pub(super) recipients: usize,
}

/// Gossip of updates, in addition to those that probes carry.
pub(super) const GOSSIP: Periodic = Periodic {
    interval: Duration::from_millis(200),
    recipients: 3,
};
/// Announcement to a live member, which answers with members that it knows.
pub(super) const ANNOUNCE: Periodic = Periodic {
    interval: Duration::from_secs(10),
    recipients: 1,
};
/// Announcement to failed members, by which a partition heals. If they are really down, this costs a datagram a second.
pub(super) const ANNOUNCE_TO_FAILED: Periodic = Periodic {
    interval: Duration::from_secs(2),
    recipients: 2,
};

/// Interval in seconds at which seeds are contacted while no other member is live.
pub(super) const SEED_CONTACT_INTERVAL_ISOLATED: Seconds = 1.0;
/// Interval in seconds at which seeds are contacted while part of the group is missing: the missing members may know
/// only each other.
pub(super) const SEED_CONTACT_INTERVAL_INCOMPLETE: Seconds = 10.0;
/// Number of seeds or members contacted in one attempt to join, rejoin or query a name.
pub(super) const CONTACTS_PER_ATTEMPT: usize = 3;

/// Mean interval, in seconds, between comparisons of gossip digests with another member.
pub(super) const ANTI_ENTROPY_INTERVAL: Seconds = 5.0;
/// Range of the random factor by which each interval is multiplied, so that members don't act in step.
pub(super) const ANTI_ENTROPY_JITTER: std::ops::Range<f64> = 0.75..1.25;
/// Delay, in seconds, of the first comparison after this coordinator joined or rejoined.
pub(super) const ANTI_ENTROPY_DELAY_AFTER_JOIN: Seconds = 0.3;
/// Maximum number of gossip entries in one datagram.
pub(super) const ENTRIES_PER_DATAGRAM: usize = 6;
/// Maximum number of datagrams with entries in reply to one comparison.
pub(super) const MAX_DATAGRAMS_PER_REPLY: usize = 12;

/// Interval, in seconds, at which members are scanned for suspicions and departures and expired gossip entries are
/// removed.
pub(super) const MEMBER_SCAN_INTERVAL: Seconds = 0.5;

/// Number of queries to random members that check this coordinator's reachability after a failed probe.
pub(super) const REACHABILITY_QUERIES: usize = 5;
/// Time limit, in seconds, for the first reply to these queries.
pub(super) const REACHABILITY_TIMEOUT: Seconds = 0.9;

/// A rejoin within this time, in seconds, after another one shows that the earlier one was futile.
pub(super) const FUTILE_REJOIN_WINDOW: Seconds = 2.0;
/// Number of futile rejoins in a row that suggest another process under this coordinator's name.
pub(super) const MAX_FUTILE_REJOINS: u32 = 2;
/// Maximum number of queries whether a newer process under this coordinator's name is alive.
pub(super) const MAX_CHALLENGE_QUERIES: u32 = 4;
/// Interval, in seconds, between two such queries.
pub(super) const CHALLENGE_INTERVAL: Seconds = 0.5;
/// Time, in seconds, after which a replaced coordinator queries the newer process again.
pub(super) const CHALLENGE_INTERVAL_REPLACED: Seconds = 5.0;

/// Returns the time in which a suspected member can refute the suspicion in a group of the given size.
pub(super) fn suspicion_timeout(group_size: usize) -> Seconds {
    let factors_of_ten = (group_size.max(1) as f64).log10().max(1.0);
    SUSPICION_PERIODS * factors_of_ten * PROBE_PERIOD.as_secs_f64()
}

/// Returns the duration of a pause after which the other members must have declared this coordinator failed.
pub(super) fn declared_failed_after(group_size: usize) -> Seconds {
    suspicion_timeout(group_size) + 2.0 * PROBE_PERIOD.as_secs_f64()
}
