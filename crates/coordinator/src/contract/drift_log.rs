//! Records checked messages in the drift tracker and logs new violations.

use cairnroad_contract::drift::{DriftTracker, Observation};
use cairnroad_types::Seconds;

/// The number of messages after which old entries of the tracker are removed.
const MESSAGES_PER_EXPIRY: u64 = 4096;

/// Records a message seen at `now`. Its violations are logged if the message adds an entry, or a party of an entry.
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
