use super::*;

fn spec() -> Spec {
    Spec {
        cores: 2,
        queue: 3,
        call_ms: 0.0,
        ..Spec::default()
    }
}

/// Plays a node to its end; when each part was done.
fn play(node: &mut Node) -> Vec<(u64, f64)> {
    let mut done = Vec::new();
    while let Some(at) = node.next() {
        done.extend(node.advance(at).into_iter().map(|part| (part, at)));
    }
    done
}

#[test]
fn cores_run_side_by_side_and_the_rest_waits_in_order() {
    let mut node = Node::new(spec(), -100.0);
    let taken: Vec<Taken> = (0..6)
        .map(|part| node.arrive(0.0, part, 0.1, false))
        .collect();
    assert_eq!(
        taken,
        [
            Taken::Yes,
            Taken::Yes,
            Taken::Yes,
            Taken::Yes,
            Taken::Yes,
            Taken::Busy
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
    let mut node = Node::new(spec(), 0.0);
    assert!((node.speed(0.0) - 0.23).abs() < 1e-9 && (node.speed(8.0) - 0.615).abs() < 1e-9);
    assert_eq!(node.speed(16.0), 1.0);
    // It can do 0.46 s of work a second; 2.5 times that is 1.15.
    assert_eq!(node.arrive(0.0, 1, 1.1, false), Taken::Yes);
    assert_eq!(node.arrive(0.1, 2, 0.2, false), Taken::Fell);
    let mut warm = Node::new(spec(), -16.0);
    assert_eq!(
        warm.arrive(0.0, 1, 50.0, false),
        Taken::Yes,
        "a warm one only gets slow"
    );
}

#[test]
fn a_cancel_takes_back_what_waits_and_stops_what_runs_where_that_is_so() {
    for stops in [false, true] {
        let mut node = Node::new(
            Spec {
                cancel_stops: stops,
                cores: 1,
                ..spec()
            },
            -100.0,
        );
        node.arrive(0.0, 1, 1.0, false);
        node.arrive(0.0, 2, 1.0, false);
        node.arrive(0.0, 3, 1.0, false);
        assert!(node.cancel(0.1, 2), "it waited: it never ran");
        assert!(!node.cancel(0.1, 1), "it had begun");
        let done = play(&mut node);
        let at = if stops { 1.1 } else { 2.0 };
        assert_eq!(done.len(), 1);
        assert!(done[0].0 == 3 && (done[0].1 - at).abs() < 1e-9, "{done:?}");
    }
}
