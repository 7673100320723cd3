use super::*;

/// Guards against a table that grows without end by ids that clients choose, and against an id that is forgotten too early to
/// make room for others.
#[test]
fn the_number_of_ids_is_limited_and_none_is_forgotten_early() {
    let mut ids = RecentExternalIds::new(3);
    ids.retention = 10.0;
    let at = Time::from_secs;
    for (second, id) in ["a", "b", "c"].iter().enumerate() {
        assert!(ids.has_room(at(second as f64)));
        ids.insert(at(second as f64), id);
    }
    assert!(!ids.has_room(at(9.9)));
    assert!(["a", "b", "c"].iter().all(|id| ids.contains(at(9.9), id)));
    assert!(ids.has_room(at(10.1)) && !ids.contains(at(10.1), "a"));
    ids.insert(at(10.1), "a");
    assert!(!ids.has_room(at(10.9)) && ids.contains(at(20.0), "a"));
}
