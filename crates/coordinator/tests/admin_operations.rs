//! Operation of a running coordinator: admin requests, suspended data nodes, drains, live reloads, and replacement of
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

/// Requests shards of data nodes 0 and 2 eight times; returns how many parts have reached data node 0 in all.
fn parts_at_first(coordinator: &TestCoordinator, names: &str) -> usize {
    for number in 0..8 {
        let id = format!("{names}{number}");
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
    // Clients can't use the admin API, and the admin API serves no client requests.
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

/// Guards against clients of the admin API that send nothing, or half a request, and so keep others out.
#[test]
fn stalled_admin_clients_time_out_and_block_nobody() {
    let coordinator = TestCoordinator::with_environment(
        DataNodes::new(|_, _, _| Behavior::Serve),
        WITH_ADMIN_API,
    );
    let admin = coordinator.admin.unwrap();
    let caller = |text: &str| {
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
    let mut held: Vec<_> = (0..60)
        .map(|n| caller(if n % 2 == 0 { "" } else { "PUT /v1/coord" }))
        .collect();
    assert_eq!(coordinator.admin_status("GET /v1/readyz"), 200);
    assert!(
        descriptors() <= before + 24,
        "callers take up {} descriptors",
        descriptors() - before
    );
    let last = held.split_off(58);
    for stream in last {
        assert_eq!(read_response(&mut BufReader::new(stream)).status, 408);
    }
    // The others were evicted early or timed out too.
    for mut stream in held {
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
        assert!(rest.is_empty() || rest.starts_with(b"HTTP/1.1 408"));
    }
    for odd in [
        "nonsense\r\n\r\n",
        "GET /v1/readyz HTTP/1.1\r\nContent-Length: x\r\n\r\n",
    ] {
        assert_eq!(read_response(&mut BufReader::new(caller(odd))).status, 400);
    }
}

/// Guards against an endpoint list update that lifts a suspension, and a suspension that outlives its resume.
#[test]
fn a_suspended_data_node_gets_no_parts_until_it_is_resumed() {
    let coordinator = TestCoordinator::with_environment(
        DataNodes::new(|_, _, _| Behavior::Serve),
        WITH_ADMIN_API,
    );
    assert!(
        parts_at_first(&coordinator, "a") > 0,
        "both replicas take turns"
    );
    assert_eq!(
        coordinator.admin_status("PUT /v1/data-nodes/s-0/suspend"),
        200
    );
    let before = parts_at_first(&coordinator, "b");
    for phase in ["leaving", "active"] {
        let watches = || coordinator.discovery.calls.lock().unwrap().len();
        let before = watches();
        coordinator.discovery.set_phase(0, phase);
        wait_for("the next watch", || watches() > before);
    }
    thread::sleep(Duration::from_millis(50));
    assert_eq!(parts_at_first(&coordinator, "c"), before);
    assert_eq!(
        coordinator.admin_status("PUT /v1/data-nodes/s-0/resume"),
        200
    );
    let mut names = 0..;
    // It is in slow start now, and gets little at first.
    wait_for("a part", || {
        parts_at_first(&coordinator, &format!("d{}-", names.next().unwrap())) > before
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
    // It has sent one request, and may idle for 5 s by itself.
    let mut idle = BufReader::new(TcpStream::connect(coordinator.platform).unwrap());
    idle.get_mut()
        .write_all(api_request("idle", "stock-search").as_bytes())
        .unwrap();
    assert_eq!(read_response(&mut idle).status, 200);
    let mut busy = BufReader::new(TcpStream::connect(coordinator.platform).unwrap());
    busy.get_mut()
        .write_all(api_request("busy", "stock-search").as_bytes())
        .unwrap();
    wait_for("the part", || {
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
        "the in-flight request is answered"
    );
    assert_eq!(
        idle.read(&mut [0]).unwrap(),
        0,
        "idle connections are closed"
    );
    // 0.6 s after the call; the platform wants it closed after 4 s.
    assert!(
        drained_at.elapsed() < Duration::from_secs(4),
        "the idle connection stays too long"
    );
    // A client that connects all the same is served, and its connection closed.
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
    wait_for("health", || health() == 200);
    let answer = coordinator.post_api("back", "stock-search", "2.0", &[1], "~1~");
    assert!(answer.status == 200 && !answer.closes_connection());
}

/// Sends requests until `stop`, each of which has to be answered. Keeps its connection for as long as the other side
/// does, as clients do. `sent` counts the requests of all clients.
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

/// Guards against a new process that can't start beside the old one, clients that are refused meanwhile, and a
/// suspension that only the old process knew of.
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
    let before = parts_at_first(&coordinator, "before");
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
            wait_for("clients", || sent.load(Ordering::Relaxed) > before + 40);
        }
        stop.store(true, Ordering::Relaxed);
    });
    assert_eq!(
        parts_at_first(&coordinator, "after"),
        before,
        "the suspension holds in processes that did not receive it"
    );
    // A suspension that another process lifts is lifted here.
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
    wait_for("a part", || {
        parts_at_first(&coordinator, &format!("d{}-", names.next().unwrap())) > before
    });
}

/// Guards against clients who are answered by a process that has no list yet, or by one that is shutting down.
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
    let sound = std::fs::read_to_string(&path).unwrap();
    let discovery = coordinator.discovery.address.to_string();
    std::fs::write(&path, sound.replace(&discovery, "127.0.0.1:1")).unwrap();
    let old = coordinator.replace(environment);
    assert_eq!(
        coordinator.admin_status("GET /v1/readyz"),
        503,
        "it has no list"
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
    std::fs::write(&path, sound).unwrap();
    let mut open = BufReader::new(TcpStream::connect(coordinator.platform).unwrap());
    open.get_mut()
        .write_all(
            api_request("open", "stock-search")
                .replace("~1~", "~2~")
                .as_bytes(),
        )
        .unwrap();
    wait_for("the part", || {
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
    // Its health may be asked of either process: once no answer closes its connection, the old process accepts nobody.
    let sent_away = |id: String| {
        let answer = coordinator.post_api(&id, "stock-search", "2.0", &[1], "~1~");
        assert_eq!(answer.status, 200);
        answer.closes_connection()
    };
    thread::sleep(Duration::from_millis(200));
    assert!(old.try_wait().unwrap().is_none(), "it has a request open");
    assert!(
        !(0..30).any(|number| sent_away(format!("b{number}"))),
        "the old process accepts clients"
    );
    assert_eq!(
        read_response(&mut open).status,
        200,
        "its in-flight request is answered"
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

/// Adds a class with terms of another, under a further name.
fn add(config: &mut Value, name: &str, like: usize) {
    let mut class = classes(config)[like].clone();
    class["name"] = json!(name);
    classes(config).push(class);
    for key in ["needByClass", "minShare", "partialEarns", "fetchParts"] {
        let row = config["settings"]["extra"][key].as_array_mut().unwrap();
        row.push(row[like].clone());
    }
}

fn remove(config: &mut Value, at: usize) {
    classes(config).remove(at);
    for key in ["needByClass", "minShare", "partialEarns", "fetchParts"] {
        config["settings"]["extra"][key]
            .as_array_mut()
            .unwrap()
            .remove(at);
    }
}

/// Guards against requests that change their class under way, new classes that take a restart, and attempts beyond
/// what is allowed now.
#[test]
fn a_reload_applies_live_and_in_flight_requests_keep_their_class() {
    // Marker 1 fails at every attempt; 2 is slow.
    let data_nodes = DataNodes::new(|marker, _, _| match marker {
        1 => Behavior::Busy,
        2 => Behavior::Delay(800),
        _ => Behavior::Serve,
    });
    let coordinator = TestCoordinator::with_environment(data_nodes, WITH_ADMIN_API);
    let seen = |text: &str| {
        coordinator
            .data_nodes
            .received
            .lock()
            .unwrap()
            .iter()
            .filter(|seen| seen.query == text)
            .count()
    };
    // Failing parts go to other data nodes than the rest: they become outliers for it.
    let status = |id: &str, class: &str, q: &str| {
        coordinator
            .post_api(id, class, "2.0", &[if q == "~1~" { 0 } else { 1 }], q)
            .status
    };
    assert_eq!(status("a", "stock-v2", "~3~"), 400);
    assert_ne!(status("b", "stock-search", "~1~"), 200);
    assert_eq!(seen("~1~"), 3);
    thread::scope(|scope| {
        let open = scope.spawn(|| status("open", "stock-search", "~2~"));
        wait_for("the part", || seen("~2~") > 0);
        coordinator.reconfigure(|config| {
            config["settings"]["caps"]["attemptsCap"] = json!(2);
            add(config, "stock-v2", 0);
            remove(config, 0);
        });
        coordinator.wait_for_log_line("class=\"stock-v2\"");
        assert_eq!(
            open.join().unwrap(),
            200,
            "what is under way keeps its class"
        );
    });
    assert_eq!(status("c", "stock-search", "~3~"), 400, "a removed class");
    assert_eq!(
        (
            status("d", "stock-v2", "~3~"),
            status("e", "pick-confirm", "~3~")
        ),
        (200, 200)
    );
    let before = seen("~1~");
    assert_ne!(status("f", "stock-v2", "~1~"), 200);
    assert_eq!(seen("~1~") - before, 2, "fewer attempts are allowed now");
    // The query front goes by the same settings.
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
        "its description tells so too"
    );
}

/// Guards against a file of which a part counts though the rest is broken.
#[test]
fn an_invalid_file_leaves_the_previous_settings_in_force() {
    let coordinator = TestCoordinator::with_environment(
        DataNodes::new(|_, _, _| Behavior::Serve),
        WITH_ADMIN_API,
    );
    let path = coordinator.folder.join("config.json");
    let sound = std::fs::read(&path).unwrap();
    let calls = || coordinator.discovery.calls.lock().unwrap().len();
    type Edit = fn(&mut Value);
    let broken: [(&str, Edit); 6] = [
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
    for (words, spoil) in broken {
        std::fs::write(&path, &sound).unwrap();
        coordinator.reconfigure(|config| {
            config["discovery"] = json!("127.0.0.1:1");
            if words != "classes is empty" {
                add(config, "stock-v2", 0);
            }
            spoil(config);
        });
        coordinator.wait_for_log_line(words);
    }
    for cut in [0, 1, sound.len() / 2, sound.len() - 1] {
        std::fs::write(&path, &sound[..cut]).unwrap();
        coordinator.signal("HUP");
        coordinator.wait_for_log_line("reload rejected");
    }
    let before = calls();
    coordinator.discovery.set_phase(0, "leaving");
    wait_for("the watch at the old address", || calls() > before);
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
