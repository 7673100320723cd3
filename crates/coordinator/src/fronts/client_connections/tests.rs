//! Tests of the choice of evicted connections and of the state that a graceful shutdown observes.

use super::*;

#[test]
fn the_longest_idle_connection_is_evicted_first_and_recent_or_busy_ones_are_not() {
    let connections = Rc::new(ClientConnections::default());
    let at = Time::from_secs;
    let slots: Vec<ClientConnection> = (0..4).map(|_| connections.register()).collect();
    assert!(
        !connections.evict_longest_idle(at(9.0)),
        "no connection is idle"
    );
    for (slot, idle_since) in slots.iter().zip([3.0, 1.0, 2.0, 9.0]) {
        slot.mark_idle(at(idle_since));
    }
    slots[1].mark_busy();
    assert_eq!((connections.open_count(), connections.busy_count()), (4, 1));
    let idle_after_eviction = |now: f64| {
        connections.evict_longest_idle(at(now));
        let idle = connections.idle.borrow();
        idle.keys().map(|key| key.id).collect::<Vec<_>>()
    };
    assert_eq!(
        (
            idle_after_eviction(9.1),
            idle_after_eviction(9.1),
            idle_after_eviction(9.1)
        ),
        (vec![0, 3], vec![3], vec![3])
    );
    assert_eq!(idle_after_eviction(9.3), Vec::<u64>::new());
    // Of two connections that became idle at the same time, the one that sent a request may be evicted sooner.
    slots[2].mark_busy();
    slots[2].mark_idle(at(10.0));
    slots[1].request_received(at(9.9));
    assert_eq!(
        (
            connections.shutdown_observation().unanswered_requests,
            connections.shutdown_observation().last_request_at
        ),
        (1, at(9.9))
    );
    slots[1].answer_sent(at(9.9));
    assert_eq!(connections.shutdown_observation().unanswered_requests, 0);
    slots[1].mark_idle(at(10.0));
    assert_eq!(
        (idle_after_eviction(10.04), idle_after_eviction(10.06)),
        (vec![1, 2], vec![2])
    );
    slots[1].mark_busy();
    slots[2].mark_busy();
    drop(slots);
    assert_eq!((connections.open_count(), connections.busy_count()), (0, 0));
}

/// Guards against lingering connections that count as partially received requests or as clients that were not told of
/// the close, or that can't be evicted.
#[test]
fn a_lingering_connection_counts_only_as_open() {
    let connections = Rc::new(ClientConnections::default());
    let slots: Vec<ClientConnection> = (0..3).map(|_| connections.register()).collect();
    slots[0].mark_idle(Time::from_secs(1.0));
    let counts = |connections: &ClientConnections| {
        (
            connections.open_count(),
            connections.busy_count(),
            connections.shutdown_observation().partial_requests,
            connections.shutdown_observation().unnotified_connections,
        )
    };
    assert_eq!(counts(&connections), (3, 2, 2, 3));
    assert!(connections.evict_longest_idle(Time::from_secs(9.0)));
    for _ in 0..2 {
        slots[0].begin_linger(Time::from_secs(9.0));
        slots[1].begin_linger(Time::from_secs(9.0));
    }
    assert_eq!(counts(&connections), (3, 1, 1, 1));
    assert!(
        connections.evict_longest_idle(Time::from_secs(9.5))
            && connections.evict_longest_idle(Time::from_secs(9.5))
    );
    assert!(!connections.evict_longest_idle(Time::from_secs(9.5)));
    drop(slots);
    assert_eq!(counts(&connections), (0, 0, 0, 0));
}
