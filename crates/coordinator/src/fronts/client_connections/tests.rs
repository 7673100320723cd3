//! Which connection is evicted, and what a graceful shutdown observes.

use super::*;

#[test]
fn the_longest_idle_is_evicted_first_and_neither_recent_nor_busy_connections_are() {
    let connections = Rc::new(ClientConnections::default());
    let at = Time::from_secs;
    let held: Vec<ClientConnection> = (0..4).map(|_| connections.register()).collect();
    assert!(!connections.evict_longest_idle(at(9.0)), "nobody idles");
    for (connection, since) in held.iter().zip([3.0, 1.0, 2.0, 9.0]) {
        connection.mark_idle(at(since));
    }
    held[1].mark_busy();
    assert_eq!((connections.open_count(), connections.busy_count()), (4, 1));
    let left = |now: f64| {
        connections.evict_longest_idle(at(now));
        let idle = connections.idle.borrow();
        idle.keys().map(|key| key.id).collect::<Vec<_>>()
    };
    assert_eq!(
        (left(9.1), left(9.1), left(9.1)),
        (vec![0, 3], vec![3], vec![3])
    );
    assert_eq!(left(9.3), Vec::<u64>::new());
    // Of two that are idle since the same moment, the one that sent a request may be evicted sooner.
    held[2].mark_busy();
    held[2].mark_idle(at(10.0));
    held[1].request_received(at(9.9));
    assert_eq!(
        (
            connections.shutdown_observation().unanswered_requests,
            connections.shutdown_observation().last_request_at
        ),
        (1, at(9.9))
    );
    held[1].answer_sent(at(9.9));
    assert_eq!(connections.shutdown_observation().unanswered_requests, 0);
    held[1].mark_idle(at(10.0));
    assert_eq!((left(10.04), left(10.06)), (vec![1, 2], vec![2]));
    held[1].mark_busy();
    held[2].mark_busy();
    drop(held);
    assert_eq!((connections.open_count(), connections.busy_count()), (0, 0));
}

/// Guards against connections that only linger being counted as requests that are being received, or as clients that
/// still expect service, or keeping others out.
#[test]
fn a_lingering_connection_counts_only_as_open() {
    let connections = Rc::new(ClientConnections::default());
    let held: Vec<ClientConnection> = (0..3).map(|_| connections.register()).collect();
    held[0].mark_idle(Time::from_secs(1.0));
    let seen = |connections: &ClientConnections| {
        (
            connections.open_count(),
            connections.busy_count(),
            connections.shutdown_observation().partial_requests,
            connections.shutdown_observation().unnotified_connections,
        )
    };
    assert_eq!(seen(&connections), (3, 2, 2, 3));
    assert!(connections.evict_longest_idle(Time::from_secs(9.0)));
    for _ in 0..2 {
        held[0].begin_linger(Time::from_secs(9.0));
        held[1].begin_linger(Time::from_secs(9.0));
    }
    assert_eq!(seen(&connections), (3, 1, 1, 1));
    assert!(
        connections.evict_longest_idle(Time::from_secs(9.5))
            && connections.evict_longest_idle(Time::from_secs(9.5))
    );
    assert!(!connections.evict_longest_idle(Time::from_secs(9.5)));
    drop(held);
    assert_eq!(seen(&connections), (0, 0, 0, 0));
}
