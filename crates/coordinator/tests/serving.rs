//! The program on its sockets, as seen by clients, draining data nodes and an operator who stops it.

mod common;

use common::*;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn malformed_requests_get_the_status_of_their_error() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
        1000,
    );
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
    let refused = coordinator.post_api("big", "stock-search", "1.5", &[0, 1, 2, 3, 4], "~1~");
    assert_eq!(refused.status, 429);
    assert!(refused.fields["retry-after"].parse::<f64>().unwrap() > 0.0);
    let refused = coordinator.search(
        "/stock-search/_search",
        json!({"query": {"match": {"text": "~2~"}}}),
    );
    assert_eq!(
        (refused.status, refused.json["status"].as_u64()),
        (429, Some(429))
    );
    assert!(
        refused.fields["retry-after"].parse::<u64>().unwrap() >= 1,
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
            let (safe, once) = (10 + kind, 20 + kind);
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
    let dead = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
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
fn over_the_connection_limit_clients_get_503_with_retry_after() {
    let data_nodes = DataNodes::new(|marker, _, _| {
        if marker == 1 {
            Behavior::NoAnswer
        } else {
            Behavior::Serve
        }
    });
    let members = start_data_nodes(WireFormat::Platform, &data_nodes);
    // Half of 64 descriptors are for clients with a request open.
    let coordinator =
        TestCoordinator::start_with_members(WireFormat::Platform, data_nodes, 1000, 64, members);
    let held: Vec<_> = (0..32)
        .map(|n| {
            let mut stream = TcpStream::connect(coordinator.platform).unwrap();
            stream
                .write_all(api_request(&format!("held{n}"), "~1~").as_bytes())
                .unwrap();
            stream
        })
        .collect();
    wait_for("the parts", || {
        coordinator.data_nodes.received.lock().unwrap().len() == 32
    });
    let refused = coordinator.post_api("a", "stock-search", "2.0", &[1], "~2~");
    assert_eq!(
        (refused.status, refused.fields["connection"].as_str()),
        (503, "close")
    );
    assert!(refused.fields.contains_key("retry-after"));
    drop(held);
    let mut names = 0..;
    let mut status = || {
        coordinator
            .post_api(
                &format!("b{}", names.next().unwrap()),
                "stock-search",
                "2.0",
                &[1],
                "~2~",
            )
            .status
    };
    wait_for("room", || status() == 200);
}

fn api_request(id: &str, query: &str) -> String {
    one_part_request(id, "stock-search", 2.0, query)
}

/// Guards against idle clients that occupy all connection slots: neither those that send nothing nor those that sent
/// one request may keep others out, and an evicted idle connection is closed without an answer.
#[test]
fn idle_connections_are_evicted_for_active_clients() {
    let data_nodes = DataNodes::new(|_, _, _| Behavior::Serve);
    let members = start_data_nodes(WireFormat::Platform, &data_nodes);
    let coordinator =
        TestCoordinator::start_with_members(WireFormat::Platform, data_nodes, 1000, 64, members);
    let mut stayed = BufReader::new(TcpStream::connect(coordinator.platform).unwrap());
    stayed
        .get_mut()
        .write_all(api_request("once", "~1~").as_bytes())
        .unwrap();
    assert_eq!(read_response(&mut stayed).status, 200);
    let _silent: Vec<_> = (0..200)
        .map(|_| TcpStream::connect(coordinator.platform).unwrap())
        .collect();
    let start = Instant::now();
    for number in 0..20 {
        assert_eq!(
            coordinator
                .post_api(&format!("a{number}"), "stock-search", "2.0", &[1], "~1~")
                .status,
            200
        );
    }
    assert!(
        start.elapsed() < Duration::from_secs(15),
        "idle connections are waited for: {:?}",
        start.elapsed()
    );
    assert_eq!(
        stayed.read(&mut [0]).unwrap(),
        0,
        "the longest idle was evicted first"
    );
}

/// Guards against waiting forever for a client that stops in the middle of a request, and against an error response
/// that a reset cuts off while the client still sends.
#[test]
fn slow_or_oversized_requests_end_in_time() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
        1000,
    );
    for address in [coordinator.platform, coordinator.opensearch] {
        let begin = |text: &str| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream
                .set_read_timeout(Some(Duration::from_secs(8)))
                .unwrap();
            stream.write_all(text.as_bytes()).unwrap();
            BufReader::new(stream)
        };
        let mut silent = begin("");
        let mut half =
            begin("POST /api HTTP/1.1\r\nX-Request-Id: h\r\nContent-Length: 9\r\n\r\nhalf");
        let mut large = begin("POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut long = begin("POST /api HTTP/1.1\r\nContent-Length: 20000000\r\n\r\n");
        let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
        for _ in 0..1000 {
            large.get_mut().write_all(chunk.as_bytes()).unwrap();
            long.get_mut().write_all(chunk.as_bytes()).unwrap();
        }
        for (stream, status) in [
            (&mut large, 413),
            (&mut long, 413),
            (&mut half, 408),
            (&mut silent, 0),
        ] {
            let answer = read_response(stream);
            assert_eq!((answer.status, stream.read(&mut [0]).unwrap()), (status, 0));
            assert_eq!(
                answer.fields.get("connection").map(String::as_str),
                (status > 0).then_some("close")
            );
        }
    }
}

#[test]
fn a_disconnected_clients_parts_are_cancelled() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::NoAnswer),
        1000,
    );
    let mut stream = TcpStream::connect(coordinator.platform).unwrap();
    stream
        .write_all(api_request("gone", "~1~").as_bytes())
        .unwrap();
    wait_for("the part", || {
        !coordinator.data_nodes.received.lock().unwrap().is_empty()
    });
    drop(stream);
    wait_for("the cancel", || {
        coordinator
            .data_nodes
            .received
            .lock()
            .unwrap()
            .iter()
            .all(|seen| seen.cancelled.load(Ordering::Relaxed))
    });
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

#[test]
fn expect_continue_is_answered() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
        1000,
    );
    let mut stream = TcpStream::connect(coordinator.platform).unwrap();
    let body = json!({"shards": [{"shard": 1, "weight": 1.0}], "q": "~1~"}).to_string();
    let head =
        "POST /api HTTP/1.1\r\nX-Request-Id: e\r\nX-Class: stock-search\r\nX-Deadline: 2\r\n";
    let head = format!(
        "{head}Expect: 100-continue\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut leave = [0; 25];
    stream.read_exact(&mut leave).unwrap();
    assert_eq!(&leave, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(body.as_bytes()).unwrap();
    assert_eq!(read_response(&mut BufReader::new(stream)).status, 200);
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
        wait_for("the whole list", || {
            !second.calls.lock().unwrap().is_empty()
        });
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
    coordinator.wait_for_log_line("'discovery': 'nowhere'");
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
    wait_for("the whole list", || !third.calls.lock().unwrap().is_empty());
    wait_for("the servers", || status() == 200);
    assert_eq!(coordinator.discovery.calls.lock().unwrap().len(), before);
    coordinator.signal("TERM");
    coordinator.signal("HUP");
    assert!(coordinator.child.wait().unwrap().success());
}

/// Guards against a client that pipelines hundreds of requests and occupies a slot until all are served.
#[test]
fn pipelining_beyond_its_time_limit_is_rejected() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Delay(100)),
        1000,
    );
    let mut client = BufReader::new(TcpStream::connect(coordinator.platform).unwrap());
    let all: String = (0..60)
        .map(|number| api_request(&format!("p{number}"), "~1~") + "\r\n")
        .collect();
    client.get_mut().write_all(all.as_bytes()).unwrap();
    let (mut served, mut answer) = (0, read_response(&mut client));
    while answer.status == 200 {
        served += 1;
        answer = read_response(&mut client);
    }
    assert!(
        served > 0 && coordinator.data_nodes.received.lock().unwrap().len() == served,
        "{served} served"
    );
    assert_eq!(
        (answer.status, answer.fields["connection"].as_str()),
        (429, "close")
    );
    assert!(answer.fields.contains_key("retry-after"));
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
}

/// Guards against new clients that delay the shutdown until the program is killed with requests in flight.
#[test]
fn shutdown_finishes_while_new_clients_keep_connecting() {
    let mut coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Delay(600)),
        1000,
    );
    let address = coordinator.platform;
    let mut open = BufReader::new(TcpStream::connect(address).unwrap());
    open.get_mut()
        .write_all(api_request("open", "~1~").as_bytes())
        .unwrap();
    wait_for("the part", || {
        !coordinator.data_nodes.received.lock().unwrap().is_empty()
    });
    let ended = std::sync::atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut held = Vec::new();
            while !ended.load(Ordering::Relaxed) {
                for text in [
                    "",
                    "GET /_health HTTP/1.1\r\n\r\n",
                    "POST /api HTTP/1.1\r\n",
                ] {
                    let Ok(mut stream) = TcpStream::connect(address) else {
                        continue;
                    };
                    let _ = stream.write_all(text.as_bytes());
                    held.push(stream);
                }
                held.drain(..held.len().saturating_sub(60));
                thread::sleep(Duration::from_millis(10));
            }
        });
        coordinator.signal("TERM");
        let start = Instant::now();
        while coordinator.child.try_wait().unwrap().is_none()
            && start.elapsed() < Duration::from_secs(20)
        {
            thread::sleep(Duration::from_millis(5));
        }
        ended.store(true, Ordering::Relaxed);
    });
    assert!(
        coordinator
            .child
            .try_wait()
            .unwrap()
            .is_some_and(|status| status.success()),
        "it did not end"
    );
    assert_eq!(
        read_response(&mut open).status,
        200,
        "the in-flight request is answered first"
    );
}

#[test]
fn shutdown_finishes_once_all_requests_are_answered() {
    let mut coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Delay(1000)),
        1000,
    );
    let ask = |stream: &mut TcpStream, id: &str| {
        stream.write_all(api_request(id, "~1~").as_bytes()).unwrap()
    };
    let mut early = TcpStream::connect(coordinator.platform).unwrap();
    ask(&mut early, "early");
    wait_for("the part", || {
        !coordinator.data_nodes.received.lock().unwrap().is_empty()
    });
    coordinator.signal("TERM");
    wait_for("the shutdown", || {
        coordinator
            .call(coordinator.platform, "GET /_health", &[], "")
            .status
            == 503
    });
    let mut late = TcpStream::connect(coordinator.platform).unwrap();
    ask(&mut late, "late");
    for stream in [early, late] {
        let mut reader = BufReader::new(stream);
        let answer = read_response(&mut reader);
        assert_eq!(
            (answer.status, answer.fields["connection"].as_str()),
            (200, "close")
        );
        assert_eq!(
            reader.read(&mut [0]).unwrap(),
            0,
            "the connection ends after its answer"
        );
    }
    wait_for("the end", || {
        coordinator.child.try_wait().unwrap().is_some()
    });
    assert!(coordinator.child.wait().unwrap().success());
}

/// The program's deployment allows no Unix socket, and the fleet's test hosts take TCP and UDP only: none of the
/// program's descriptors may be one, also after the signals that it answers have come.
#[test]
fn the_process_holds_no_unix_socket() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
        1000,
    );
    coordinator.signal("HUP");
    coordinator.wait_for_log_line("reload");
    let listed = std::fs::read_to_string("/proc/net/unix").unwrap();
    let unix: Vec<&str> = listed
        .lines()
        .skip(1)
        .filter_map(|line| line.split_whitespace().nth(6))
        .collect();
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", coordinator.child.id())).unwrap();
    let sockets: Vec<String> = descriptors
        .filter_map(|entry| std::fs::read_link(entry.unwrap().path()).ok())
        .filter_map(|target| {
            target
                .to_str()?
                .strip_prefix("socket:[")?
                .strip_suffix(']')
                .map(String::from)
        })
        .collect();
    assert!(!sockets.is_empty(), "the program listens");
    let found: Vec<&String> = sockets
        .iter()
        .filter(|inode| unix.contains(&inode.as_str()))
        .collect();
    assert!(
        found.is_empty(),
        "Unix sockets among the descriptors: {found:?}"
    );
}
