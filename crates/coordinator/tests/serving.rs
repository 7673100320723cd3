//! The program on its sockets: what a client, a drained server and an operator who stops it see.

mod common;

use common::*;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn bad_requests_are_told_apart() {
    let rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Serve), 1000);
    let good = json!({"shards": [{"shard": 1, "weight": 1.0}], "q": "~1~"}).to_string();
    let with = |class: &str, deadline: &str, body: &str| {
        let fields = [
            ("X-Request-Id", "a1"),
            ("X-Class", class),
            ("X-Deadline", deadline),
        ];
        rig.call(rig.platform, "POST /api", &fields, body).status
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
    assert_eq!(rig.call(rig.platform, "GET /api", &[], "").status, 405);
    assert_eq!(rig.call(rig.platform, "GET /nothing", &[], "").status, 404);
    assert_eq!(rig.call(rig.platform, "POST", &[], "").status, 400);
    let search = |target: &str, body| rig.search(target, body);
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
        rig.call(rig.opensearch, "DELETE /stock-search/_search", &[], "")
            .status,
        405
    );
    assert_eq!(
        rig.call(rig.opensearch, "GET /_cat/indices", &[], "")
            .status,
        404
    );
}

#[test]
fn the_cap_on_open_work_refuses_at_once_and_says_when_to_return() {
    let rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Serve), 4);
    let refused = rig.api("big", "stock-search", "1.5", &[0, 1, 2, 3, 4], "~1~");
    assert_eq!(refused.status, 429);
    assert!(refused.fields["retry-after"].parse::<f64>().unwrap() > 0.0);
    let refused = rig.search(
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
        rig.api("small", "stock-search", "1.5", &[0, 1], "~3~")
            .status,
        200
    );
    assert!(
        rig.stage.runs().keys().all(|(marker, _)| *marker == 3),
        "a refused query reached a server"
    );
}

#[test]
fn silence_ends_as_late_and_partial_answers_need_leave() {
    // Shard 7 never answers; four of five parts are the class's least share.
    let plan = |_, shard, _| if shard == 7 { Act::Silent } else { Act::Serve };
    for servers in [Wire::Platform, Wire::OpenSearch] {
        let rig = Rig::start(servers, Stage::new(plan), 1000);
        let partial = rig.api("p", "stock-search", "1.2", &[3, 4, 5, 6, 7], "~1~");
        assert_eq!(
            (partial.status, &partial.json["complete"]),
            (200, &json!(false))
        );
        let body = json!({"query": {"match": {"text": "~2~"}}});
        let target = "/stock-search/_search?preference=_shards:3,4,5,6,7&timeout=1200ms";
        let partial = rig.search(target, body.clone());
        assert_eq!(
            (partial.status, &partial.json["timed_out"]),
            (200, &json!(true)),
            "{}",
            partial.json
        );
        assert_eq!(partial.json["_shards"]["failures"][0]["shard"], json!(7));
        let forbidden = rig.search(
            &format!("{target}&allow_partial_search_results=false"),
            body.clone(),
        );
        assert_eq!(forbidden.status, 504, "{}", forbidden.json);
    }
}

/// Guards against answers that can't be read: waited for until the time-out, served, or taken as proof that the
/// part never ran. A failure that isn't late (500, not 504) shows that nobody waited.
#[test]
fn a_spoilt_answer_may_have_run_and_is_never_served() {
    for servers in [Wire::Platform, Wire::OpenSearch] {
        let plan = |marker: u64, _, before| match marker as usize % 10 {
            kind if before == 0 => Act::Spoilt(SPOILT[kind]),
            _ => Act::Serve,
        };
        for kind in 0..SPOILT.len() as u64 {
            let rig = Rig::start(servers, Stage::new(plan), 1000);
            let (safe, once) = (10 + kind, 20 + kind);
            let served = rig.api(
                &format!("s{kind}"),
                "stock-search",
                "2.0",
                &[1],
                &format!("~{safe}~"),
            );
            assert_eq!(
                served.status, 200,
                "{servers:?} {:?}",
                SPOILT[kind as usize]
            );
            assert!(
                served.json.to_string().contains(&format!("value {safe}/1")),
                "{}",
                served.json
            );
            let failed = rig.api(
                &format!("o{kind}"),
                "pick-confirm",
                "2.5",
                &[1],
                &format!("~{once}~"),
            );
            assert_eq!(
                failed.status, 500,
                "{servers:?} {:?}",
                SPOILT[kind as usize]
            );
            assert_eq!(
                rig.stage.runs()[&(once, 1)],
                1,
                "{servers:?} {:?}",
                SPOILT[kind as usize]
            );
        }
    }
}

/// Guards against the next call on a connection that brought more than its answer: it would be given what is left
/// there, or be lost with it.
#[test]
fn more_than_an_answer_costs_its_connection_and_nobody_else() {
    for servers in [Wire::Platform, Wire::OpenSearch] {
        let plan = |marker: u64, _, _| match marker % 4 {
            0 => Act::More(More::Twice),
            1 => Act::More(More::Noise),
            2 => Act::More(More::Report),
            _ => Act::Serve,
        };
        let rig = Rig::start(servers, Stage::new(plan), 1000);
        for marker in 0..40 {
            let told = rig.api(
                &format!("m{marker}"),
                "pick-confirm",
                "2.5",
                &[1, 2],
                &format!("~{marker}~"),
            );
            assert_eq!(told.status, 200, "{servers:?} {marker}: {}", told.json);
            assert!(
                told.json.to_string().contains(&format!("value {marker}/2")),
                "{}",
                told.json
            );
        }
    }
}

#[test]
fn a_part_that_may_have_run_is_failed_and_not_refused() {
    let plan = |_, shard, _| if shard == 7 { Act::Silent } else { Act::Serve };
    for servers in [Wire::Platform, Wire::OpenSearch] {
        let fresh = || Rig::start(servers, Stage::new(plan), 1000);
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
                .api("l", "pick-confirm", "0.6", &[6, 7], "~2~")
                .status,
            504
        );
    }
}

#[test]
fn msearch_answers_each_search_in_order_with_its_own_status() {
    let rig = Rig::start(Wire::OpenSearch, Stage::new(|_, _, _| Act::Serve), 1000);
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
    let told = rig.call(rig.opensearch, "POST /_msearch", &[], &body);
    assert_eq!(told.status, 200);
    let statuses: Vec<_> = (0..3)
        .map(|at| told.json["responses"][at]["status"].as_u64().unwrap())
        .collect();
    assert_eq!(statuses, [200, 404, 200], "{}", told.json);
    let hits = &told.json["responses"][2]["hits"];
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
        rig.call(rig.opensearch, "POST /_msearch", &[], body.trim_end())
            .status,
        400
    );
    let odd = body.replacen("{\"index\"", "{\"scroll\":\"1m\",\"index\"", 1);
    let told = rig.call(rig.opensearch, "POST /_msearch", &[], &odd);
    assert_eq!(
        told.json["responses"][0]["status"],
        json!(400),
        "an unsupported term is its own search's fault"
    );
}

#[test]
fn a_drained_server_gets_nothing_new() {
    let rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Serve), 1000);
    for number in 0..8 {
        assert_eq!(
            rig.api(&format!("a{number}"), "pick-confirm", "2.0", &[0, 2], "~1~")
                .status,
            200
        );
    }
    let to_first = || {
        rig.stage
            .seen
            .lock()
            .unwrap()
            .iter()
            .filter(|seen| seen.server == 0)
            .count()
    };
    assert!(to_first() > 0, "both replicas take turns");
    let watches = || rig.discovery.calls.lock().unwrap().len();
    let before = watches();
    rig.discovery.set_phase(0, "leaving");
    // The next watch comes once the answer before it was read and understood.
    wait_for("the next watch", || watches() > before);
    thread::sleep(Duration::from_millis(250));
    let told = to_first();
    for number in 0..8 {
        assert_eq!(
            rig.api(&format!("b{number}"), "pick-confirm", "2.0", &[0, 2], "~2~")
                .status,
            200
        );
    }
    assert_eq!(to_first(), told);
}

#[test]
fn a_server_that_refuses_connections_costs_no_answer() {
    let stage = Stage::new(|_, _, _| Act::Serve);
    let dead = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let mut members = members(Wire::Platform, &stage);
    members[0]["host_port"] = json!(dead.to_string());
    let rig = Rig::start_with(Wire::Platform, stage, 1000, 1024, members);
    for number in 0..6 {
        // No connection proves that the part never ran, so even this class goes elsewhere.
        assert_eq!(
            rig.api(&format!("d{number}"), "pick-confirm", "2.0", &[0, 1], "~1~")
                .status,
            200
        );
    }
}

#[test]
fn with_no_connection_to_spare_a_client_is_told_to_come_back() {
    let stage = Stage::new(|marker, _, _| if marker == 1 { Act::Silent } else { Act::Serve });
    let members = members(Wire::Platform, &stage);
    // Half of 64 descriptors are for clients with a request open.
    let rig = Rig::start_with(Wire::Platform, stage, 1000, 64, members);
    let held: Vec<_> = (0..32)
        .map(|n| {
            let mut stream = TcpStream::connect(rig.platform).unwrap();
            stream
                .write_all(api_text(&format!("held{n}"), "~1~").as_bytes())
                .unwrap();
            stream
        })
        .collect();
    wait_for("the parts", || rig.stage.seen.lock().unwrap().len() == 32);
    let refused = rig.api("a", "stock-search", "2.0", &[1], "~2~");
    assert_eq!(
        (refused.status, refused.fields["connection"].as_str()),
        (503, "close")
    );
    assert!(refused.fields.contains_key("retry-after"));
    drop(held);
    let mut names = 0..;
    let mut status = || {
        rig.api(
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

fn api_text(id: &str, q: &str) -> String {
    let body = json!({"shards": [{"shard": 1, "weight": 1.0}], "q": q}).to_string();
    let head = format!(
        "POST /api HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: stock-search\r\nX-Deadline: 2\r\n"
    );
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Guards against idle clients that keep all places: neither those who say nothing nor those who asked once and
/// stayed may keep others out, and a client that idles as its place is needed is closed without an answer.
#[test]
fn idle_clients_make_room_for_those_who_ask() {
    let stage = Stage::new(|_, _, _| Act::Serve);
    let members = members(Wire::Platform, &stage);
    let rig = Rig::start_with(Wire::Platform, stage, 1000, 64, members);
    let mut stayed = BufReader::new(TcpStream::connect(rig.platform).unwrap());
    stayed
        .get_mut()
        .write_all(api_text("once", "~1~").as_bytes())
        .unwrap();
    assert_eq!(response(&mut stayed).status, 200);
    let _silent: Vec<_> = (0..200)
        .map(|_| TcpStream::connect(rig.platform).unwrap())
        .collect();
    let start = Instant::now();
    for number in 0..20 {
        assert_eq!(
            rig.api(&format!("a{number}"), "stock-search", "2.0", &[1], "~1~")
                .status,
            200
        );
    }
    assert!(
        start.elapsed() < Duration::from_secs(15),
        "silence is waited out: {:?}",
        start.elapsed()
    );
    assert_eq!(
        stayed.read(&mut [0]).unwrap(),
        0,
        "the longest idle was the first to go"
    );
}

/// Guards against waiting for good on a client that stops in the middle, and against an error that a reset cuts
/// off while the client still sends.
#[test]
fn a_bad_client_has_its_end_in_time() {
    let rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Serve), 1000);
    for address in [rig.platform, rig.opensearch] {
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
            let told = response(stream);
            assert_eq!((told.status, stream.read(&mut [0]).unwrap()), (status, 0));
            assert_eq!(
                told.fields.get("connection").map(String::as_str),
                (status > 0).then_some("close")
            );
        }
    }
}

#[test]
fn a_client_that_leaves_has_its_parts_cancelled() {
    let rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Silent), 1000);
    let mut stream = TcpStream::connect(rig.platform).unwrap();
    stream
        .write_all(api_text("gone", "~1~").as_bytes())
        .unwrap();
    wait_for("the part", || !rig.stage.seen.lock().unwrap().is_empty());
    drop(stream);
    wait_for("the cancel", || {
        rig.stage
            .seen
            .lock()
            .unwrap()
            .iter()
            .all(|seen| seen.cancelled.load(Ordering::Relaxed))
    });
}

#[test]
fn a_name_that_was_used_before_is_not_taken_again() {
    let rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Silent), 1000);
    thread::scope(|scope| {
        let first = scope.spawn(|| rig.api("same", "pick-confirm", "2.5", &[1], "~1~").status);
        wait_for("the part", || !rig.stage.seen.lock().unwrap().is_empty());
        assert_eq!(
            rig.api("same", "pick-confirm", "2.5", &[1], "~1~").status,
            409
        );
        assert_eq!(first.join().unwrap(), 504);
    });
    // Nor once it ended: the part that was given up may be answered yet, and would be taken for the new one's.
    assert_eq!(
        rig.api("same", "pick-confirm", "2.5", &[1], "~2~").status,
        409
    );
    assert_eq!(
        rig.stage.seen.lock().unwrap().len(),
        1,
        "the refused one reached no server"
    );
}

#[test]
fn a_client_that_waits_for_leave_gets_it() {
    let rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Serve), 1000);
    let mut stream = TcpStream::connect(rig.platform).unwrap();
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
    assert_eq!(response(&mut BufReader::new(stream)).status, 200);
}

/// Guards against SIGHUP's default action, which ends the program, and a watch that stays at the old agent.
#[test]
fn a_new_configuration_moves_the_watch_and_nobody_else_notices() {
    let mut rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Late(700)), 1000);
    let second = Discovery::new(rig.discovery.members());
    let third = Discovery::new(rig.discovery.members());
    thread::scope(|scope| {
        let open = scope.spawn(|| {
            rig.api("open", "pick-confirm", "2.5", &[1, 2], "~1~")
                .status
        });
        wait_for("the parts", || rig.stage.seen.lock().unwrap().len() == 2);
        rig.reconfigure(|config| config["discovery"] = json!(second.address.to_string()));
        wait_for("the whole list", || {
            !second.calls.lock().unwrap().is_empty()
        });
        assert_eq!(open.join().unwrap(), 200, "what was open is answered");
    });
    assert_eq!(
        second.calls.lock().unwrap()[0],
        "GET /catalog/members HTTP/1.1"
    );
    rig.reconfigure(|config| config["discovery"] = json!("nowhere"));
    rig.wait_for_line("'discovery': 'nowhere'");
    // The old settings stand: what the second agent says still counts, and the first is not heard any more.
    let before = rig.discovery.calls.lock().unwrap().len();
    let watches = second.calls.lock().unwrap().len();
    for server in 0..second.members().len() {
        second.set_phase(server, "leaving");
    }
    wait_for("the next watch", || {
        second.calls.lock().unwrap().len() > watches
    });
    let mut names = 0..;
    let mut status = || {
        rig.api(
            &format!("n{}", names.next().unwrap()),
            "pick-confirm",
            "2.5",
            &[1],
            "~2~",
        )
        .status
    };
    wait_for("the drains", || status() == 429);
    // And again, with an order to stop right behind.
    rig.reconfigure(|config| config["discovery"] = json!(third.address.to_string()));
    wait_for("the whole list", || !third.calls.lock().unwrap().is_empty());
    wait_for("the servers", || status() == 200);
    assert_eq!(rig.discovery.calls.lock().unwrap().len(), before);
    rig.signal("TERM");
    rig.signal("HUP");
    assert!(rig.child.wait().unwrap().success());
}

/// Guards against a client that sends hundreds of requests at once and holds a place until all are served.
#[test]
fn what_is_sent_ahead_for_too_long_is_refused() {
    let rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Late(100)), 1000);
    let mut client = BufReader::new(TcpStream::connect(rig.platform).unwrap());
    let all: String = (0..60)
        .map(|number| api_text(&format!("p{number}"), "~1~") + "\r\n")
        .collect();
    client.get_mut().write_all(all.as_bytes()).unwrap();
    let (mut served, mut told) = (0, response(&mut client));
    while told.status == 200 {
        served += 1;
        told = response(&mut client);
    }
    assert!(
        served > 0 && rig.stage.seen.lock().unwrap().len() == served,
        "{served} served"
    );
    assert_eq!(
        (told.status, told.fields["connection"].as_str()),
        (429, "close")
    );
    assert!(told.fields.contains_key("retry-after"));
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
}

/// Guards against clients who go on coming and so hold the end up until the program is killed, whatever it then
/// has open.
#[test]
fn an_order_to_stop_is_obeyed_while_others_go_on_coming() {
    let mut rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Late(600)), 1000);
    let address = rig.platform;
    let mut open = BufReader::new(TcpStream::connect(address).unwrap());
    open.get_mut()
        .write_all(api_text("open", "~1~").as_bytes())
        .unwrap();
    wait_for("the part", || !rig.stage.seen.lock().unwrap().is_empty());
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
        rig.signal("TERM");
        let start = Instant::now();
        while rig.child.try_wait().unwrap().is_none() && start.elapsed() < Duration::from_secs(20) {
            thread::sleep(Duration::from_millis(5));
        }
        ended.store(true, Ordering::Relaxed);
    });
    assert!(
        rig.child
            .try_wait()
            .unwrap()
            .is_some_and(|status| status.success()),
        "it did not end"
    );
    assert_eq!(
        response(&mut open).status,
        200,
        "what was open is answered first"
    );
}

#[test]
fn an_order_to_stop_is_obeyed_once_all_is_answered() {
    let mut rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Late(1000)), 1000);
    let ask = |stream: &mut TcpStream, id: &str| {
        stream.write_all(api_text(id, "~1~").as_bytes()).unwrap()
    };
    let mut early = TcpStream::connect(rig.platform).unwrap();
    ask(&mut early, "early");
    wait_for("the part", || !rig.stage.seen.lock().unwrap().is_empty());
    rig.signal("TERM");
    wait_for("the order", || {
        rig.call(rig.platform, "GET /_health", &[], "").status == 503
    });
    let mut late = TcpStream::connect(rig.platform).unwrap();
    ask(&mut late, "late");
    for stream in [early, late] {
        let mut reader = BufReader::new(stream);
        let told = response(&mut reader);
        assert_eq!(
            (told.status, told.fields["connection"].as_str()),
            (200, "close")
        );
        assert_eq!(
            reader.read(&mut [0]).unwrap(),
            0,
            "the connection ends after its answer"
        );
    }
    wait_for("the end", || rig.child.try_wait().unwrap().is_some());
    assert!(rig.child.wait().unwrap().success());
}

/// The program's deployment allows no Unix socket, and the fleet's test hosts take TCP and UDP only: none of the
/// program's descriptors may be one, also after the signals that it answers have come.
#[test]
fn no_descriptor_of_the_program_is_a_unix_socket() {
    let rig = Rig::start(Wire::Platform, Stage::new(|_, _, _| Act::Serve), 1000);
    rig.signal("HUP");
    rig.wait_for_line("reload applied");
    let listed = std::fs::read_to_string("/proc/net/unix").unwrap();
    let unix: Vec<&str> = listed
        .lines()
        .skip(1)
        .filter_map(|line| line.split_whitespace().nth(6))
        .collect();
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", rig.child.id())).unwrap();
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
