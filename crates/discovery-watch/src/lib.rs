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
        Watch { revision: None, proven: false, faults: 0, heard: now, moved: None }
    }

    /// The next call.
    pub fn ask(&self) -> Ask {
        match self.revision {
            None => Ask { call: Call::Whole, patience: WHOLE },
            Some(revision) => {
                let (hold_ms, slack) = match self.proven {
                    true => (HOLD_MS, SLACK),
                    false => (PROOF_MS, PROOF_SLACK),
                };
                Ask { call: Call::Since { revision, hold_ms }, patience: hold_ms as f64 / 1e3 + slack }
            }
        }
    }

    /// The agent answered with a list or changes of this revision. Whether it was unheard for so long that what it had
    /// counted as told before it came.
    pub fn answered(&mut self, now: Time, revision: u64) -> bool {
        let late = now > self.told_by();
        *self = Watch { revision: Some(revision), proven: true, faults: 0, heard: now, moved: None };
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
        *self = Watch { moved: Some(now), ..Watch::new(self.heard) };
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
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    const SILENT: Fault = Fault::Silent { secs: 0.0 };

    fn at(secs: f64) -> Time {
        Time::from_secs(1000.0 + secs)
    }

    /// Plays a watch against an agent that says nothing on connections made before `sound`, seconds after it was last
    /// heard, and has news from then on: when the news is heard.
    fn heard_after(mut watch: Watch, sound: f64, dial: f64) -> f64 {
        let mut age = 0.0;
        let mut made = -1.0;
        loop {
            if made >= sound {
                return age;
            }
            age += watch.ask().patience;
            age += watch.broke(&SILENT);
            made = age;
            age += dial;
        }
    }

    fn sound_watch() -> Watch {
        let mut watch = Watch::new(at(0.0));
        assert!(!watch.answered(at(0.0), 7));
        watch
    }

    #[test]
    fn a_sound_watch_waits_and_one_that_broke_has_to_be_proven_first() {
        let mut watch = Watch::new(at(0.0));
        assert_eq!(watch.ask(), Ask { call: Call::Whole, patience: 1.0 });
        watch.answered(at(0.1), 7);
        assert_eq!(watch.ask(), Ask { call: Call::Since { revision: 7, hold_ms: 2000 }, patience: 3.0 });
        assert_eq!(watch.broke(&SILENT), 0.05);
        assert_eq!(watch.ask(), Ask { call: Call::Since { revision: 7, hold_ms: 100 }, patience: 0.5 });
        assert_eq!(watch.broke(&SILENT), 0.1);
        watch.answered(at(4.0), 8);
        assert_eq!(watch.ask(), Ask { call: Call::Since { revision: 8, hold_ms: 2000 }, patience: 3.0 });
        assert_eq!((watch.broke(&Fault::Status(410)), watch.ask().call), (0.05, Call::Whole));
        for _ in 0..100 {
            watch.broke(&SILENT);
        }
        assert_eq!((watch.broke(&SILENT), watch.faults()), (0.5, 102));
    }

    #[test]
    fn the_clock_of_silence_is_one_for_all_watches() {
        let mut watch = Watch::new(at(0.0));
        assert_eq!(watch.told_by(), at(6.0));
        watch.answered(at(1.0), 7);
        assert_eq!(watch.told_by(), at(7.0), "6 s after it fell silent are later than 2 s after the wait");
        watch.broke(&SILENT);
        assert_eq!(watch.told_by(), at(7.0), "a fault of ours does not put it off");
        assert!(watch.answered(at(7.1), 9), "too late");
        assert!(!watch.answered(at(13.0), 9));
        watch.moved(at(20.0));
        assert_eq!((watch.told_by(), watch.ask().call), (at(24.0), Call::Whole));
        watch.broke(&SILENT);
        assert_eq!(watch.told_by(), at(24.0));
        assert!(watch.answered(at(24.5), 1));
    }

    /// Guards against a second silent connection that is waited out as the first one was: news would come after it
    /// counts as told.
    #[test]
    fn several_silent_connections_in_a_row_still_leave_time() {
        for silent in [0.0, 1.0, 3.0, 3.4, 4.0, 4.5] {
            let heard = heard_after(sound_watch(), silent, 0.01);
            assert!(heard < 6.0, "silent for {silent} s, heard after {heard} s");
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

        /// Whatever the agent keeps silent about, and however slow its connections are, it is heard within two tries
        /// of its first sound connection.
        #[test]
        fn an_agent_that_answers_again_is_soon_heard(sound in 0.0f64..60.0, dial in 0.0f64..DIAL) {
            let heard = heard_after(sound_watch(), sound, dial);
            prop_assert!(heard - sound < 3.1 + dial || sound > 3.0);
            let (rest, proof) = (REST * f64::from(MOST_RESTS), PROOF_MS as f64 / 1e3 + PROOF_SLACK);
            prop_assert!(sound < 3.1 || heard - sound <= 2.0 * dial + rest + proof + 0.01);
        }

        /// The next call is always one that the agent can answer, and rests stay bounded.
        #[test]
        fn no_order_of_events_stops_a_watch(events in proptest::collection::vec(0u8..5, 0..200)) {
            let mut watch = Watch::new(at(0.0));
            for (number, event) in events.into_iter().enumerate() {
                let now = at(number as f64);
                let rest = match event {
                    0 => { watch.answered(now, number as u64); 0.0 }
                    1 => watch.broke(&Fault::Status(500)),
                    2 => { watch.moved(now); 0.0 }
                    3 => watch.parted(),
                    _ => watch.broke(&SILENT),
                };
                prop_assert!((0.0..=0.5).contains(&rest));
                prop_assert!(watch.ask().patience <= 3.0);
                prop_assert!(watch.told_by() - now <= 8.0);
            }
        }
    }
}
