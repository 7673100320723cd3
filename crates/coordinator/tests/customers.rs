//! Settings that belong to another customer: what a stop goes by, and signals at any moment of a process's life.

mod common;

use common::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Sets all classes' aims and deadlines.
fn deadlines(config: &mut Value, aim: f64, deadline: f64) {
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        (class["aimS"], class["deadlineS"]) = (json!(aim), json!(deadline));
    }
}

fn ended_within(rig: &mut Rig, since: Instant, most: f64) {
    wait_for("the end", || rig.child.try_wait().unwrap().is_some());
    let took = since.elapsed().as_secs_f64();
    assert!(rig.child.wait().unwrap().success());
    assert!(
        took < most,
        "it ended after {took:.2} s, and the kill may come after {most:.2} s"
    );
}

/// Guards against a stop whose phases are fitted to deadlines of seconds: with short ones the kill comes 0.7 s and one
/// deadline after the order, and whatever is unanswered then is lost.
#[test]
fn with_short_deadlines_a_stop_is_over_before_the_kill() {
    let stage = Stage::new(|_, _, _| Act::Late(20));
    let members = members(Wire::Platform, &stage);
    let mut rig = Rig::tuned(stage, members, |config| deadlines(config, 0.2, 0.4));
    let (address, ended) = (rig.platform, AtomicBool::new(false));
    let (counts, took) = thread::scope(|scope| {
        let client = |number: usize| {
            let ended = &ended;
            move || {
                let (mut answered, mut half, mut asked) = (0, 0, 0);
                // Each comes again at once, on the connection that it has or on a new one.
                while !ended.load(Ordering::Relaxed) {
                    let Ok(stream) = TcpStream::connect(address) else {
                        break;
                    };
                    stream
                        .set_read_timeout(Some(Duration::from_secs(5)))
                        .unwrap();
                    let mut stream = BufReader::new(stream);
                    loop {
                        asked += 1;
                        let text =
                            one_part(&format!("c{number}-{asked}"), "pick-confirm", 0.4, "~1~");
                        if stream.get_mut().write_all(text.as_bytes()).is_err() {
                            break;
                        }
                        let told = response(&mut stream);
                        match told.status {
                            0 => half += 1,
                            _ => answered += 1,
                        }
                        if told.status == 0
                            || told
                                .fields
                                .get("connection")
                                .is_some_and(|word| word == "close")
                        {
                            break;
                        }
                        thread::sleep(Duration::from_millis(3));
                    }
                }
                (answered, half)
            }
        };
        let clients: Vec<_> = (0..8).map(|number| scope.spawn(client(number))).collect();
        thread::sleep(Duration::from_millis(200));
        let since = Instant::now();
        rig.signal("TERM");
        wait_for("the end", || rig.child.try_wait().unwrap().is_some());
        let took = since.elapsed().as_secs_f64();
        ended.store(true, Ordering::Relaxed);
        let counts: Vec<(usize, usize)> = clients
            .into_iter()
            .map(|client| client.join().unwrap())
            .collect();
        (counts, took)
    });
    assert!(rig.child.wait().unwrap().success());
    assert!(
        took < 1.1,
        "it ended after {took:.2} s, and the kill may come after 1.10 s"
    );
    assert!(
        counts
            .iter()
            .all(|&(answered, cut)| answered > 10 && cut <= 1),
        "{counts:?}"
    );
}

/// Guards against requests that were open before the order to stop and have longer than the kill leaves: a deadline
/// counts for 3 s at the most there.
#[test]
fn with_long_deadlines_what_is_open_is_answered_before_the_kill() {
    let stage = Stage::new(|_, _, _| Act::Silent);
    let members = members(Wire::Platform, &stage);
    let mut rig = Rig::tuned(stage, members, |config| deadlines(config, 5.0, 12.0));
    let mut clients: Vec<_> = ["stock-search", "pick-confirm"]
        .iter()
        .map(|class| {
            let mut stream = TcpStream::connect(rig.platform).unwrap();
            stream
                .set_read_timeout(Some(Duration::from_secs(20)))
                .unwrap();
            stream
                .write_all(one_part(class, class, 12.0, "~1~").as_bytes())
                .unwrap();
            BufReader::new(stream)
        })
        .collect();
    wait_for("the parts", || rig.stage.seen.lock().unwrap().len() >= 2);
    let since = Instant::now();
    rig.signal("TERM");
    let told: Vec<u16> = clients
        .iter_mut()
        .map(|client| response(client).status)
        .collect();
    assert!(
        since.elapsed() < Duration::from_millis(3_700),
        "{told:?} after {:?}",
        since.elapsed()
    );
    assert!(
        [429, 503].contains(&told[0]) && [500, 504].contains(&told[1]),
        "what may have run isn't refused: {told:?}"
    );
    ended_within(&mut rig, since, 3.7);
}

/// Guards against a signal's default action, which ends the program, for as long as it starts; and against one order to
/// stop too many.
#[test]
fn a_signal_at_any_moment_of_a_start_is_heeded() {
    let folder = std::env::temp_dir().join(format!("cairnroad-signals-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let pipe = folder.join("config.json");
    std::fs::write(folder.join("own.toml"), "").unwrap();
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let settings = json!({
        "classes": [{"name": "c", "aimS": 1.0, "deadlineS": 2.0, "effect": "idempotent", "value": 1.0, "lateShare": 0.0}],
        "groupSize": 1, "registryMode": "pushed", "tickS": 0.005,
        "extra": {"positions": 1, "span": 1, "shards": 1, "needByClass": [1.0], "minShare": [1.0],
            "partialEarns": [1.0], "fetchParts": [0]},
        "caps": {"attemptsCap": 3, "cancel": true, "secondCopies": true, "retryAfter": false},
        "safety": {"coldFrom": 0.2, "warmUpS": 9.0, "stopSendingWithinS": 0.5, "fallMultiple": 2.0, "fallS": 1.0}});
    let config = json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "ff", "settings": settings,
        "discovery": silent.local_addr().unwrap().to_string()})
    .to_string();
    for orders in [1, 3] {
        let _ = std::fs::remove_file(&pipe);
        assert!(Command::new("mkfifo")
            .arg(&pipe)
            .status()
            .unwrap()
            .success());
        let mut child = Command::new(env!("CARGO_BIN_EXE_cairnroad"))
            .env("NODE_CONFIG", &pipe)
            .env("CAIRNROAD_FILE", folder.join("own.toml"))
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        // Opening the pipe waits until the program reads its configuration there, and so it waits for what we write. What
        // it reads again at SIGHUP is a file.
        let mut writer = std::fs::OpenOptions::new().write(true).open(&pipe).unwrap();
        std::fs::write(folder.join("again.json"), &config).unwrap();
        std::fs::rename(folder.join("again.json"), &pipe).unwrap();
        signal(&child, "HUP");
        for _ in 0..orders {
            signal(&child, "TERM");
        }
        thread::sleep(Duration::from_millis(50));
        writer.write_all(config.as_bytes()).unwrap();
        drop(writer);
        let since = Instant::now();
        wait_for("the end", || child.try_wait().unwrap().is_some());
        assert!(child.wait().unwrap().success(), "{orders} orders");
        assert!(since.elapsed() < Duration::from_secs(10));
    }
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against an order to stop that comes before there is any server, and against a change of settings in a stop.
#[test]
fn a_stop_goes_on_through_signals() {
    let stage = Stage::new(|_, _, _| Act::Late(600));
    let members = members(Wire::Platform, &stage);
    let mut rig = Rig::tuned(stage, members, |_| ());
    let mut client = BufReader::new(TcpStream::connect(rig.platform).unwrap());
    client
        .get_mut()
        .write_all(one_part("open", "pick-confirm", 2.5, "~1~").as_bytes())
        .unwrap();
    wait_for("the part", || !rig.stage.seen.lock().unwrap().is_empty());
    let since = Instant::now();
    rig.signal("TERM");
    for _ in 0..5 {
        rig.reconfigure(|config| deadlines(config, 1.0, 2.0));
        rig.signal("TERM");
        thread::sleep(Duration::from_millis(60));
    }
    assert_eq!(response(&mut client).status, 200);
    ended_within(&mut rig, since, 3.2);
}

/// Guards against anything that takes this customer's settings for granted: a list of classes of another length, other
/// names and effects, deadlines under half a second and over three, windows, ticks.
#[test]
fn a_file_that_is_merely_unlike_this_customers_works() {
    let class = |name: &str, aim: f64, deadline: f64, effect: &str| {
        json!({"name": name, "aimS": aim, "deadlineS": deadline, "effect": effect, "value": 2.0, "lateShare": 0.2,
            "dedupWindowS": 0.5})
    };
    let many = [
        class("a", 0.1, 0.3, "idempotent"),
        class("b", 0.15, 0.45, "deduplicated"),
        class("c", 0.2, 0.4, "at_most_once"),
        class("d", 0.1, 0.2, "idempotent"),
        class("e", 0.1, 0.35, "at_most_once"),
    ];
    for (classes, tick) in [
        (&many[..], 0.01),
        (&many[2..3], 0.002),
        (&[class("f", 4.0, 12.0, "deduplicated")], 0.005),
    ] {
        let stage = Stage::new(|_, _, _| Act::Serve);
        let members = members(Wire::Platform, &stage);
        let mut rig = Rig::tuned(stage, members, |config| {
            let settings = &mut config["settings"];
            (settings["classes"], settings["tickS"]) = (json!(classes), json!(tick));
            for key in ["needByClass", "minShare", "partialEarns"] {
                settings["extra"][key] = json!(vec![1.0; classes.len()]);
            }
            settings["extra"]["fetchParts"] = json!(vec![0; classes.len()]);
        });
        for class in classes {
            let name = class["name"].as_str().unwrap();
            let told = rig.api(
                name,
                name,
                &class["deadlineS"].to_string(),
                &[1, 2, 3],
                "~1~",
            );
            assert_eq!(told.status, 200, "{name}: {}", told.json);
        }
        let since = Instant::now();
        rig.signal("TERM");
        ended_within(&mut rig, since, 1.5);
    }
}

/// Guards against advice that sends a client away for longer than it would wait.
#[test]
fn a_client_is_not_told_to_come_back_after_its_time() {
    let stage = Stage::new(|_, _, _| Act::Late(10));
    let members = members(Wire::Platform, &stage);
    let rig = Rig::tuned(stage, members, |config| deadlines(config, 0.2, 0.4));
    let mut client = BufReader::new(TcpStream::connect(rig.platform).unwrap());
    let all: String = (0..400)
        .map(|number| one_part(&format!("p{number}"), "stock-search", 0.4, "~1~"))
        .collect();
    client.get_mut().write_all(all.as_bytes()).unwrap();
    let refused = std::iter::repeat_with(|| response(&mut client))
        .find(|told| told.status != 200)
        .unwrap();
    assert_eq!(refused.status, 429);
    assert!(
        refused.fields["retry-after"].parse::<f64>().unwrap() <= 0.2,
        "{:?}",
        refused.fields
    );
}

/// Guards against a query of many parts that is never whole: its weights are rounded by whoever wrote them, and add up to
/// less than 1 the more parts there are.
#[test]
fn rounded_weights_of_many_parts_make_a_whole() {
    for parts in [7, 94, 150] {
        let stage = Stage::new(|_, _, _| Act::Serve);
        let members = members(Wire::Platform, &stage);
        let rig = Rig::tuned(stage, members, |config| {
            config["settings"]["extra"]["shards"] = json!(parts)
        });
        // As many digits as the platform's clients write, and the last of them cut off.
        let weight = (1e6 / f64::from(parts)).floor() / 1e6;
        let shards: Vec<Value> = (0..parts)
            .map(|shard| json!({"shard": shard, "weight": weight}))
            .collect();
        let body = json!({"shards": shards, "q": "~1~"}).to_string();
        for class in ["stock-search", "pick-confirm"] {
            let id = format!("{class}-{parts}");
            let fields = [
                ("X-Request-Id", id.as_str()),
                ("X-Class", class),
                ("X-Deadline", "2.0"),
            ];
            let told = rig.call(rig.platform, "POST /api", &fields, &body);
            assert_eq!(
                (told.status, &told.json["complete"]),
                (200, &json!(true)),
                "{id}: {}",
                told.json
            );
            assert_eq!(
                told.json["hits"].as_array().unwrap().len(),
                parts as usize,
                "{id}"
            );
        }
    }
}
