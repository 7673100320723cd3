use super::*;

fn spec() -> NodeSpec {
    NodeSpec {
        cores: 2,
        queue: 3,
        call_ms: 0.0,
        ..NodeSpec::default()
    }
}

/// Runs a node until it is idle and returns each completed part with its completion time.
fn run_to_idle(node: &mut NodeModel) -> Vec<(u64, f64)> {
    let mut completions = Vec::new();
    while let Some(at) = node.next_completion() {
        completions.extend(node.complete_until(at).into_iter().map(|part| (part, at)));
    }
    completions
}

#[test]
fn parts_run_on_all_cores_and_the_rest_wait_in_order() {
    let mut node = NodeModel::new(spec(), -100.0);
    let admissions: Vec<Admission> = (0..6)
        .map(|part| node.admit(0.0, part, 0.1, false))
        .collect();
    assert_eq!(
        admissions,
        [
            Admission::Accepted,
            Admission::Accepted,
            Admission::Accepted,
            Admission::Accepted,
            Admission::Accepted,
            Admission::Rejected
        ]
    );
    let completions = run_to_idle(&mut node);
    let expected = [(0, 0.1), (1, 0.1), (2, 0.2), (3, 0.2), (4, 0.3)];
    assert!(
        completions
            .iter()
            .zip(expected)
            .all(|(a, b)| a.0 == b.0 && (a.1 - b.1).abs() < 1e-9),
        "{completions:?}"
    );
}

#[test]
fn a_node_in_slow_start_ramps_up_and_can_be_overloaded() {
    let mut node = NodeModel::new(spec(), 0.0);
    assert!((node.speed(0.0) - 0.23).abs() < 1e-9 && (node.speed(8.0) - 0.615).abs() < 1e-9);
    assert_eq!(node.speed(16.0), 1.0);
    // Two cores at a speed of 0.23 do 0.46 s of work per second; 2.5 times that is the limit of 1.15 s.
    assert_eq!(node.admit(0.0, 1, 1.1, false), Admission::Accepted);
    assert_eq!(node.admit(0.1, 2, 0.2, false), Admission::Overloaded);
    let mut warm = NodeModel::new(spec(), -16.0);
    assert_eq!(
        warm.admit(0.0, 1, 50.0, false),
        Admission::Accepted,
        "a warm node queues the work and is not overloaded"
    );
}

#[test]
fn cancel_removes_a_waiting_part_and_stops_a_running_one_if_configured() {
    for cancel_stops in [false, true] {
        let mut node = NodeModel::new(
            NodeSpec {
                cancel_stops,
                cores: 1,
                ..spec()
            },
            -100.0,
        );
        node.admit(0.0, 1, 1.0, false);
        node.admit(0.0, 2, 1.0, false);
        node.admit(0.0, 3, 1.0, false);
        assert!(node.cancel(0.1, 2), "a waiting part never ran");
        assert!(!node.cancel(0.1, 1), "a running part has begun");
        let completions = run_to_idle(&mut node);
        let expected_at = if cancel_stops { 1.1 } else { 2.0 };
        assert_eq!(completions.len(), 1);
        assert!(
            completions[0].0 == 3 && (completions[0].1 - expected_at).abs() < 1e-9,
            "{completions:?}"
        );
    }
}
