//! The days of operation: operators' calls, maintenance of servers, drains, settings that change, and a process that
//! is replaced under load.

mod common;

use common::{call, response, signal, Act, Given, Rig, Stage};
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const DOOR: Given = Given {
    door: true,
    socket: None,
    descriptors: None,
};

fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "waited in vain for {what}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

fn text(id: &str, class: &str) -> String {
    let body = json!({"shards": [{"shard": 1, "weight": 1.0}], "q": "~1~"}).to_string();
    format!(
        "POST /api HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Deadline: 2.0\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Asks eight times for shards that servers 0 and 2 hold; how many parts have reached server 0 in all.
fn parts_at_first(rig: &Rig, names: &str) -> usize {
    for number in 0..8 {
        let id = format!("{names}{number}");
        assert_eq!(
            rig.api(&id, "pick-confirm", "2.0", &[0, 2], "~1~").status,
            200
        );
    }
    rig.stage
        .seen
        .lock()
        .unwrap()
        .iter()
        .filter(|seen| seen.server == 0)
        .count()
}

#[test]
fn calls_are_told_from_what_is_none() {
    let rig = Rig::operated(Stage::new(|_, _, _| Act::Serve), DOOR);
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
        assert_eq!(rig.operate(line), status, "{line}");
    }
    // Clients can't call, and operators can't ask.
    assert_eq!(
        rig.call(rig.platform, "PUT /v1/coordinator/drain", &[], "")
            .status,
        404
    );
    assert_eq!(
        rig.call(rig.admin.unwrap(), "GET /_health", &[], "").status,
        404
    );
}

/// Guards against callers who say nothing, or half of something, and keep others from the door.
#[test]
fn bad_callers_have_their_end_and_keep_nobody_out() {
    let rig = Rig::operated(Stage::new(|_, _, _| Act::Serve), DOOR);
    let admin = rig.admin.unwrap();
    let caller = |text: &str| {
        let mut stream = TcpStream::connect(admin).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        stream
    };
    let descriptors = || {
        std::fs::read_dir(format!("/proc/{}/fd", rig.child.id()))
            .unwrap()
            .count()
    };
    let before = descriptors();
    let mut held: Vec<_> = (0..60)
        .map(|n| caller(if n % 2 == 0 { "" } else { "PUT /v1/coord" }))
        .collect();
    assert_eq!(rig.operate("GET /v1/readyz"), 200);
    assert!(
        descriptors() <= before + 24,
        "callers take up {} descriptors",
        descriptors() - before
    );
    let last = held.split_off(58);
    for stream in last {
        assert_eq!(response(&mut BufReader::new(stream)).status, 408);
    }
    // The others made room before their time or were told so too.
    for mut stream in held {
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
        assert!(rest.is_empty() || rest.starts_with(b"HTTP/1.1 408"));
    }
    for odd in [
        "nonsense\r\n\r\n",
        "GET /v1/readyz HTTP/1.1\r\nContent-Length: x\r\n\r\n",
    ] {
        assert_eq!(response(&mut BufReader::new(caller(odd))).status, 400);
    }
}

/// Guards against news of the list that lifts a ban, and a ban that outlives its call back.
#[test]
fn a_suspended_server_gets_nothing_whatever_the_list_says_until_it_is_called_back() {
    let rig = Rig::operated(Stage::new(|_, _, _| Act::Serve), DOOR);
    assert!(parts_at_first(&rig, "a") > 0, "both replicas take turns");
    assert_eq!(rig.operate("PUT /v1/data-nodes/s-0/suspend"), 200);
    let told = parts_at_first(&rig, "b");
    for phase in ["leaving", "active"] {
        let watches = || rig.discovery.calls.lock().unwrap().len();
        let before = watches();
        rig.discovery.set_phase(0, phase);
        wait_for("the next watch", || watches() > before);
    }
    thread::sleep(Duration::from_millis(50));
    assert_eq!(parts_at_first(&rig, "c"), told);
    assert_eq!(rig.operate("PUT /v1/data-nodes/s-0/resume"), 200);
    let mut names = 0..;
    // It is cold now, and gets little at first.
    wait_for("a part", || {
        parts_at_first(&rig, &format!("d{}-", names.next().unwrap())) > told
    });
}

#[test]
fn a_drained_coordinator_sends_clients_away_and_comes_back() {
    let rig = Rig::operated(Stage::new(|_, _, _| Act::Late(300)), DOOR);
    let health = || rig.call(rig.platform, "GET /_health", &[], "").status;
    // One that has asked once, and may idle for 5 s by itself.
    let mut idle = BufReader::new(TcpStream::connect(rig.platform).unwrap());
    idle.get_mut()
        .write_all(text("idle", "stock-search").as_bytes())
        .unwrap();
    assert_eq!(response(&mut idle).status, 200);
    let mut busy = BufReader::new(TcpStream::connect(rig.platform).unwrap());
    busy.get_mut()
        .write_all(text("busy", "stock-search").as_bytes())
        .unwrap();
    wait_for("the part", || rig.stage.seen.lock().unwrap().len() == 2);
    let told_at = Instant::now();
    for _ in 0..2 {
        assert_eq!(rig.operate("PUT /v1/coordinator/drain"), 200);
    }
    assert_eq!((health(), rig.operate("GET /v1/readyz")), (503, 503));
    let told = response(&mut busy);
    assert_eq!(
        (told.status, told.fields["connection"].as_str()),
        (200, "close"),
        "what was open is answered"
    );
    assert_eq!(idle.read(&mut [0]).unwrap(), 0, "who idles is sent away");
    // 0.6 s after the call; the platform wants it gone after 4 s.
    assert!(
        told_at.elapsed() < Duration::from_secs(4),
        "who idles stays too long"
    );
    // Who comes all the same is served, and sent away.
    let mut late = BufReader::new(TcpStream::connect(rig.platform).unwrap());
    late.get_mut()
        .write_all(text("late", "stock-search").as_bytes())
        .unwrap();
    let told = response(&mut late);
    assert_eq!(
        (told.status, told.fields["connection"].as_str()),
        (200, "close")
    );
    assert_eq!(rig.operate("PUT /v1/coordinator/activate"), 200);
    wait_for("health", || health() == 200);
    let told = rig.api("back", "stock-search", "2.0", &[1], "~1~");
    assert!(
        told.status == 200
            && told
                .fields
                .get("connection")
                .is_none_or(|word| word != "close")
    );
}

/// Guards against a newcomer that can't start beside the old process, clients that meet a closed door meanwhile, and
/// a ban that the old process alone knew of.
#[test]
fn a_process_is_replaced_under_load_and_its_bans_hold() {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let given = Given {
        door: true,
        socket: Some(&socket),
        descriptors: None,
    };
    let mut rig = Rig::operated(Stage::new(|_, _, _| Act::Late(20)), given);
    let address = rig.platform;
    assert_eq!(rig.operate("PUT /v1/data-nodes/s-0/suspend"), 200);
    let told = parts_at_first(&rig, "before");
    let (stop, asked) = (AtomicBool::new(false), AtomicUsize::new(0));
    thread::scope(|scope| {
        for client in 0..4 {
            let (stop, asked) = (&stop, &asked);
            scope.spawn(move || {
                // Keeps its connection for as long as the other side does, as clients do.
                let mut kept: Option<BufReader<TcpStream>> = None;
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("c{client}-{}", asked.fetch_add(1, Ordering::Relaxed));
                    let mut stream = kept
                        .take()
                        .unwrap_or_else(|| BufReader::new(TcpStream::connect(address).unwrap()));
                    stream
                        .get_mut()
                        .write_all(text(&id, "pick-confirm").as_bytes())
                        .unwrap();
                    let told = response(&mut stream);
                    assert_eq!(told.status, 200, "{id}");
                    if told
                        .fields
                        .get("connection")
                        .is_none_or(|word| word != "close")
                    {
                        kept = Some(stream);
                    }
                }
            });
        }
        for _ in 0..3 {
            let before = asked.load(Ordering::Relaxed);
            let mut old = rig.replace(given);
            wait_for("the newcomer", || rig.operate("GET /v1/readyz") == 200);
            signal(&old, "TERM");
            wait_for("the old one's end", || {
                old.try_wait()
                    .unwrap()
                    .is_some_and(|status| status.success())
            });
            wait_for("clients", || asked.load(Ordering::Relaxed) > before + 40);
        }
        stop.store(true, Ordering::Relaxed);
    });
    assert_eq!(
        parts_at_first(&rig, "after"),
        told,
        "the ban holds in processes that were never told of it"
    );
    // A ban that another process lifts is lifted here.
    let old = rig.replace(given);
    wait_for("the newcomer", || rig.operate("GET /v1/readyz") == 200);
    assert_eq!(rig.operate("PUT /v1/data-nodes/s-0/resume"), 200);
    let mut newcomer = std::mem::replace(&mut rig.child, old);
    newcomer.kill().unwrap();
    newcomer.wait().unwrap();
    let mut names = 0..;
    wait_for("a part", || {
        parts_at_first(&rig, &format!("d{}-", names.next().unwrap())) > told
    });
}

/// Guards against clients who are answered by a process that has no list yet, or by one that is told to stop.
#[test]
fn of_two_processes_only_one_that_can_serve_takes_clients() {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let given = Given {
        door: true,
        socket: Some(&socket),
        descriptors: None,
    };
    let stage = Stage::new(|marker, _, _| {
        if marker == 2 {
            Act::Late(1500)
        } else {
            Act::Serve
        }
    });
    let mut rig = Rig::operated(stage, given);
    let path = rig.folder.join("config.json");
    let sound = std::fs::read_to_string(&path).unwrap();
    let agent = rig.discovery.address.to_string();
    std::fs::write(&path, sound.replace(&agent, "127.0.0.1:1")).unwrap();
    let old = rig.replace(given);
    assert_eq!(rig.operate("GET /v1/readyz"), 503, "it has no list");
    for number in 0..30 {
        assert_eq!(
            rig.api(&format!("a{number}"), "stock-search", "2.0", &[1], "~1~")
                .status,
            200
        );
    }
    let mut newcomer = std::mem::replace(&mut rig.child, old);
    newcomer.kill().unwrap();
    newcomer.wait().unwrap();
    std::fs::write(&path, sound).unwrap();
    let mut open = BufReader::new(TcpStream::connect(rig.platform).unwrap());
    open.get_mut()
        .write_all(
            text("open", "stock-search")
                .replace("~1~", "~2~")
                .as_bytes(),
        )
        .unwrap();
    wait_for("the part", || {
        rig.stage
            .seen
            .lock()
            .unwrap()
            .iter()
            .any(|seen| seen.text == "~2~")
    });
    let mut old = rig.replace(given);
    wait_for("the newcomer", || rig.operate("GET /v1/readyz") == 200);
    signal(&old, "TERM");
    // Its health may be asked of either process: once no answer ends its connection, the old one takes nobody.
    let sent_away = |id: String| {
        let told = rig.api(&id, "stock-search", "2.0", &[1], "~1~");
        assert_eq!(told.status, 200);
        told.fields
            .get("connection")
            .is_some_and(|word| word == "close")
    };
    thread::sleep(Duration::from_millis(200));
    assert!(old.try_wait().unwrap().is_none(), "it has a request open");
    assert!(
        !(0..30).any(|number| sent_away(format!("b{number}"))),
        "the old one takes clients"
    );
    assert_eq!(
        response(&mut open).status,
        200,
        "what it had taken is answered"
    );
    wait_for("the old one's end", || {
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
fn settings_change_live_and_requests_under_way_keep_their_class() {
    // Marker 1 fails at every attempt; 2 is slow.
    let stage = Stage::new(|marker, _, _| match marker {
        1 => Act::Busy,
        2 => Act::Late(800),
        _ => Act::Serve,
    });
    let rig = Rig::operated(stage, DOOR);
    let seen = |text: &str| {
        rig.stage
            .seen
            .lock()
            .unwrap()
            .iter()
            .filter(|seen| seen.text == text)
            .count()
    };
    // What fails is asked of other servers than the rest: they are doubted for it.
    let status = |id: &str, class: &str, q: &str| {
        rig.api(id, class, "2.0", &[if q == "~1~" { 0 } else { 1 }], q)
            .status
    };
    assert_eq!(status("a", "stock-v2", "~3~"), 400);
    assert_ne!(status("b", "stock-search", "~1~"), 200);
    assert_eq!(seen("~1~"), 3);
    thread::scope(|scope| {
        let open = scope.spawn(|| status("open", "stock-search", "~2~"));
        wait_for("the part", || seen("~2~") > 0);
        rig.reconfigure(|config| {
            config["settings"]["caps"]["attemptsCap"] = json!(2);
            add(config, "stock-v2", 0);
            remove(config, 0);
        });
        rig.wait_for_line("class=\"stock-v2\"");
        assert_eq!(
            open.join().unwrap(),
            200,
            "what is under way keeps its class"
        );
    });
    assert_eq!(
        status("c", "stock-search", "~3~"),
        400,
        "a class that is gone"
    );
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
        rig.search(
            &format!("/{index}/_search"),
            json!({"query": {"match_all": {}}}),
        )
        .status
    };
    assert_eq!((search("stock-search"), search("stock-v2")), (404, 200));
    let page = call(rig.opensearch, "GET /openapi.json", &[], "")
        .json
        .to_string();
    assert!(
        page.contains("stock-v2") && !page.contains("stock-search"),
        "its description tells so too"
    );
}

/// Guards against a file of which a part counts though the rest is broken.
#[test]
fn a_broken_file_leaves_the_old_settings_entire() {
    let rig = Rig::operated(Stage::new(|_, _, _| Act::Serve), DOOR);
    let path = rig.folder.join("config.json");
    let sound = std::fs::read(&path).unwrap();
    let calls = || rig.discovery.calls.lock().unwrap().len();
    type Spoil = fn(&mut Value);
    let broken: [(&str, Spoil); 6] = [
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
        ("is there twice", |config| add(config, "pick-confirm", 0)),
    ];
    for (words, spoil) in broken {
        std::fs::write(&path, &sound).unwrap();
        rig.reconfigure(|config| {
            config["discovery"] = json!("127.0.0.1:1");
            if words != "classes is empty" {
                add(config, "stock-v2", 0);
            }
            spoil(config);
        });
        rig.wait_for_line(words);
    }
    for cut in [0, 1, sound.len() / 2, sound.len() - 1] {
        std::fs::write(&path, &sound[..cut]).unwrap();
        rig.signal("HUP");
        rig.wait_for_line("reload rejected");
    }
    let before = calls();
    rig.discovery.set_phase(0, "leaving");
    wait_for("the watch at the old address", || calls() > before);
    assert_eq!(rig.api("a", "stock-search", "2.0", &[1], "~1~").status, 200);
    assert_eq!(rig.api("b", "stock-v2", "2.0", &[1], "~1~").status, 400);
}
