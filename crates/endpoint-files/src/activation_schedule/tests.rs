use super::ActivationSchedule;
use crate::endpoint_set::{EndpointSet, Phase};
use crate::parse::{parse_files, SourceFile};

fn endpoint_set(text: &str) -> EndpointSet {
    let file = SourceFile {
        name: "a.toml".into(),
        text: Ok(text.into()),
    };
    parse_files(&[file]).unwrap()
}

#[test]
fn weights_ramp_and_a_new_list_continues_from_their_present_values() {
    let text = |generation: u64, weight: f64| {
        endpoint_set(&format!("generation = {generation}\n[[server]]\nid = \"a\"\naddress = \"127.0.0.1:1\"\ncell = 0\nweight = {weight:?}\n# end\n"))
    };
    let mut schedule = ActivationSchedule::default();
    schedule.replace(100.0, text(1, 1.0));
    assert_eq!(
        (
            schedule.status_at(100.0, "a").unwrap().weight,
            schedule.next_change(100.0)
        ),
        (1.0, None),
        "the weights of the first list apply at once"
    );
    schedule.replace(200.0, text(2, 3.0));
    assert_eq!(schedule.status_at(200.0, "a").unwrap().weight, 1.0);
    assert_eq!(schedule.next_change(200.0), Some(200.5));
    assert!((schedule.status_at(205.0, "a").unwrap().weight - 2.0).abs() < 1e-9);
    schedule.replace(205.0, text(3, 0.0));
    assert!(
        (schedule.status_at(205.0, "a").unwrap().weight - 2.0).abs() < 1e-9,
        "the weight does not jump"
    );
    assert_eq!(
        (
            schedule.status_at(215.0, "a").unwrap().weight,
            schedule.next_change(215.0)
        ),
        (0.0, None)
    );
    // Every step moves towards the new weight.
    let mut last = 2.0;
    let mut now = 205.0;
    while let Some(next) = schedule.next_change(now) {
        assert!(next > now, "{next} after {now}");
        now = next;
        let weight = schedule.status_at(now, "a").unwrap().weight;
        assert!(weight <= last, "{weight} after {last}");
        last = weight;
    }
    assert_eq!(last, 0.0);
}

#[test]
fn endpoints_are_active_from_not_before_until_not_after() {
    let text = "generation = 1\n[[server]]\nid = \"a\"\naddress = \"127.0.0.1:1\"\ncell = 0\n\
        not_before = 1970-01-01T00:01:40Z\nnot_after = 1970-01-01T01:03:20+01:00\n# end\n";
    let mut schedule = ActivationSchedule::default();
    schedule.replace(0.0, endpoint_set(text));
    let phase = |at: f64| schedule.status_at(at, "a").map(|status| status.phase);
    assert_eq!(
        (phase(99.0), phase(100.0), phase(199.9), phase(200.0)),
        (
            None,
            Some(Phase::Active),
            Some(Phase::Active),
            Some(Phase::Draining)
        )
    );
    assert_eq!(
        (
            schedule.next_change(0.0),
            schedule.next_change(100.0),
            schedule.next_change(200.0)
        ),
        (Some(100.0), Some(200.0), None)
    );
}
