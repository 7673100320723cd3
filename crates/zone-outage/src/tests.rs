use super::*;

fn at(secs: f64) -> Time {
    Time::from_secs(secs)
}

/// Observations of three zones of seven servers. Those in `unresponsive` did not answer the request sent at
/// 10 s; the others answered it.
fn observations(unresponsive: &[(u32, usize)]) -> Vec<ServerObservation> {
    let server = |zone: u32, index: usize| match unresponsive.contains(&(zone, index)) {
        true => ServerObservation {
            zone,
            last_answered_send: at(8.0),
            unanswered_since: Some(at(10.0)),
        },
        // No request was sent to the second server of each zone.
        false if index == 1 => ServerObservation {
            zone,
            last_answered_send: at(8.0),
            unanswered_since: None,
        },
        false => ServerObservation {
            zone,
            last_answered_send: at(10.0),
            unanswered_since: None,
        },
    };
    (1..4)
        .flat_map(|zone| (0..7).map(move |index| server(zone, index)))
        .collect()
}

fn all_servers_sent_to(zone: u32) -> Vec<(u32, usize)> {
    (0..7)
        .filter(|&index| index != 1)
        .map(|index| (zone, index))
        .collect()
}

#[test]
fn an_outage_is_detected_once_if_all_servers_sent_to_are_unresponsive() {
    let mut outages = ZoneOutages::default();
    assert_eq!(
        outages.detect_outages(at(10.2), &observations(&all_servers_sent_to(2))),
        vec![2]
    );
    assert!(
        outages
            .detect_outages(at(10.3), &observations(&all_servers_sent_to(2)))
            .is_empty(),
        "already detected"
    );
    assert_eq!(outages.end_outage(at(13.2), 2), Some(3.0));
    assert_eq!(outages.end_outage(at(13.2), 2), None);
}

#[test]
fn unresponsive_servers_of_a_zone_that_answers_are_no_outage() {
    let mut unresponsive = all_servers_sent_to(2);
    unresponsive.pop();
    assert!(ZoneOutages::default()
        .detect_outages(at(10.2), &observations(&unresponsive))
        .is_empty());
}

#[test]
fn one_unresponsive_server_is_no_outage() {
    let mut servers = observations(&[(2, 0)]);
    servers
        .iter_mut()
        .filter(|server| server.zone == 2)
        .for_each(|server| server.last_answered_send = at(8.0));
    assert!(ZoneOutages::default()
        .detect_outages(at(10.2), &servers)
        .is_empty());
}

/// Guards against two faulty servers of a large zone that count as an outage because a query was sent to no
/// other servers of that zone.
#[test]
fn two_unresponsive_servers_of_a_large_zone_are_no_outage() {
    let in_other_zone = ServerObservation {
        zone: 1,
        last_answered_send: at(10.0),
        unanswered_since: None,
    };
    let idle = ServerObservation {
        zone: 2,
        last_answered_send: at(8.0),
        unanswered_since: None,
    };
    let unresponsive = ServerObservation {
        unanswered_since: Some(at(10.0)),
        ..idle
    };
    let zone_of = |size: usize| {
        [
            vec![in_other_zone, unresponsive, unresponsive],
            vec![idle; size - 2],
        ]
        .concat()
    };
    assert!(ZoneOutages::default()
        .detect_outages(at(10.2), &zone_of(20))
        .is_empty());
    assert_eq!(
        ZoneOutages::default().detect_outages(at(10.2), &zone_of(7)),
        vec![2]
    );
}

#[test]
fn unresponsive_servers_in_all_zones_are_no_outage_of_a_zone() {
    let all_servers: Vec<_> = (1..4).flat_map(all_servers_sent_to).collect();
    assert!(ZoneOutages::default()
        .detect_outages(at(10.2), &observations(&all_servers))
        .is_empty());
}

#[test]
fn servers_of_unknown_zone_are_ignored_and_a_zone_without_servers_is_removed() {
    let mut outages = ZoneOutages::default();
    assert_eq!(
        outages.detect_outages(at(10.2), &observations(&all_servers_sent_to(2))),
        vec![2]
    );
    let mut unknown = observations(&all_servers_sent_to(2));
    unknown.iter_mut().for_each(|server| server.zone = 0);
    assert!(outages.detect_outages(at(10.2), &unknown).is_empty());
    assert_eq!(outages.end_outage(at(11.0), 2), None);
}
