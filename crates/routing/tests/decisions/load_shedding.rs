//! Tests of load shedding: queries that are rejected before any part is sent.

use crate::common::*;
use cairnroad_types::*;

#[test]
fn a_replica_without_slow_start_capacity_does_not_hide_its_peers_queues() {
    // Guards against a replica without latency figures that makes a shard look idle. In incident i25f4e0, one
    // of two replicas was replaced by a server in slow start, which had no latency yet.
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
        "only {rejected} of 60 queries for an overloaded shard were rejected at once"
    );
}

#[test]
fn a_client_retry_past_its_objective_is_rejected_at_once() {
    // Guards against late client retries that prolong an overload (incidents ie41bf9 and i6761ef). The
    // deadline is 3 s and the latency objective is 1 s.
    let mut harness = Harness::new(idempotent_settings());
    let send_query = |harness: &mut Harness, time_left: f64, is_retry: bool| {
        let (mut events, id, _) = harness.query(0, &[0]);
        let now = harness.now;
        if let Event::Query {
            deadline,
            is_client_retry,
            ..
        } = &mut events[0]
        {
            (*deadline, *is_client_retry) = (now + time_left, is_retry);
        }
        (harness.handle(&events), id)
    };
    assert_eq!(
        sends(&send_query(&mut harness, 2.4, false).0).len(),
        1,
        "a first query"
    );
    assert_eq!(
        sends(&send_query(&mut harness, 2.4, true).0).len(),
        1,
        "a client retry 0.6 s after the first query"
    );
    assert_eq!(
        sends(&send_query(&mut harness, 2.2, true).0).len(),
        1,
        "a client retry 0.8 s after the first query"
    );
    let (actions, id) = send_query(&mut harness, 1.9, true);
    assert!(
        sends(&actions).is_empty() && is_finished(&actions, id),
        "a client retry 1.1 s after the first query"
    );
}

#[test]
fn a_second_step_halves_the_expected_latency_that_is_admitted() {
    // Guards against two-step queries that are admitted by the latency of one step and finish late (case
    // h50b957).
    for (second_step_parts, admitted) in [(0, true), (2, false)] {
        let mut two_step_class = class(Idempotency::Idempotent);
        (
            two_step_class.second_step_parts,
            two_step_class.late_answer_share,
        ) = (second_step_parts, 0.5);
        let mut harness = Harness::new(settings(vec![two_step_class]));
        let (events, ..) = harness.query(0, &[0, 1, 2]);
        harness.handle(&events);
        // Each replica has had one part in flight for 0.3 s. One step is admitted up to 0.5 s, two steps up
        // to 0.25 s each.
        harness.now = harness.now + 0.3;
        let (events, ..) = harness.query(0, &[0, 1, 2]);
        assert_eq!(
            !sends(&harness.handle(&events)).is_empty(),
            admitted,
            "class with {second_step_parts} second-step parts"
        );
    }
}

#[test]
fn a_first_attempt_with_little_time_left_is_served() {
    // Guards against taking a short deadline for a late client retry: some clients wait less than the latency
    // objective.
    let mut harness = Harness::new(idempotent_settings());
    harness.serve_quick(30);
    let (mut events, _, parts) = harness.query(0, &[0]);
    if let Event::Query { deadline, .. } = &mut events[0] {
        *deadline = harness.now + 0.4;
    }
    assert_eq!(sends(&harness.handle(&events)).len(), 1);
    let actions = harness.handle_after(0.1, &[attempt_ended(parts[0], 0, Outcome::Ok)]);
    assert!(actions.iter().any(|action| matches!(
        action,
        Action::Answer {
            is_complete: true,
            ..
        }
    )));
}

#[test]
fn a_query_with_a_shard_without_healthy_replica_is_rejected_before_any_part_is_sent() {
    let mut settings = idempotent_settings();
    (settings.cells, settings.cells_per_shard) = (6, 1);
    let mut harness = Harness::new(settings);
    let endpoints = (0..6)
        .map(|id| Endpoint {
            cell: id,
            ..endpoint(id, ServerState::Ready, None)
        })
        .collect();
    harness.handle(&[Event::Endpoints(EndpointUpdate::Snapshot(endpoints))]);
    harness.serve(30, 0.1);
    // The only candidate of a shard gets its parts even if it is an outlier. So shard 5 gets a second server,
    // and neither of the two answers.
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
fn an_overtaken_part_does_not_count_as_a_queue() {
    // Guards against long-running parts of expensive queries that cause all other queries at their servers to
    // be rejected, as seen under heavy-tailed load.
    for (is_overtaken, admitted) in [(true, true), (false, false)] {
        let mut late_value_class = class(Idempotency::AtMostOnce);
        late_value_class.late_answer_share = 0.5;
        let mut harness = Harness::new(Settings {
            cells: 1,
            cells_per_shard: 1,
            ..settings(vec![late_value_class])
        });
        let only_server = Endpoint {
            cell: 0,
            ..endpoint(0, ServerState::Ready, None)
        };
        harness.handle(&[Event::Endpoints(EndpointUpdate::Snapshot(vec![
            only_server,
        ]))]);
        let (long_query, ..) = harness.query(0, &[0]);
        harness.handle(&long_query);
        harness.handle_after(0.05, &[]);
        if is_overtaken {
            harness.serve_quick(1);
        }
        let (events, ..) = harness.query(0, &[0]);
        let actions = harness.handle_after(0.55, &events);
        assert_eq!(
            !sends(&actions).is_empty(),
            admitted,
            "overtaken: {is_overtaken}"
        );
    }
}
