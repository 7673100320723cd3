//! Requests and answers on both fronts, with data nodes that fail in every way, and a reload under load.

mod common;

use common::*;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

#[test]
fn malformed_requests_get_the_status_of_their_error() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let coordinator = TestCoordinator::start(WireFormat::Platform, data_nodes, 1000);
    check_platform_request_errors(&coordinator);
    check_query_request_errors(&coordinator);
}

fn check_platform_request_errors(coordinator: &TestCoordinator) {
    let good = json!({"shards": [{"shard": 1, "weight": 1.0}], "q": "~1~"}).to_string();
    let with = |class: &str, deadline: &str, body: &str| {
        let fields = [
            ("X-Request-Id", "a1"),
            ("X-Class", class),
            ("X-Deadline", deadline),
        ];
        coordinator
            .call(coordinator.platform, "POST /api", &fields, body)
            .status
    };
    assert_eq!(with("stock-search", "1.5", &good), 200);
    assert_eq!(with("no-such", "1.5", &good), 400);
    assert_eq!(with("stock-search", "soon", &good), 400);
    assert_eq!(with("stock-search", "1.5", "{"), 400);
    for (find, put) in [
        ("\"shard\":1", "\"shard\":99"),
        ("1.0", "0.4"),
        ("\"q\":", "\"r\":"),
    ] {
        assert_eq!(
            with("stock-search", "1.5", &good.replace(find, put)),
            400,
            "{put}"
        );
    }
    assert_eq!(with("stock-search", "1.5", &"x".repeat(70_000)), 413);
    assert_eq!(
        coordinator
            .call(coordinator.platform, "GET /api", &[], "")
            .status,
        405
    );
    assert_eq!(
        coordinator
            .call(coordinator.platform, "GET /nothing", &[], "")
            .status,
        404
    );
    assert_eq!(
        coordinator
            .call(coordinator.platform, "POST", &[], "")
            .status,
        400
    );
}

fn check_query_request_errors(coordinator: &TestCoordinator) {
    let search = |target: &str, body| coordinator.search(target, body);
    let query = json!({"query": {"match": {"text": "~2~"}}});
    assert_eq!(search("/stock-search/_search", query.clone()).status, 200);
    let missing = search("/no-such/_search", query.clone());
    assert_eq!(
        (missing.status, missing.json["error"]["type"].as_str()),
        (404, Some("index_not_found_exception"))
    );
    let clause = search(
        "/stock-search/_search",
        json!({"query": {"match_all": {}}, "aggs": {}}),
    );
    assert_eq!(clause.status, 400);
    assert!(
        clause.json["error"]["reason"]
            .as_str()
            .unwrap()
            .contains("[aggs]"),
        "{}",
        clause.json
    );
    for target in [
        "?preference=_shards:99",
        "?timeout=soon",
        "?scroll=1m",
        "?size=20000",
        "?preference=_local",
    ] {
        assert_eq!(
            search(&format!("/stock-search/_search{target}"), query.clone()).status,
            400,
            "{target}"
        );
    }
    assert_eq!(
        search("/stock-search/_search", json!({"query": []})).status,
        400
    );
    assert_eq!(search("/a,b/_search", query).status, 400);
    assert_eq!(
        coordinator
            .call(
                coordinator.opensearch,
                "DELETE /stock-search/_search",
                &[],
                ""
            )
            .status,
        405
    );
    assert_eq!(
        coordinator
            .call(coordinator.opensearch, "GET /_cat/indices", &[], "")
            .status,
        404
    );
}

#[test]
fn requests_over_the_in_flight_cap_are_rejected_with_retry_after() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
        4,
    );
    let rejected = coordinator.post_api("big", "stock-search", "1.5", &[0, 1, 2, 3, 4], "~1~");
    assert_eq!(rejected.status, 429);
    assert!(rejected.fields["retry-after"].parse::<f64>().unwrap() > 0.0);
    let rejected = coordinator.search(
        "/stock-search/_search",
        json!({"query": {"match": {"text": "~2~"}}}),
    );
    assert_eq!(
        (rejected.status, rejected.json["status"].as_u64()),
        (429, Some(429))
    );
    assert!(
        rejected.fields["retry-after"].parse::<u64>().unwrap() >= 1,
        "whole seconds on this front"
    );
    assert_eq!(
        coordinator
            .post_api("small", "stock-search", "1.5", &[0, 1], "~3~")
            .status,
        200
    );
    assert!(
        coordinator
            .data_nodes
            .execution_counts()
            .keys()
            .all(|(marker, _)| *marker == 3),
        "a rejected query reached a data node"
    );
}

#[test]
fn an_unanswered_part_times_out_and_partial_results_must_be_allowed() {
    // Shard 7 never answers; four of five parts are the class's minimum share.
    let plan = |_, shard, _| {
        if shard == 7 {
            Behavior::NoAnswer
        } else {
            Behavior::Serve
        }
    };
    for servers in [WireFormat::Platform, WireFormat::OpenSearch] {
        let coordinator = TestCoordinator::start(servers, DataNodes::new(plan), 1000);
        let partial = coordinator.post_api("p", "stock-search", "1.2", &[3, 4, 5, 6, 7], "~1~");
        assert_eq!(
            (partial.status, &partial.json["complete"]),
            (200, &json!(false))
        );
        let body = json!({"query": {"match": {"text": "~2~"}}});
        let target = "/stock-search/_search?preference=_shards:3,4,5,6,7&timeout=1200ms";
        let partial = coordinator.search(target, body.clone());
        assert_eq!(
            (partial.status, &partial.json["timed_out"]),
            (200, &json!(true)),
            "{}",
            partial.json
        );
        assert_eq!(partial.json["_shards"]["failures"][0]["shard"], json!(7));
        let forbidden = coordinator.search(
            &format!("{target}&allow_partial_search_results=false"),
            body.clone(),
        );
        assert_eq!(forbidden.status, 504, "{}", forbidden.json);
    }
}

/// Guards against malformed answers that are waited for until the time-out, served, or taken as proof that the part
/// never ran. A failure that isn't a time-out (500, not 504) shows that nobody waited.
#[test]
fn a_malformed_answer_counts_as_possibly_executed_and_is_never_served() {
    for servers in [WireFormat::Platform, WireFormat::OpenSearch] {
        let plan = |marker: u64, _, before| match marker as usize % 10 {
            kind if before == 0 => Behavior::Malformed(MALFORMATIONS[kind]),
            _ => Behavior::Serve,
        };
        for kind in 0..MALFORMATIONS.len() as u64 {
            let coordinator = TestCoordinator::start(servers, DataNodes::new(plan), 1000);
            let safe = 10 + kind;
            let once = 20 + kind;
            let served = coordinator.post_api(
                &format!("s{kind}"),
                "stock-search",
                "2.0",
                &[1],
                &format!("~{safe}~"),
            );
            assert_eq!(
                served.status, 200,
                "{servers:?} {:?}",
                MALFORMATIONS[kind as usize]
            );
            assert!(
                served.json.to_string().contains(&format!("value {safe}/1")),
                "{}",
                served.json
            );
            let failed = coordinator.post_api(
                &format!("o{kind}"),
                "pick-confirm",
                "2.5",
                &[1],
                &format!("~{once}~"),
            );
            assert_eq!(
                failed.status, 500,
                "{servers:?} {:?}",
                MALFORMATIONS[kind as usize]
            );
            assert_eq!(
                coordinator.data_nodes.execution_counts()[&(once, 1)],
                1,
                "{servers:?} {:?}",
                MALFORMATIONS[kind as usize]
            );
        }
    }
}

/// Guards against reuse of a connection that carried bytes beyond its answer: the next call would be given these, or
/// be lost with them.
#[test]
fn bytes_after_an_answer_close_only_that_connection() {
    for servers in [WireFormat::Platform, WireFormat::OpenSearch] {
        let plan = |marker: u64, _, _| match marker % 4 {
            0 => Behavior::Irregular(Irregularity::RepeatedAnswer),
            1 => Behavior::Irregular(Irregularity::TrailingBytes),
            2 => Behavior::Irregular(Irregularity::UnreadableReport),
            _ => Behavior::Serve,
        };
        let coordinator = TestCoordinator::start(servers, DataNodes::new(plan), 1000);
        for marker in 0..40 {
            let answer = coordinator.post_api(
                &format!("m{marker}"),
                "pick-confirm",
                "2.5",
                &[1, 2],
                &format!("~{marker}~"),
            );
            assert_eq!(answer.status, 200, "{servers:?} {marker}: {}", answer.json);
            assert!(
                answer
                    .json
                    .to_string()
                    .contains(&format!("value {marker}/2")),
                "{}",
                answer.json
            );
        }
    }
}

#[test]
fn a_possibly_executed_part_fails_instead_of_being_rejected() {
    let plan = |_, shard, _| {
        if shard == 7 {
            Behavior::NoAnswer
        } else {
            Behavior::Serve
        }
    };
    for servers in [WireFormat::Platform, WireFormat::OpenSearch] {
        let fresh = || TestCoordinator::start(servers, DataNodes::new(plan), 1000);
        let body = json!({"query": {"match": {"text": "~1~"}}});
        let late = fresh().search(
            "/pick-confirm/_search?preference=_shards:6,7&timeout=600ms",
            body,
        );
        assert_eq!(
            (late.status, late.json["error"]["type"].as_str()),
            (504, Some("timeout_exception"))
        );
        assert_eq!(
            fresh()
                .post_api("l", "pick-confirm", "0.6", &[6, 7], "~2~")
                .status,
            504
        );
    }
}

#[test]
fn msearch_answers_each_search_in_order_with_its_own_status() {
    let coordinator = TestCoordinator::start(
        WireFormat::OpenSearch,
        DataNodes::new(|_, _, _| Behavior::Serve),
        1000,
    );
    let search = |index: &str, number: u64| {
        format!(
            "{{\"index\":\"{index}\"}}\n{{\"query\":{{\"match\":{{\"text\":\"~{number}~\"}}}},\"size\":3}}\n"
        )
    };
    let body = [
        search("stock-search", 1),
        search("no-such", 2),
        search("stock-search", 3),
    ]
    .concat();
    let answer = coordinator.call(coordinator.opensearch, "POST /_msearch", &[], &body);
    assert_eq!(answer.status, 200);
    let statuses: Vec<_> = (0..3)
        .map(|at| answer.json["responses"][at]["status"].as_u64().unwrap())
        .collect();
    assert_eq!(statuses, [200, 404, 200], "{}", answer.json);
    let hits = &answer.json["responses"][2]["hits"];
    // The best of all shards, best first, cut to the size asked for; all are counted.
    assert_eq!(
        (
            hits["total"]["value"].as_u64(),
            hits["hits"].as_array().unwrap().len()
        ),
        (Some(8), 3)
    );
    assert_eq!(
        (hits["max_score"].as_f64(), hits["hits"][0]["_id"].as_str()),
        (Some(8.0), Some("7"))
    );
    assert_eq!(
        coordinator
            .call(
                coordinator.opensearch,
                "POST /_msearch",
                &[],
                body.trim_end()
            )
            .status,
        400
    );
    let odd = body.replacen("{\"index\"", "{\"scroll\":\"1m\",\"index\"", 1);
    let answer = coordinator.call(coordinator.opensearch, "POST /_msearch", &[], &odd);
    assert_eq!(
        answer.json["responses"][0]["status"],
        json!(400),
        "an unsupported term is an error of its own search"
    );
}

#[test]
fn a_draining_data_node_gets_no_new_parts() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
        1000,
    );
    for number in 0..8 {
        assert_eq!(
            coordinator
                .post_api(&format!("a{number}"), "pick-confirm", "2.0", &[0, 2], "~1~")
                .status,
            200
        );
    }
    let to_first = || {
        coordinator
            .data_nodes
            .received
            .lock()
            .unwrap()
            .iter()
            .filter(|seen| seen.server == 0)
            .count()
    };
    assert!(to_first() > 0, "both replicas take turns");
    let watches = || coordinator.discovery.calls.lock().unwrap().len();
    let before = watches();
    coordinator.discovery.set_phase(0, "leaving");
    // The next watch comes once the answer before it was read and understood.
    wait_for("the next watch", || watches() > before);
    thread::sleep(Duration::from_millis(250));
    let before = to_first();
    for number in 0..8 {
        assert_eq!(
            coordinator
                .post_api(&format!("b{number}"), "pick-confirm", "2.0", &[0, 2], "~2~")
                .status,
            200
        );
    }
    assert_eq!(to_first(), before);
}

#[test]
fn a_data_node_that_refuses_connections_fails_no_request() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    // Bound, so that nobody else gets the port, but not listening: the system refuses connections.
    let refusing = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    refusing.bind(&any_port.into()).unwrap();
    let dead = refusing.local_addr().unwrap().as_socket().unwrap();
    let mut members = start_data_nodes(WireFormat::Platform, &data_nodes);
    members[0]["host_port"] = json!(dead.to_string());
    let coordinator =
        TestCoordinator::start_with_members(WireFormat::Platform, data_nodes, 1000, 1024, members);
    for number in 0..6 {
        // No connection proves that the part never ran, so even this class goes elsewhere.
        assert_eq!(
            coordinator
                .post_api(&format!("d{number}"), "pick-confirm", "2.0", &[0, 1], "~1~")
                .status,
            200
        );
    }
}

#[test]
fn a_reused_request_id_is_rejected() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::NoAnswer),
        1000,
    );
    thread::scope(|scope| {
        let first = scope.spawn(|| {
            coordinator
                .post_api("same", "pick-confirm", "2.5", &[1], "~1~")
                .status
        });
        wait_for("the part", || {
            !coordinator.data_nodes.received.lock().unwrap().is_empty()
        });
        assert_eq!(
            coordinator
                .post_api("same", "pick-confirm", "2.5", &[1], "~1~")
                .status,
            409
        );
        assert_eq!(first.join().unwrap(), 504);
    });
    // Nor once it has ended: its abandoned part may still be answered, which would be taken for the new one's answer.
    assert_eq!(
        coordinator
            .post_api("same", "pick-confirm", "2.5", &[1], "~2~")
            .status,
        409
    );
    assert_eq!(
        coordinator.data_nodes.received.lock().unwrap().len(),
        1,
        "the rejected request reached no data node"
    );
}

/// Guards against SIGHUP's default action, which ends the program, and a watch that stays with the old discovery.
#[test]
fn a_reload_moves_the_discovery_watch_without_failing_requests() {
    let mut coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Delay(700)),
        1000,
    );
    let second = FakeDiscovery::new(coordinator.discovery.members());
    let third = FakeDiscovery::new(coordinator.discovery.members());
    thread::scope(|scope| {
        let open = scope.spawn(|| {
            coordinator
                .post_api("open", "pick-confirm", "2.5", &[1, 2], "~1~")
                .status
        });
        wait_for("the parts", || {
            coordinator.data_nodes.received.lock().unwrap().len() == 2
        });
        coordinator.reconfigure(|config| config["discovery"] = json!(second.address.to_string()));
        wait_for("the full list", || !second.calls.lock().unwrap().is_empty());
        assert_eq!(
            open.join().unwrap(),
            200,
            "the in-flight request is answered"
        );
    });
    assert_eq!(
        second.calls.lock().unwrap()[0],
        "GET /catalog/members HTTP/1.1"
    );
    coordinator.reconfigure(|config| config["discovery"] = json!("nowhere"));
    coordinator
        .wait_for_log_line("'discovery': expected an IP address with a port, found 'nowhere'");
    // The old settings stay in force: the second discovery is still followed, and the first is not called any more.
    let before = coordinator.discovery.calls.lock().unwrap().len();
    let watches = second.calls.lock().unwrap().len();
    for server in 0..second.members().len() {
        second.set_phase(server, "leaving");
    }
    wait_for("the next watch", || {
        second.calls.lock().unwrap().len() > watches
    });
    let mut names = 0..;
    let mut status = || {
        coordinator
            .post_api(
                &format!("n{}", names.next().unwrap()),
                "pick-confirm",
                "2.5",
                &[1],
                "~2~",
            )
            .status
    };
    wait_for("the drains", || status() == 429);
    // And again, with a SIGTERM right behind.
    coordinator.reconfigure(|config| config["discovery"] = json!(third.address.to_string()));
    wait_for("the full list", || !third.calls.lock().unwrap().is_empty());
    wait_for("the servers", || status() == 200);
    assert_eq!(coordinator.discovery.calls.lock().unwrap().len(), before);
    coordinator.signal("TERM");
    coordinator.signal("HUP");
    assert!(coordinator.child.wait().unwrap().success());
}
