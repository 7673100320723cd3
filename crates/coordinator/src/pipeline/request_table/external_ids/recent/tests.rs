use super::*;

/// Guards against a table that grows without end by ids that clients choose, and against an id that is forgotten too early to
/// make room for others.
#[test]
fn the_number_of_ids_is_limited_and_none_is_forgotten_early() {
    let mut ids = RecentIds::new(3);
    ids.retention = 10.0;
    let at = Time::from_secs;
    for (second, id) in ["a", "b", "c"].iter().enumerate() {
        assert!(ids.has_room(at(second as f64)));
        ids.insert(at(second as f64), hash(id));
    }
    assert!(!ids.has_room(at(9.9)));
    assert!(["a", "b", "c"]
        .iter()
        .all(|id| ids.contains(at(9.9), hash(id))));
    assert!(ids.has_room(at(10.1)) && !ids.contains(at(10.1), hash("a")));
    ids.insert(at(10.1), hash("a"));
    assert!(!ids.has_room(at(10.9)) && ids.contains(at(20.0), hash("a")));
}

/// Guards against processes that hash alike ids differently: a reference value of FNV-1a.
#[test]
fn the_hash_is_fnv_1a() {
    assert_eq!(hash("a"), 0xaf63_dc4c_8601_ec8c);
}
