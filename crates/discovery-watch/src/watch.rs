//! The state of a watch and its transitions.

use crate::error::WatchError;
use crate::poll::Poll;
use cairnroad_types::{Seconds, Time};

/// Backoff added per consecutive fault. It is well under the 0.2 s within which a watch has to resume.
const BACKOFF_STEP: Seconds = 0.05;
/// Upper bound of the backoff, at which an agent that stays down is polled about twice a second.
const MAX_BACKOFF: Seconds = 0.5;
/// Longest time for which the platform holds up a process between two of its steps.
const MAX_PROCESS_STALL: Seconds = 0.15;
/// Time since the last response after which this process counts as notified of the changes that it missed.
const NOTIFIED_AFTER_SILENCE: Seconds = 6.0;
/// The same, counted from the end of the next poll's wait, if that is later.
const NOTIFIED_AFTER_LONG_POLL: Seconds = 2.0;
/// The same, counted from a change of the agent's address.
const NOTIFIED_AFTER_AGENT_CHANGE: Seconds = 4.0;

/// The watch of one agent at a time.
///
/// The notification deadline counts from the last response, whether lists are pushed or polled. A silent connection
/// does not mean that the agent is down: the agent may respond at once on the next connection. So a broken watch
/// resumes with a poll that the agent answers immediately, and only an agent that has responded gets a long poll.
#[derive(Debug)]
pub struct DiscoveryWatch {
    /// The newest revision received; if `None`, the next poll requests a snapshot.
    revision: Option<u64>,
    /// Whether the agent has responded since the watch was started or last broke.
    agent_confirmed: bool,
    consecutive_faults: u32,
    last_response_at: Time,
    /// When the watch changed to another agent; `None` once that agent has responded.
    agent_changed_at: Option<Time>,
}

impl DiscoveryWatch {
    /// Returns a watch that starts now. The notification deadline counts from the start until the first response.
    pub fn new(now: Time) -> DiscoveryWatch {
        DiscoveryWatch {
            revision: None,
            agent_confirmed: false,
            consecutive_faults: 0,
            last_response_at: now,
            agent_changed_at: None,
        }
    }

    /// Returns the next poll to send.
    pub fn next_poll(&self) -> Poll {
        match self.revision {
            None => Poll::snapshot(),
            Some(revision) if self.agent_confirmed => Poll::long(revision),
            Some(revision) => Poll::confirmation(revision),
        }
    }

    /// Records a response with the list or the changes up to this revision.
    ///
    /// Returns whether the response arrived after the notification deadline.
    pub fn on_response(&mut self, now: Time, revision: u64) -> bool {
        let is_late = now > self.notification_deadline();
        *self = DiscoveryWatch {
            revision: Some(revision),
            agent_confirmed: true,
            ..DiscoveryWatch::new(now)
        };
        is_late
    }

    /// Records a fault. Returns the backoff before the watch is restarted.
    ///
    /// An agent may return during the backoff, and this process counts as notified of what the agent has from then on. So
    /// the backoff and a stall of the process have to fit into `drain_grace`, the time after the notification of a drain
    /// within which requests may still be sent.
    pub fn on_fault(&mut self, error: &WatchError, drain_grace: Seconds) -> Seconds {
        if error.invalidates_revision() {
            self.revision = None;
        }
        self.agent_confirmed = false;
        self.consecutive_faults = self.consecutive_faults.saturating_add(1);
        let backoff = BACKOFF_STEP * f64::from(self.consecutive_faults);
        backoff.min(max_backoff(drain_grace))
    }

    /// Returns the backoff after the agent closed the connection following a complete response, which is not a fault.
    pub fn on_connection_closed(&self) -> Seconds {
        BACKOFF_STEP
    }

    /// Restarts the watch at another agent with a snapshot, since revisions of different agents can't be compared.
    pub fn on_agent_changed(&mut self, now: Time) {
        *self = DiscoveryWatch {
            agent_changed_at: Some(now),
            ..DiscoveryWatch::new(self.last_response_at)
        };
    }

    /// Returns the time from which this process counts as notified of all changes since the last response, whether or
    /// not they arrived.
    pub fn notification_deadline(&self) -> Time {
        if let Some(changed_at) = self.agent_changed_at {
            return changed_at + NOTIFIED_AFTER_AGENT_CHANGE;
        }
        let after_long_poll = self.next_poll().request.max_wait() + NOTIFIED_AFTER_LONG_POLL;
        self.last_response_at + f64::max(NOTIFIED_AFTER_SILENCE, after_long_poll)
    }

    /// Returns the number of faults since the last response.
    pub fn consecutive_faults(&self) -> u32 {
        self.consecutive_faults
    }
}

/// Returns the longest backoff with which a drain is still noticed within its grace period.
fn max_backoff(drain_grace: Seconds) -> Seconds {
    (drain_grace - MAX_PROCESS_STALL).clamp(BACKOFF_STEP, MAX_BACKOFF)
}

#[cfg(test)]
mod tests;
