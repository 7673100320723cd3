//! The watch of the list of servers, decided in one place, free of I/O and clock: what is asked next and for how long an
//! answer is waited for ([`Watch::ask`]), when the watch is broken and how long to rest before it is begun anew
//! ([`Watch::broke`]), and from when on what it missed counts as told, arrived or not ([`Watch::told_by`]).
//!
//! There is one clock for silence, whether lists are pushed or asked for. A connection that has fallen silent says
//! nothing of the agent: the next one may be answered at once. So a watch that broke is begun with a call that the agent
//! answers straight away, and only one that was answered is trusted to wait for news.

mod fault;

pub use fault::Fault;

use cairnroad_types::Time;

/// How long a call of a sound watch may wait for news, in milliseconds. Short, so that a watch whose answer was lost
/// is soon begun anew.
pub const HOLD_MS: u64 = 2_000;
/// How long a call that has to show that the agent answers may wait, in milliseconds. All that is newer is told at once.
pub const PROOF_MS: u64 = 100;
/// How long an answer may take beyond what its call may wait: a busy machine is no broken watch.
const SLACK: f64 = 1.0;
/// The same while the agent's answer is to be proven: several fresh tries have to fit in before what is missed counts.
const PROOF_SLACK: f64 = 0.4;
/// How long the whole list may take, which the agent gives straight away.
const WHOLE: f64 = 1.0;
/// How long a connection to the agent, on this machine, may take.
pub const DIAL: f64 = 0.5;
/// Rest before a new connection, for each fault in a row. Well under the 0.2 s within which a watch goes on.
const REST: f64 = 0.05;
/// Faults in a row that lengthen it: an agent that is down for long is asked twice a second.
const MOST_RESTS: u32 = 10;
/// What a silent watch misses counts as told so long after it fell silent.
const COUNTS_AFTER: f64 = 6.0;
/// For a call that may wait: so long after that wait is over, if that is later.
const COUNTS_AFTER_WAIT: f64 = 2.0;
/// After a move to another agent, what that one has counts so much later.
const COUNTS_AFTER_MOVE: f64 = 4.0;

/// What to ask the agent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// The whole list.
    Whole,
    /// What is newer than a revision, waiting so many milliseconds for it.
    Since {
        /// The revision that is known.
        revision: u64,
        /// The wait.
        hold_ms: u64,
    },
}

/// One call, and how long its answer is waited for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    /// The call.
    pub call: Call,
    /// Seconds after which the watch is broken.
    pub patience: f64,
}

/// One watch of one agent at a time.
#[derive(Debug)]
pub struct Watch {
    revision: Option<u64>,
    /// The agent has answered since the watch was begun, or begun anew.
    proven: bool,
    faults: u32,
    /// When the agent was last heard, and what its next call may wait.
    heard: Time,
    /// When the agent was moved to, until it is heard.
    moved: Option<Time>,
}

impl Watch {
    /// A process starts: what the agent has counts as told from the first moment.
    pub fn new(now: Time) -> Watch {
        Watch {
            revision: None,
            proven: false,
            faults: 0,
            heard: now,
            moved: None,
        }
    }

    /// The next call.
    pub fn ask(&self) -> Ask {
        match self.revision {
            None => Ask {
                call: Call::Whole,
                patience: WHOLE,
            },
            Some(revision) => {
                let (hold_ms, slack) = match self.proven {
                    true => (HOLD_MS, SLACK),
                    false => (PROOF_MS, PROOF_SLACK),
                };
                Ask {
                    call: Call::Since { revision, hold_ms },
                    patience: hold_ms as f64 / 1e3 + slack,
                }
            }
        }
    }

    /// The agent answered with a list or changes of this revision. Whether it was unheard for so long that what it had
    /// counted as told before it came.
    pub fn answered(&mut self, now: Time, revision: u64) -> bool {
        let late = now > self.told_by();
        *self = Watch {
            revision: Some(revision),
            proven: true,
            faults: 0,
            heard: now,
            moved: None,
        };
        late
    }

    /// The watch broke. Seconds to rest before it is begun anew.
    pub fn broke(&mut self, fault: &Fault) -> f64 {
        if fault.forgets_revision() {
            self.revision = None;
        }
        self.proven = false;
        self.faults = self.faults.saturating_add(1);
        REST * f64::from(self.faults.min(MOST_RESTS))
    }

    /// The agent closed the connection after a whole answer, as it may: the watch goes on with the next call.
    pub fn parted(&mut self) -> f64 {
        REST
    }

    /// Another agent is to be watched. Its revisions mean nothing to this one's, so its whole list is asked for.
    pub fn moved(&mut self, now: Time) {
        *self = Watch {
            moved: Some(now),
            ..Watch::new(self.heard)
        };
    }

    /// From when on what the agent has had since it was last heard counts as told, whether or not it came.
    pub fn told_by(&self) -> Time {
        let hold = match self.ask().call {
            Call::Since { hold_ms, .. } => hold_ms as f64 / 1e3,
            Call::Whole => 0.0,
        };
        match self.moved {
            Some(at) => at + COUNTS_AFTER_MOVE,
            None => self.heard + f64::max(COUNTS_AFTER, hold + COUNTS_AFTER_WAIT),
        }
    }

    /// How many faults there were in a row.
    pub fn faults(&self) -> u32 {
        self.faults
    }
}

#[cfg(test)]
mod tests;
