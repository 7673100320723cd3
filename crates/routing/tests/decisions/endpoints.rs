//! Tests of endpoint list updates and of polls for the list.

use crate::common::*;
use cairnroad_routing::RequestRouter;
use cairnroad_types::*;

#[test]
fn an_empty_snapshot_removes_no_server_but_a_nonempty_one_does() {
    let mut harness = Harness::new(idempotent_settings());
    harness.handle(&[Event::Endpoints(EndpointUpdate::Snapshot(Vec::new()))]);
    let (events, ..) = harness.query(0, &[0]);
    assert_eq!(sends(&harness.handle(&events)).len(), 1);
    harness.handle(&[Event::Endpoints(EndpointUpdate::Snapshot(vec![endpoint(
        1,
        ServerState::Ready,
        None,
    )]))]);
    for _ in 0..3 {
        let (events, ..) = harness.query(0, &[0]);
        assert_eq!(sends(&harness.handle(&events))[0].1, 1);
    }
}

#[test]
fn the_endpoint_list_is_polled_at_the_start_and_again_after_a_failure() {
    let mut polling_settings = idempotent_settings();
    polling_settings.max_poll_interval = Some(10.0);
    let mut router = RequestRouter::new(polling_settings, 3);
    let (mut now, mut actions) = (Time::from_secs(5.0), Vec::new());
    let cached = vec![endpoint(0, ServerState::Ready, None)];
    router.handle(
        now,
        &[Event::Endpoints(EndpointUpdate::Cached(cached))],
        &mut actions,
    );
    assert!(actions.contains(&Action::SubscribeEndpoints));
    actions.clear();
    router.handle(
        now + 0.1,
        &[Event::Endpoints(EndpointUpdate::Failed)],
        &mut actions,
    );
    assert!(
        !actions.contains(&Action::SubscribeEndpoints),
        "polled again without a backoff"
    );
    now = now + 1.0;
    router.handle(now, &[Event::TimerFired], &mut actions);
    assert!(actions.contains(&Action::SubscribeEndpoints));
}
