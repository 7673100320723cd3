//! Requests and answers on both fronts, with data nodes that fail in various ways, and a reload under load.

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
    let status_for = |class: &str, deadline: &str, body: &str| {
        let fields = [
            ("X-Request-Id", "a1"),
            ("X-Class", class),
            ("X-Deadline", deadline),
        ];
        coordinator
            .call(coordinator.platform, "POST /api", &fields, body)
            .status
    };
    assert_eq!(status_for("stock-search", "1.5", &good), 200);
    assert_eq!(status_for("no-such", "1.5", &good), 400);
    assert_eq!(status_for("stock-search", "soon", &good), 400);
    assert_eq!(status_for("stock-search", "1.5", "{"), 400);
    for (from, to) in [
        ("\"shard\":1", "\"shard\":99"),
        ("1.0", "0.4"),
        ("\"q\":", "\"r\":"),
    ] {
        assert_eq!(
            status_for("stock-search", "1.5", &good.replace(from, to)),
            400,
            "{to}"
        );
    }
    assert_eq!(status_for("stock-search", "1.5", &"x".repeat(70_000)), 413);
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
        "the query front gives Retry-After in whole seconds, at least 1"
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
        "a part of a rejected request reached a data node"
    );
}

#[test]
fn an_unanswered_part_times_out_and_partial_results_must_be_allowed() {
    // Shard 7 never answers. Four of five parts reach the minimum share of the class, 0.8.
    let plan = |_, shard, _| {
        if shard == 7 {
            Behavior::NoAnswer
        } else {
            Behavior::Serve
        }
    };
    for node_wire in [WireFormat::Platform, WireFormat::OpenSearch] {
        let coordinator = TestCoordinator::start(node_wire, DataNodes::new(plan), 1000);
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

/// Guards against a malformed answer that is served, that is taken as proof that the part never ran, or after which the
/// coordinator waits until the deadline. The status 500 instead of 504 shows that it did not wait.
#[test]
fn a_malformed_answer_counts_as_possibly_executed_and_is_never_served() {
    for node_wire in [WireFormat::Platform, WireFormat::OpenSearch] {
        let plan = |marker: u64, _, before| match marker as usize % 10 {
            kind if before == 0 => Behavior::Malformed(MALFORMATIONS[kind]),
            _ => Behavior::Serve,
        };
        for kind in 0..MALFORMATIONS.len() as u64 {
            let coordinator = TestCoordinator::start(node_wire, DataNodes::new(plan), 1000);
            let idempotent_marker = 10 + kind;
            let at_most_once_marker = 20 + kind;
            let served = coordinator.post_api(
                &format!("s{kind}"),
                "stock-search",
                "2.0",
                &[1],
                &format!("~{idempotent_marker}~"),
            );
            assert_eq!(
                served.status, 200,
                "{node_wire:?} {:?}",
                MALFORMATIONS[kind as usize]
            );
            assert!(
                served
                    .json
                    .to_string()
                    .contains(&format!("value {idempotent_marker}/1")),
                "{}",
                served.json
            );
            let failed = coordinator.post_api(
                &format!("o{kind}"),
                "pick-confirm",
                "2.5",
                &[1],
                &format!("~{at_most_once_marker}~"),
            );
            assert_eq!(
                failed.status, 500,
                "{node_wire:?} {:?}",
                MALFORMATIONS[kind as usize]
            );
            assert_eq!(
                coordinator.data_nodes.execution_counts()[&(at_most_once_marker, 1)],
                1,
                "{node_wire:?} {:?}",
                MALFORMATIONS[kind as usize]
            );
        }
    }
}

/// Guards against reuse of a connection that carried bytes after its answer: these bytes would be taken for the answer to
/// the next call, or make that call fail.
#[test]
fn bytes_after_an_answer_close_only_that_connection() {
    for node_wire in [WireFormat::Platform, WireFormat::OpenSearch] {
        let plan = |marker: u64, _, _| match marker % 4 {
            0 => Behavior::Irregular(Irregularity::RepeatedAnswer),
            1 => Behavior::Irregular(Irregularity::TrailingBytes),
            2 => Behavior::Irregular(Irregularity::UnreadableReport),
            _ => Behavior::Serve,
        };
        let coordinator = TestCoordinator::start(node_wire, DataNodes::new(plan), 1000);
        for marker in 0..40 {
            let answer = coordinator.post_api(
                &format!("m{marker}"),
                "pick-confirm",
                "2.5",
                &[1, 2],
                &format!("~{marker}~"),
            );
            assert_eq!(
                answer.status, 200,
                "{node_wire:?} {marker}: {}",
                answer.json
            );
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
    for node_wire in [WireFormat::Platform, WireFormat::OpenSearch] {
        let start_coordinator = || TestCoordinator::start(node_wire, DataNodes::new(plan), 1000);
        let body = json!({"query": {"match": {"text": "~1~"}}});
        let timed_out = start_coordinator().search(
            "/pick-confirm/_search?preference=_shards:6,7&timeout=600ms",
            body,
        );
        assert_eq!(
            (timed_out.status, timed_out.json["error"]["type"].as_str()),
            (504, Some("timeout_exception"))
        );
        assert_eq!(
            start_coordinator()
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
    // The three best hits of all shards, by descending score. The total counts the hits of all 8 shards.
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
    let unsupported = body.replacen("{\"index\"", "{\"scroll\":\"1m\",\"index\"", 1);
    let answer = coordinator.call(coordinator.opensearch, "POST /_msearch", &[], &unsupported);
    assert_eq!(
        answer.json["responses"][0]["status"],
        json!(400),
        "an unsupported parameter must fail only its own search"
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
    let parts_at_first_node = || {
        coordinator
            .data_nodes
            .received
            .lock()
            .unwrap()
            .iter()
            .filter(|seen| seen.server == 0)
            .count()
    };
    assert!(
        parts_at_first_node() > 0,
        "both replicas of the cell must get parts before the drain"
    );
    let watches = || coordinator.discovery.calls.lock().unwrap().len();
    let before = watches();
    coordinator.discovery.set_phase(0, "leaving");
    // The coordinator sends the next watch only after it has applied the answer to the previous one.
    wait_for("the next watch", || watches() > before);
    thread::sleep(Duration::from_millis(250));
    let before = parts_at_first_node();
    for number in 0..8 {
        assert_eq!(
            coordinator
                .post_api(&format!("b{number}"), "pick-confirm", "2.0", &[0, 2], "~2~")
                .status,
            200
        );
    }
    assert_eq!(parts_at_first_node(), before);
}

#[test]
fn a_data_node_that_refuses_connections_fails_no_request() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    // The socket is bound, so that no other process gets the port, but doesn't listen: the operating system refuses
    // connections.
    let refusing = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    refusing.bind(&any_port.into()).unwrap();
    let refused_address = refusing.local_addr().unwrap().as_socket().unwrap();
    let mut members = start_data_nodes(WireFormat::Platform, &data_nodes);
    members[0]["host_port"] = json!(refused_address.to_string());
    let coordinator =
        TestCoordinator::start_with_members(WireFormat::Platform, data_nodes, 1000, 1024, members);
    for number in 0..6 {
        // A refused connection proves that the part never ran, so even a class that may run at most once is retried.
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
        wait_for("the parts at the data nodes", || {
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
    // The id stays reserved after the request has ended: the answer to its abandoned part may still arrive and would be
    // taken for an answer to the new request.
    assert_eq!(
        coordinator
            .post_api("same", "pick-confirm", "2.5", &[1], "~2~")
            .status,
        409
    );
    assert_eq!(
        coordinator.data_nodes.received.lock().unwrap().len(),
        1,
        "a part of the rejected request reached a data node"
    );
}

/// Guards against the default action of SIGHUP, which ends the program, and against a watch that stays with the old discovery
/// address after a reload.
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
        wait_for("the parts at the data nodes", || {
            coordinator.data_nodes.received.lock().unwrap().len() == 2
        });
        coordinator.reconfigure(|config| config["discovery"] = json!(second.address.to_string()));
        wait_for("the full list", || !second.calls.lock().unwrap().is_empty());
        assert_eq!(
            open.join().unwrap(),
            200,
            "the request in flight must be answered during the reload"
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
    wait_for("all data nodes to drain", || status() == 429);
    // A second reload, followed by SIGTERM and a SIGHUP during the shutdown.
    coordinator.reconfigure(|config| config["discovery"] = json!(third.address.to_string()));
    wait_for("the full list", || !third.calls.lock().unwrap().is_empty());
    wait_for("the third discovery's data nodes", || status() == 200);
    assert_eq!(coordinator.discovery.calls.lock().unwrap().len(), before);
    coordinator.signal("TERM");
    coordinator.signal("HUP");
    assert!(coordinator.child.wait().unwrap().success());
}
