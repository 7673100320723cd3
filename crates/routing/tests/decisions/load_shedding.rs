//! Which queries are rejected before any part is sent.

use crate::common::*;
use cairnroad_types::*;

#[test]
fn a_replica_without_slow_start_capacity_does_not_hide_its_peers_queues() {
    // Incident i25f4e0: one of two replicas was replaced; its successor in slow start showed no latency.
    let mut harness = Harness::new(idempotent_settings());
    let now = harness.now;
    harness.handle(&[Event::Endpoints(EndpointUpdate::Delta(vec![
        endpoint(1, ServerState::Removed, None),
        endpoint(2, ServerState::Ready, Some(now)),
    ]))]);
    let mut rejected = 0;
    for _ in 0..60 {
        let (events, id, _) = harness.query(0, &[0]);
        let actions = harness.handle(&events);
        rejected += usize::from(is_finished(&actions, id) && sends(&actions).is_empty());
        harness.handle_after(0.02, &[Event::TimerFired]);
    }
    assert!(
        rejected > 10,
        "queries for an overloaded shard are shed at once: {rejected}"
    );
}

#[test]
fn a_client_retry_past_its_objective_is_rejected_at_once() {
    // Incidents ie41bf9 and i6761ef: late client retries kept an overload alive. The deadline is 3 s, the objective 1 s.
    let mut harness = Harness::new(idempotent_settings());
    let ask = |harness: &mut Harness, time_left: f64, retry: bool| {
        let (mut events, id, _) = harness.query(0, &[0]);
        let now = harness.now;
        if let Event::Query {
            deadline,
            is_client_retry,
            ..
        } = &mut events[0]
        {
            (*deadline, *is_client_retry) = (now + time_left, retry);
        }
        (harness.handle(&events), id)
    };
    assert_eq!(
        sends(&ask(&mut harness, 2.4, false).0).len(),
        1,
        "a first attempt"
    );
    assert_eq!(
        sends(&ask(&mut harness, 2.4, true).0).len(),
        1,
        "a client retry of unknown age"
    );
    assert_eq!(
        sends(&ask(&mut harness, 2.2, true).0).len(),
        1,
        "a client retry after 0.8 s"
    );
    let (actions, id) = ask(&mut harness, 1.9, true);
    assert!(
        sends(&actions).is_empty() && is_finished(&actions, id),
        "a client retry after 1.1 s"
    );
}

#[test]
fn a_second_step_halves_the_expected_latency_that_is_admitted() {
    // Hunt h50b957: two-step queries were admitted by the latency of one step and finished late.
    for (second_step_parts, admitted) in [(0, true), (2, false)] {
        let mut page = class(Idempotency::Idempotent);
        (page.second_step_parts, page.late_answer_share) = (second_step_parts, 0.5);
        let mut harness = Harness::new(settings(vec![page]));
        let (events, ..) = harness.query(0, &[0, 1, 2]);
        harness.handle(&events); // one part in flight at each replica for 0.3 s: over half of 0.5 of the objective
        harness.now = harness.now + 0.3;
        let (events, ..) = harness.query(0, &[0, 1, 2]);
        assert_eq!(
            !sends(&harness.handle(&events)).is_empty(),
            admitted,
            "second step of {second_step_parts} parts"
        );
    }
}

#[test]
fn a_first_attempt_with_little_time_left_is_served() {
    // Little time left is no sign of a late client retry: these clients came first, and wait less than the objective.
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(30);
    let (mut events, _, parts) = harness.query(0, &[0]);
    if let Event::Query { deadline, .. } = &mut events[0] {
        *deadline = harness.now + 0.4;
    }
    assert_eq!(sends(&harness.handle(&events)).len(), 1);
    let actions = harness.handle_after(0.1, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
    assert!(actions.iter().any(|a| matches!(
        a,
        Action::Answer {
            is_complete: true,
            ..
        }
    )));
}

#[test]
fn a_query_with_a_shard_without_sound_replica_is_rejected_before_any_part_is_sent() {
    let mut drawn = idempotent_settings();
    (drawn.cells, drawn.cells_per_shard) = (6, 1);
    let mut harness = Harness::new(drawn);
    let rows = (0..6)
        .map(|id| Endpoint {
            cell: id,
            ..endpoint(id, ServerState::Ready, None)
        })
        .collect();
    harness.handle(&[Event::Endpoints(EndpointUpdate::Snapshot(rows))]);
    harness.serve(30, 0.1);
    // The only candidate of a shard is sent to even if it is an outlier; shard 5 has two, and both are silent.
    let spare = Endpoint {
        cell: 5,
        ..endpoint(9, ServerState::Ready, None)
    };
    harness.handle(&[Event::Endpoints(EndpointUpdate::Delta(vec![spare]))]);
    for _ in 0..4 {
        let (events, ..) = harness.query(0, &[5]);
        harness.handle(&events);
        harness.handle_after(1.1, &[Event::TimerFired]);
        harness.serve(30, 0.1);
    }
    let (events, ..) = harness.query(0, &[5]);
    harness.handle(&events);
    let (events, id, _) = harness.query(0, &[0, 5]);
    let actions = harness.handle(&events);
    assert!(sends(&actions).is_empty() && is_finished(&actions, id));
}

#[test]
fn an_overtaken_part_counts_as_no_queue() {
    // On a heavy-tail day the long parts of costly queries had everything rejected at their servers.
    for (overtaken, admitted) in [(true, true), (false, false)] {
        let mut page = class(Idempotency::AtMostOnce);
        page.late_answer_share = 0.5;
        let mut harness = Harness::new(Settings {
            cells: 1,
            cells_per_shard: 1,
            ..settings(vec![page])
        });
        let one = Endpoint {
            cell: 0,
            ..endpoint(0, ServerState::Ready, None)
        };
        harness.handle(&[Event::Endpoints(EndpointUpdate::Snapshot(vec![one]))]);
        let (long, ..) = harness.query(0, &[0]);
        harness.handle(&long);
        harness.handle_after(0.05, &[]);
        if overtaken {
            harness.serve_quick(1);
        }
        let (events, ..) = harness.query(0, &[0]);
        let actions = harness.handle_after(0.55, &events);
        assert_eq!(
            !sends(&actions).is_empty(),
            admitted,
            "overtaken {overtaken}"
        );
    }
}
