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
    assert_eq!(
        watch.ask(),
        Ask {
            call: Call::Whole,
            patience: 1.0
        }
    );
    watch.answered(at(0.1), 7);
    assert_eq!(
        watch.ask(),
        Ask {
            call: Call::Since {
                revision: 7,
                hold_ms: 2000
            },
            patience: 3.0
        }
    );
    assert_eq!(watch.broke(&SILENT), 0.05);
    assert_eq!(
        watch.ask(),
        Ask {
            call: Call::Since {
                revision: 7,
                hold_ms: 100
            },
            patience: 0.5
        }
    );
    assert_eq!(watch.broke(&SILENT), 0.1);
    watch.answered(at(4.0), 8);
    assert_eq!(
        watch.ask(),
        Ask {
            call: Call::Since {
                revision: 8,
                hold_ms: 2000
            },
            patience: 3.0
        }
    );
    assert_eq!(
        (watch.broke(&Fault::Status(410)), watch.ask().call),
        (0.05, Call::Whole)
    );
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
    assert_eq!(
        watch.told_by(),
        at(7.0),
        "6 s after it fell silent are later than 2 s after the wait"
    );
    watch.broke(&SILENT);
    assert_eq!(
        watch.told_by(),
        at(7.0),
        "a fault of ours does not put it off"
    );
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
