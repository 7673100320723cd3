//! Operation of a running coordinator: admin requests, suspension of data nodes, drains, live reloads, and replacement of
//! the process under load.

mod common;

use common::{
    read_response, send_request, signal, wait_for, Behavior, DataNodes, Environment,
    TestCoordinator,
};
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const WITH_ADMIN_API: Environment = Environment {
    admin_api: true,
    inherited_socket: None,
    descriptor_limit: None,
};

fn api_request(id: &str, class: &str) -> String {
    let body = json!({"shards": [{"shard": 1, "weight": 1.0}], "q": "~1~"}).to_string();
    format!(
        "POST /api HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Deadline: 2.0\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends eight requests for shards that data nodes 0 and 2 hold. Returns the number of parts that data node 0 has received
/// since its start. `id_prefix` makes the request ids unique.
fn parts_at_first_node(coordinator: &TestCoordinator, id_prefix: &str) -> usize {
    for number in 0..8 {
        let id = format!("{id_prefix}{number}");
        assert_eq!(
            coordinator
                .post_api(&id, "pick-confirm", "2.0", &[0, 2], "~1~")
                .status,
            200
        );
    }
    coordinator
        .data_nodes
        .received
        .lock()
        .unwrap()
        .iter()
        .filter(|seen| seen.server == 0)
        .count()
}

#[test]
fn admin_requests_get_the_expected_statuses() {
    let coordinator = TestCoordinator::with_environment(
        DataNodes::new(|_, _, _| Behavior::Serve),
        WITH_ADMIN_API,
    );
    for (line, status) in [
        ("GET /v1/readyz", 200),
        ("PUT /v1/readyz", 405),
        ("PUT /v1/data-nodes/s-0/suspend", 200),
        ("PUT /v1/data-nodes/s-0/suspend", 200),
        ("PUT /v1/data-nodes/s-0/resume", 200),
        ("PUT /v1/data-nodes/s-1/resume", 200),
        ("PUT /v1/data-nodes/s-9/suspend", 404),
        ("PUT /v1/data-nodes/s-9/resume", 404),
        ("PUT /v1/data-nodes/%/suspend", 400),
        ("GET /v1/data-nodes/s-0/suspend", 405),
        ("GET /api", 404),
        ("PUT /v1/coordinator/activate", 200),
        ("GET /v1/readyz", 200),
    ] {
        assert_eq!(coordinator.admin_status(line), status, "{line}");
    }
    // The clients' listener does not serve admin requests, and the admin API does not serve client requests.
    assert_eq!(
        coordinator
            .call(coordinator.platform, "PUT /v1/coordinator/drain", &[], "")
            .status,
        404
    );
    assert_eq!(
        coordinator
            .call(coordinator.admin.unwrap(), "GET /_health", &[], "")
            .status,
        404
    );
}

/// Guards against clients of the admin API that send nothing, or only a part of a request, and so block other clients.
#[test]
fn stalled_admin_clients_time_out_and_block_nobody() {
    let coordinator = TestCoordinator::with_environment(
        DataNodes::new(|_, _, _| Behavior::Serve),
        WITH_ADMIN_API,
    );
    let admin = coordinator.admin.unwrap();
    let send_partial = |text: &str| {
        let mut stream = TcpStream::connect(admin).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        stream
    };
    let descriptors = || {
        std::fs::read_dir(format!("/proc/{}/fd", coordinator.child.id()))
            .unwrap()
            .count()
    };
    let before = descriptors();
    let mut stalled: Vec<_> = (0..60)
        .map(|n| send_partial(if n % 2 == 0 { "" } else { "PUT /v1/coord" }))
        .collect();
    assert_eq!(coordinator.admin_status("GET /v1/readyz"), 200);
    assert!(
        descriptors() <= before + 24,
        "expected stalled clients to hold at most 24 descriptors, found {}",
        descriptors() - before
    );
    let newest = stalled.split_off(58);
    for stream in newest {
        assert_eq!(read_response(&mut BufReader::new(stream)).status, 408);
    }
    // The older connections were evicted for newer ones, or timed out too.
    for mut stream in stalled {
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
        assert!(rest.is_empty() || rest.starts_with(b"HTTP/1.1 408"));
    }
    for malformed in [
        "nonsense\r\n\r\n",
        "GET /v1/readyz HTTP/1.1\r\nContent-Length: x\r\n\r\n",
    ] {
        assert_eq!(
            read_response(&mut BufReader::new(send_partial(malformed))).status,
            400
        );
    }
}

/// Guards against an endpoint list update that lifts a suspension, and against a suspension that stays in force after its
/// resumption.
#[test]
fn a_suspended_data_node_gets_no_parts_until_it_is_resumed() {
    let coordinator = TestCoordinator::with_environment(
        DataNodes::new(|_, _, _| Behavior::Serve),
        WITH_ADMIN_API,
    );
    assert!(
        parts_at_first_node(&coordinator, "a") > 0,
        "both replicas of the cell must get parts before the suspension"
    );
    assert_eq!(
        coordinator.admin_status("PUT /v1/data-nodes/s-0/suspend"),
        200
    );
    let before = parts_at_first_node(&coordinator, "b");
    for phase in ["leaving", "active"] {
        let watches = || coordinator.discovery.calls.lock().unwrap().len();
        let before = watches();
        coordinator.discovery.set_phase(0, phase);
        wait_for("the next watch", || watches() > before);
    }
    thread::sleep(Duration::from_millis(50));
    assert_eq!(parts_at_first_node(&coordinator, "c"), before);
    assert_eq!(
        coordinator.admin_status("PUT /v1/data-nodes/s-0/resume"),
        200
    );
    let mut names = 0..;
    // The resumed data node is in slow start and gets few parts at first.
    wait_for("a part at the resumed data node", || {
        parts_at_first_node(&coordinator, &format!("d{}-", names.next().unwrap())) > before
    });
}

#[test]
fn a_drained_coordinator_closes_client_connections_and_can_be_reactivated() {
    let coordinator = TestCoordinator::with_environment(
        DataNodes::new(|_, _, _| Behavior::Delay(300)),
        WITH_ADMIN_API,
    );
    let health = || {
        coordinator
            .call(coordinator.platform, "GET /_health", &[], "")
            .status
    };
    // This client has sent one request. Without a drain, its connection may stay idle for 5 s.
    let mut idle = BufReader::new(TcpStream::connect(coordinator.platform).unwrap());
    idle.get_mut()
        .write_all(api_request("idle", "stock-search").as_bytes())
        .unwrap();
    assert_eq!(read_response(&mut idle).status, 200);
    let mut busy = BufReader::new(TcpStream::connect(coordinator.platform).unwrap());
    busy.get_mut()
        .write_all(api_request("busy", "stock-search").as_bytes())
        .unwrap();
    wait_for("the part at the data node", || {
        coordinator.data_nodes.received.lock().unwrap().len() == 2
    });
    let drained_at = Instant::now();
    for _ in 0..2 {
        assert_eq!(coordinator.admin_status("PUT /v1/coordinator/drain"), 200);
    }
    assert_eq!(
        (health(), coordinator.admin_status("GET /v1/readyz")),
        (503, 503)
    );
    let answer = read_response(&mut busy);
    assert_eq!(
        (answer.status, answer.fields["connection"].as_str()),
        (200, "close"),
        "the request in flight must be answered"
    );
    assert_eq!(
        idle.read(&mut [0]).unwrap(),
        0,
        "idle connections must be closed"
    );
    // Idle connections are closed 0.6 s after the drain request. The platform requires it within 4 s.
    assert!(
        drained_at.elapsed() < Duration::from_secs(4),
        "the idle connection must be closed within 4 s of the drain"
    );
    // A client that connects during the drain is served, and its connection is closed after the answer.
    let mut late = BufReader::new(TcpStream::connect(coordinator.platform).unwrap());
    late.get_mut()
        .write_all(api_request("late", "stock-search").as_bytes())
        .unwrap();
    let answer = read_response(&mut late);
    assert_eq!(
        (answer.status, answer.fields["connection"].as_str()),
        (200, "close")
    );
    assert_eq!(
        coordinator.admin_status("PUT /v1/coordinator/activate"),
        200
    );
    wait_for("a successful health check", || health() == 200);
    let answer = coordinator.post_api("back", "stock-search", "2.0", &[1], "~1~");
    assert!(answer.status == 200 && !answer.closes_connection());
}

/// Sends requests until `stop` is set and asserts that each is answered with status 200. Reuses its connection until the
/// server announces its close. `sent` counts the requests of all clients.
fn send_until_stopped(address: SocketAddr, client: usize, stop: &AtomicBool, sent: &AtomicUsize) {
    let mut idle_connection: Option<BufReader<TcpStream>> = None;
    while !stop.load(Ordering::Relaxed) {
        let id = format!("c{client}-{}", sent.fetch_add(1, Ordering::Relaxed));
        let mut stream = idle_connection
            .take()
            .unwrap_or_else(|| BufReader::new(TcpStream::connect(address).unwrap()));
        stream
            .get_mut()
            .write_all(api_request(&id, "pick-confirm").as_bytes())
            .unwrap();
        let answer = read_response(&mut stream);
        assert_eq!(answer.status, 200, "{id}");
        if !answer.closes_connection() {
            idle_connection = Some(stream);
        }
    }
}

/// Guards against a new process that can't start while the old one runs, clients that are refused during the replacement,
/// and a suspension that the new process does not take over.
#[test]
fn a_process_replacement_under_load_keeps_suspensions() {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let environment = Environment {
        admin_api: true,
        inherited_socket: Some(&socket),
        descriptor_limit: None,
    };
    let mut coordinator = TestCoordinator::with_environment(
        DataNodes::new(|_, _, _| Behavior::Delay(20)),
        environment,
    );
    let address = coordinator.platform;
    assert_eq!(
        coordinator.admin_status("PUT /v1/data-nodes/s-0/suspend"),
        200
    );
    let before = parts_at_first_node(&coordinator, "before");
    let stop = AtomicBool::new(false);
    let sent = AtomicUsize::new(0);
    thread::scope(|scope| {
        for client in 0..4 {
            let stop = &stop;
            let sent = &sent;
            scope.spawn(move || send_until_stopped(address, client, stop, sent));
        }
        for _ in 0..3 {
            let before = sent.load(Ordering::Relaxed);
            let mut old = coordinator.replace(environment);
            wait_for("the new process", || {
                coordinator.admin_status("GET /v1/readyz") == 200
            });
            signal(&old, "TERM");
            wait_for("the end of the old process", || {
                old.try_wait()
                    .unwrap()
                    .is_some_and(|status| status.success())
            });
            wait_for("40 more requests", || {
                sent.load(Ordering::Relaxed) > before + 40
            });
        }
        stop.store(true, Ordering::Relaxed);
    });
    assert_eq!(
        parts_at_first_node(&coordinator, "after"),
        before,
        "the suspension must hold in processes that did not receive the request"
    );
    // A suspension that the new process lifts is lifted in the old process too.
    let old = coordinator.replace(environment);
    wait_for("the new process", || {
        coordinator.admin_status("GET /v1/readyz") == 200
    });
    assert_eq!(
        coordinator.admin_status("PUT /v1/data-nodes/s-0/resume"),
        200
    );
    let mut new_process = std::mem::replace(&mut coordinator.child, old);
    new_process.kill().unwrap();
    new_process.wait().unwrap();
    let mut names = 0..;
    wait_for("a part at the resumed data node", || {
        parts_at_first_node(&coordinator, &format!("d{}-", names.next().unwrap())) > before
    });
}

/// Guards against clients that are accepted by a process that has no endpoint list yet, or by one that is shutting down.
#[test]
fn of_two_processes_only_a_ready_one_accepts_clients() {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let environment = Environment {
        admin_api: true,
        inherited_socket: Some(&socket),
        descriptor_limit: None,
    };
    let data_nodes = DataNodes::new(|marker, _, _| {
        if marker == 2 {
            Behavior::Delay(1500)
        } else {
            Behavior::Serve
        }
    });
    let mut coordinator = TestCoordinator::with_environment(data_nodes, environment);
    let path = coordinator.folder.join("config.json");
    let valid_config = std::fs::read_to_string(&path).unwrap();
    let discovery = coordinator.discovery.address.to_string();
    std::fs::write(&path, valid_config.replace(&discovery, "127.0.0.1:1")).unwrap();
    let old = coordinator.replace(environment);
    assert_eq!(
        coordinator.admin_status("GET /v1/readyz"),
        503,
        "a process without an endpoint list must not be ready"
    );
    for number in 0..30 {
        assert_eq!(
            coordinator
                .post_api(&format!("a{number}"), "stock-search", "2.0", &[1], "~1~")
                .status,
            200
        );
    }
    let mut new_process = std::mem::replace(&mut coordinator.child, old);
    new_process.kill().unwrap();
    new_process.wait().unwrap();
    std::fs::write(&path, valid_config).unwrap();
    let mut open = BufReader::new(TcpStream::connect(coordinator.platform).unwrap());
    open.get_mut()
        .write_all(
            api_request("open", "stock-search")
                .replace("~1~", "~2~")
                .as_bytes(),
        )
        .unwrap();
    wait_for("the part at the data node", || {
        coordinator
            .data_nodes
            .received
            .lock()
            .unwrap()
            .iter()
            .any(|seen| seen.query == "~2~")
    });
    let mut old = coordinator.replace(environment);
    wait_for("the new process", || {
        coordinator.admin_status("GET /v1/readyz") == 200
    });
    signal(&old, "TERM");
    // A process that shuts down closes each connection after its answer. If no answer does so, the old process accepts no
    // clients any more.
    let connection_is_closed = |id: String| {
        let answer = coordinator.post_api(&id, "stock-search", "2.0", &[1], "~1~");
        assert_eq!(answer.status, 200);
        answer.closes_connection()
    };
    thread::sleep(Duration::from_millis(200));
    assert!(
        old.try_wait().unwrap().is_none(),
        "the old process must run until its request in flight is answered"
    );
    assert!(
        !(0..30).any(|number| connection_is_closed(format!("b{number}"))),
        "the old process must not accept clients during its shutdown"
    );
    assert_eq!(
        read_response(&mut open).status,
        200,
        "the old process must answer its request in flight"
    );
    wait_for("the end of the old process", || {
        old.try_wait()
            .unwrap()
            .is_some_and(|status| status.success())
    });
}

fn classes(config: &mut Value) -> &mut Vec<Value> {
    config["settings"]["classes"].as_array_mut().unwrap()
}

/// Adds a class with the settings of the class at index `like` under a new name.
fn add(config: &mut Value, name: &str, like: usize) {
    let mut class = classes(config)[like].clone();
    class["name"] = json!(name);
    classes(config).push(class);
    for key in ["needByClass", "minShare", "partialEarns", "fetchParts"] {
        let row = config["settings"]["extra"][key].as_array_mut().unwrap();
        row.push(row[like].clone());
    }
}

/// Removes the class at this index.
fn remove(config: &mut Value, index: usize) {
    classes(config).remove(index);
    for key in ["needByClass", "minShare", "partialEarns", "fetchParts"] {
        config["settings"]["extra"][key]
            .as_array_mut()
            .unwrap()
            .remove(index);
    }
}

/// Guards against a reload that changes the class of a request in flight, that does not add new classes, or after which the
/// old limit of attempts still applies.
#[test]
fn a_reload_applies_live_and_in_flight_requests_keep_their_class() {
    // Marker 1 is rejected as busy at every attempt, and marker 2 takes 800 ms.
    let data_nodes = DataNodes::new(|marker, _, _| match marker {
        1 => Behavior::Busy,
        2 => Behavior::Delay(800),
        _ => Behavior::Serve,
    });
    let coordinator = TestCoordinator::with_environment(data_nodes, WITH_ADMIN_API);
    let received_parts = |text: &str| {
        coordinator
            .data_nodes
            .received
            .lock()
            .unwrap()
            .iter()
            .filter(|seen| seen.query == text)
            .count()
    };
    // Failing parts go to another cell than the others, since they make its data nodes outliers.
    let status = |id: &str, class: &str, q: &str| {
        coordinator
            .post_api(id, class, "2.0", &[if q == "~1~" { 0 } else { 1 }], q)
            .status
    };
    assert_eq!(status("a", "stock-v2", "~3~"), 400);
    assert_ne!(status("b", "stock-search", "~1~"), 200);
    assert_eq!(received_parts("~1~"), 3);
    thread::scope(|scope| {
        let open = scope.spawn(|| status("open", "stock-search", "~2~"));
        wait_for("the part at the data node", || received_parts("~2~") > 0);
        coordinator.reconfigure(|config| {
            config["settings"]["caps"]["attemptsCap"] = json!(2);
            add(config, "stock-v2", 0);
            remove(config, 0);
        });
        coordinator.wait_for_log_line("class=\"stock-v2\"");
        assert_eq!(
            open.join().unwrap(),
            200,
            "a request in flight must keep its class"
        );
    });
    assert_eq!(
        status("c", "stock-search", "~3~"),
        400,
        "a removed class must be rejected"
    );
    assert_eq!(
        (
            status("d", "stock-v2", "~3~"),
            status("e", "pick-confirm", "~3~")
        ),
        (200, 200)
    );
    let before = received_parts("~1~");
    assert_ne!(status("f", "stock-v2", "~1~"), 200);
    assert_eq!(
        received_parts("~1~") - before,
        2,
        "the new limit of two attempts must apply"
    );
    // The reload applies to the query front too.
    let search = |index: &str| {
        coordinator
            .search(
                &format!("/{index}/_search"),
                json!({"query": {"match_all": {}}}),
            )
            .status
    };
    assert_eq!((search("stock-search"), search("stock-v2")), (404, 200));
    let page = send_request(coordinator.opensearch, "GET /openapi.json", &[], "")
        .json
        .to_string();
    assert!(
        page.contains("stock-v2") && !page.contains("stock-search"),
        "the published description must contain the new classes only"
    );
}

/// Guards against an invalid file of which the valid parts are applied.
#[test]
fn an_invalid_file_leaves_the_previous_settings_in_force() {
    let coordinator = TestCoordinator::with_environment(
        DataNodes::new(|_, _, _| Behavior::Serve),
        WITH_ADMIN_API,
    );
    let path = coordinator.folder.join("config.json");
    let valid_config = std::fs::read(&path).unwrap();
    let calls = || coordinator.discovery.calls.lock().unwrap().len();
    type Edit = fn(&mut Value);
    let invalid_edits: [(&str, Edit); 6] = [
        ("deadlineS is -5", |config| {
            config["settings"]["classes"][0]["deadlineS"] = json!(-5)
        }),
        ("aimS is 0", |config| {
            config["settings"]["classes"][1]["aimS"] = json!(0)
        }),
        ("attemptsCap is 0", |config| {
            config["settings"]["caps"]["attemptsCap"] = json!(0)
        }),
        ("classes is empty", |config| classes(config).clear()),
        ("settings.caps.keepaliveS", |config| {
            drop(
                config["settings"]["caps"]
                    .as_object_mut()
                    .unwrap()
                    .remove("keepaliveS"),
            )
        }),
        ("duplicate class name", |config| {
            add(config, "pick-confirm", 0)
        }),
    ];
    for (expected_error, invalidate) in invalid_edits {
        std::fs::write(&path, &valid_config).unwrap();
        coordinator.reconfigure(|config| {
            config["discovery"] = json!("127.0.0.1:1");
            if expected_error != "classes is empty" {
                add(config, "stock-v2", 0);
            }
            invalidate(config);
        });
        coordinator.wait_for_log_line(expected_error);
    }
    for length in [0, 1, valid_config.len() / 2, valid_config.len() - 1] {
        std::fs::write(&path, &valid_config[..length]).unwrap();
        coordinator.signal("HUP");
        coordinator.wait_for_log_line("reload rejected");
    }
    let before = calls();
    coordinator.discovery.set_phase(0, "leaving");
    wait_for("a watch at the previous discovery address", || {
        calls() > before
    });
    assert_eq!(
        coordinator
            .post_api("a", "stock-search", "2.0", &[1], "~1~")
            .status,
        200
    );
    assert_eq!(
        coordinator
            .post_api("b", "stock-v2", "2.0", &[1], "~1~")
            .status,
        400
    );
}
