use super::*;

fn at(secs: f64) -> Time {
    Time::from_secs(secs)
}

/// Three zones of seven; those of `silent` kept what was sent at 10 s, the others answered what was sent then.
fn sightings(silent: &[(u32, usize)]) -> Vec<Sighting> {
    let server = |zone: u32, place: usize| match silent.contains(&(zone, place)) {
        true => Sighting {
            zone,
            answered: at(8.0),
            kept: Some(at(10.0)),
        },
        // The second of each zone was not asked.
        false if place == 1 => Sighting {
            zone,
            answered: at(8.0),
            kept: None,
        },
        false => Sighting {
            zone,
            answered: at(10.0),
            kept: None,
        },
    };
    (1..4)
        .flat_map(|zone| (0..7).map(move |place| server(zone, place)))
        .collect()
}

fn all(zone: u32) -> Vec<(u32, usize)> {
    (0..7)
        .filter(|&place| place != 1)
        .map(|place| (zone, place))
        .collect()
}

#[test]
fn a_zone_all_of_whose_asked_servers_are_silent_is_lost_once() {
    let mut zones = Zones::default();
    assert_eq!(zones.lost(at(10.2), &sightings(&all(2))), vec![2]);
    assert!(
        zones.lost(at(10.3), &sightings(&all(2))).is_empty(),
        "known"
    );
    assert_eq!(zones.found(at(13.2), 2), Some(3.0));
    assert_eq!(zones.found(at(13.2), 2), None);
}

#[test]
fn ill_servers_of_a_zone_that_answers_are_no_lost_zone() {
    let mut some = all(2);
    some.pop();
    assert!(Zones::default()
        .lost(at(10.2), &sightings(&some))
        .is_empty());
}

#[test]
fn one_silent_server_is_no_zone() {
    let mut list = sightings(&[(2, 0)]);
    list.iter_mut()
        .filter(|s| s.zone == 2)
        .for_each(|s| s.answered = at(8.0));
    assert!(Zones::default().lost(at(10.2), &list).is_empty());
}

/// Guards against two ill servers that a search happens to meet where no other of their large zone was asked.
#[test]
fn two_of_many_are_no_zone() {
    let elsewhere = Sighting {
        zone: 1,
        answered: at(10.0),
        kept: None,
    };
    let unasked = Sighting {
        zone: 2,
        answered: at(8.0),
        kept: None,
    };
    let silent = Sighting {
        kept: Some(at(10.0)),
        ..unasked
    };
    let zone_of = |size: usize| [vec![elsewhere, silent, silent], vec![unasked; size - 2]].concat();
    assert!(Zones::default().lost(at(10.2), &zone_of(20)).is_empty());
    assert_eq!(Zones::default().lost(at(10.2), &zone_of(7)), vec![2]);
}

#[test]
fn silence_everywhere_is_our_own() {
    let everywhere: Vec<_> = (1..4).flat_map(all).collect();
    assert!(Zones::default()
        .lost(at(10.2), &sightings(&everywhere))
        .is_empty());
}

#[test]
fn servers_without_a_zone_tell_nothing_and_a_zone_without_servers_is_forgotten() {
    let mut zones = Zones::default();
    assert_eq!(zones.lost(at(10.2), &sightings(&all(2))), vec![2]);
    let mut unplaced = sightings(&all(2));
    unplaced.iter_mut().for_each(|s| s.zone = 0);
    assert!(zones.lost(at(10.2), &unplaced).is_empty());
    assert_eq!(zones.found(at(11.0), 2), None);
}
