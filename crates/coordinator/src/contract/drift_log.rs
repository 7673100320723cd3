//! Records checked messages in the drift tracker and logs what is new.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use cairnroad_contract::drift::{DriftTracker, Observation};
use cairnroad_types::Seconds;

/// Old entries of the tracker are removed once in so many messages.
const MESSAGES_PER_EXPIRY: u64 = 4096;

/// Records a message seen at `now`; violations are logged where they add an entry to the tracker.
pub(super) fn record(drift: &mut DriftTracker, now: Seconds, observation: &Observation) {
    if drift.messages.is_multiple_of(MESSAGES_PER_EXPIRY) {
        drift.expire(now);
    }
    if !drift.record(now, observation) {
        return;
    }
    for violation in observation.violations {
        let summary = drift.summary(observation, violation).unwrap_or_default();
        tracing::warn!(
            interface = %observation.interface,
            party = %observation.party,
            operation = %observation.operation,
            place = violation.place,
            described = violation.described,
            cause = summary,
            "contract violation"
        );
    }
}
