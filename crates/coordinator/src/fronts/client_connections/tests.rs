//! Who leaves when a place is needed, and what a stop goes by.

use super::*;

#[test]
fn the_longest_idle_leaves_first_and_neither_the_young_nor_the_busy() {
    let places = Rc::new(ClientConnections::default());
    let at = Time::from_secs;
    let held: Vec<ClientConnection> = (0..4).map(|_| places.take()).collect();
    assert!(!places.make_room(at(9.0)), "nobody idles");
    for (place, since) in held.iter().zip([3.0, 1.0, 2.0, 9.0]) {
        place.idle(at(since));
    }
    held[1].busy();
    assert_eq!((places.open(), places.busy()), (4, 1));
    let left = |now: f64| {
        places.make_room(at(now));
        let idle = places.idle.borrow();
        idle.keys().map(|(_, id)| *id).collect::<Vec<_>>()
    };
    assert_eq!(
        (left(9.1), left(9.1), left(9.1)),
        (vec![0, 3], vec![3], vec![3])
    );
    assert_eq!(left(9.3), Vec::<u64>::new());
    // Of two that idle since the same moment, the one that was answered may leave sooner.
    held[2].busy();
    held[2].idle(at(10.0));
    held[1].asked(at(9.9));
    assert_eq!(
        (
            places.seen().unanswered_requests,
            places.seen().last_request_at
        ),
        (1, at(9.9))
    );
    held[1].answered(at(9.9));
    assert_eq!(places.seen().unanswered_requests, 0);
    held[1].idle(at(10.0));
    assert_eq!((left(10.04), left(10.06)), (vec![1, 2], vec![2]));
    held[1].busy();
    held[2].busy();
    drop(held);
    assert_eq!((places.open(), places.busy()), (0, 0));
}

/// Guards against connections that are only read and dropped being taken for requests that come in, or for clients that
/// have not been told of the end, or keeping others out.
#[test]
fn a_connection_that_was_told_of_the_end_counts_for_nothing_but_its_place() {
    let places = Rc::new(ClientConnections::default());
    let held: Vec<ClientConnection> = (0..3).map(|_| places.take()).collect();
    held[0].idle(Time::from_secs(1.0));
    let seen = |places: &ClientConnections| {
        (
            places.open(),
            places.busy(),
            places.seen().partial_requests,
            places.seen().unnotified_connections,
        )
    };
    assert_eq!(seen(&places), (3, 2, 2, 3));
    assert!(places.make_room(Time::from_secs(9.0)));
    for _ in 0..2 {
        held[0].part(Time::from_secs(9.0));
        held[1].part(Time::from_secs(9.0));
    }
    assert_eq!(seen(&places), (3, 1, 1, 1));
    assert!(places.make_room(Time::from_secs(9.5)) && places.make_room(Time::from_secs(9.5)));
    assert!(!places.make_room(Time::from_secs(9.5)));
    drop(held);
    assert_eq!(seen(&places), (0, 0, 0, 0));
}
