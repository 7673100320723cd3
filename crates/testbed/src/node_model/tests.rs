use super::*;

fn spec() -> NodeSpec {
    NodeSpec {
        cores: 2,
        queue: 3,
        call_ms: 0.0,
        ..NodeSpec::default()
    }
}

/// Plays a node to its end; when each part was done.
fn play(node: &mut NodeModel) -> Vec<(u64, f64)> {
    let mut done = Vec::new();
    while let Some(at) = node.next_completion() {
        done.extend(node.complete_until(at).into_iter().map(|part| (part, at)));
    }
    done
}

#[test]
fn cores_run_side_by_side_and_the_rest_waits_in_order() {
    let mut node = NodeModel::new(spec(), -100.0);
    let taken: Vec<Admission> = (0..6)
        .map(|part| node.admit(0.0, part, 0.1, false))
        .collect();
    assert_eq!(
        taken,
        [
            Admission::Accepted,
            Admission::Accepted,
            Admission::Accepted,
            Admission::Accepted,
            Admission::Accepted,
            Admission::Rejected
        ]
    );
    let done = play(&mut node);
    let wanted = [(0, 0.1), (1, 0.1), (2, 0.2), (3, 0.2), (4, 0.3)];
    assert!(
        done.iter()
            .zip(wanted)
            .all(|(a, b)| a.0 == b.0 && (a.1 - b.1).abs() < 1e-9),
        "{done:?}"
    );
}

#[test]
fn a_cold_node_warms_up_and_falls_over_when_too_much_comes() {
    let mut node = NodeModel::new(spec(), 0.0);
    assert!((node.speed(0.0) - 0.23).abs() < 1e-9 && (node.speed(8.0) - 0.615).abs() < 1e-9);
    assert_eq!(node.speed(16.0), 1.0);
    // It can do 0.46 s of work a second; 2.5 times that is 1.15.
    assert_eq!(node.admit(0.0, 1, 1.1, false), Admission::Accepted);
    assert_eq!(node.admit(0.1, 2, 0.2, false), Admission::Overloaded);
    let mut warm = NodeModel::new(spec(), -16.0);
    assert_eq!(
        warm.admit(0.0, 1, 50.0, false),
        Admission::Accepted,
        "a warm one only gets slow"
    );
}

#[test]
fn a_cancel_takes_back_what_waits_and_stops_what_runs_where_that_is_so() {
    for stops in [false, true] {
        let mut node = NodeModel::new(
            NodeSpec {
                cancel_stops: stops,
                cores: 1,
                ..spec()
            },
            -100.0,
        );
        node.admit(0.0, 1, 1.0, false);
        node.admit(0.0, 2, 1.0, false);
        node.admit(0.0, 3, 1.0, false);
        assert!(node.cancel(0.1, 2), "it waited: it never ran");
        assert!(!node.cancel(0.1, 1), "it had begun");
        let done = play(&mut node);
        let at = if stops { 1.1 } else { 2.0 };
        assert_eq!(done.len(), 1);
        assert!(done[0].0 == 3 && (done[0].1 - at).abs() < 1e-9, "{done:?}");
    }
}
