//! A replayed mixed load over every pair of front and backend, with faults of all kinds among the servers: no
//! rule may break on any of them.

mod common;

use common::*;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::thread;

const CLIENTS: u64 = 6;
const REQUESTS_EACH: u64 = 14;

/// A fixed shuffle of small numbers.
fn mixed(number: u64, shard: u64) -> u64 {
    let x = (number * 0x9e37_79b9 + shard * 0x85eb_ca6b + 7).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (x ^ (x >> 29)) >> 8
}

/// Most parts are served; one in six meets a fault, of each kind by turns. Further attempts are served.
fn plan(marker: u64, shard: u32, before: usize) -> Act {
    let faults = [
        Act::Busy,
        Act::Fail,
        Act::Cut,
        Act::MidStreamError,
        Act::Silent,
        Act::Late(700),
    ];
    match mixed(marker, u64::from(shard)) % 60 {
        n if n < 10 && before == 0 => faults[(n % 6) as usize],
        n if n < 30 => Act::Late(10),
        _ => Act::Serve,
    }
}

struct Told {
    class: &'static str,
    shards: Vec<u32>,
    response: Response,
}

fn ask(rig: &Rig, front: Wire, number: u64) -> Told {
    let search = mixed(number, 99).is_multiple_of(2);
    let class = if search {
        "stock-search"
    } else {
        "pick-confirm"
    };
    let first = (mixed(number, 98) % 4) as u32;
    let shards: Vec<u32> =
        (first..first + if search { 5 } else { 1 + (number % 2) as u32 }).collect();
    let text = format!("needle ~{number}~");
    let response = match front {
        Wire::Platform => rig.api(&format!("r{number}"), class, "2.0", &shards, &text),
        Wire::OpenSearch => {
            let list: Vec<String> = shards.iter().map(u32::to_string).collect();
            let target = format!(
                "/{class}/_search?preference=_shards:{}&timeout=2s",
                list.join(",")
            );
            rig.search(
                &target,
                json!({"query": {"match": {"text": text}}, "size": 100}),
            )
        }
    };
    Told {
        class,
        shards,
        response,
    }
}

/// The values in an answer by shard, and whether it is marked whole.
fn values(front: Wire, servers: Wire, body: &Value) -> (BTreeMap<u32, String>, bool) {
    let mut found = BTreeMap::new();
    let whole = match front {
        Wire::Platform => {
            for hit in body["hits"].as_array().unwrap() {
                let doc = hit["doc"].as_str().unwrap();
                let doc = match servers {
                    Wire::Platform => doc.to_string(),
                    Wire::OpenSearch => {
                        let hits: Value = serde_json::from_str(doc).unwrap();
                        hits["hits"][0]["_source"]["doc"]
                            .as_str()
                            .unwrap()
                            .to_string()
                    }
                };
                assert!(
                    found
                        .insert(hit["shard"].as_u64().unwrap() as u32, doc)
                        .is_none(),
                    "a part twice"
                );
            }
            body["complete"].as_bool().unwrap()
        }
        Wire::OpenSearch => {
            for hit in body["hits"]["hits"].as_array().unwrap() {
                let shard = hit["_id"].as_str().unwrap().parse().unwrap();
                let doc = hit["_source"]["doc"].as_str().unwrap().to_string();
                assert!(found.insert(shard, doc).is_none(), "a part twice");
            }
            assert_eq!(
                body["_shards"]["successful"].as_u64().unwrap() as usize,
                found.len()
            );
            let failures = body["_shards"]["failures"].as_array().map_or(0, Vec::len);
            assert_eq!(
                body["_shards"]["failed"].as_u64().unwrap() as usize,
                failures
            );
            !body["timed_out"].as_bool().unwrap()
        }
    };
    (found, whole)
}

fn replay(front: Wire, servers: Wire) {
    let stage = Stage::new(plan);
    let rig = Arc::new(Rig::start(servers, stage.clone(), 1000));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let rig = rig.clone();
            thread::spawn(move || {
                let numbers = (0..REQUESTS_EACH).map(|n| 1 + client * REQUESTS_EACH + n);
                numbers
                    .map(|number| (number, ask(&rig, front, number)))
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    let told: BTreeMap<u64, Told> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    let runs = stage.runs();
    let (mut whole_answers, mut statuses) = (0, BTreeSet::new());
    for (number, told) in &told {
        let at = format!(
            "{front:?} over {servers:?}, request {number} ({})",
            told.class
        );
        let status = told.response.status;
        statuses.insert(status);
        let unsafe_class = told.class == "pick-confirm";
        let ran = told
            .shards
            .iter()
            .any(|&shard| runs.contains_key(&(*number, shard)));
        match status {
            200 => {
                let (values, whole) = values(front, servers, &told.response.json);
                for (shard, value) in &values {
                    assert_eq!(
                        *value,
                        common::value(*number, *shard),
                        "{at}: a value changed on its way"
                    );
                    assert!(
                        told.shards.contains(shard),
                        "{at}: a part that nobody asked for"
                    );
                }
                assert_eq!(
                    whole,
                    values.len() == told.shards.len(),
                    "{at}: whole only if whole"
                );
                let floor = if unsafe_class { 1.0 } else { 0.8 };
                let share = values.len() as f64 / told.shards.len() as f64;
                assert!(share >= floor - 1e-9, "{at}: {share} is under the floor");
                whole_answers += usize::from(whole);
            }
            429 | 503 => {
                assert!(
                    told.response.fields.contains_key("retry-after"),
                    "{at}: no word on when to return"
                );
                assert!(
                    !(unsafe_class && ran),
                    "{at}: refused though a part may have run"
                );
            }
            500 | 504 => {}
            other => panic!("{at}: {other} is no final answer: {}", told.response.json),
        }
    }
    for ((number, shard), count) in &runs {
        let told = &told[number];
        assert!(
            told.shards.contains(shard),
            "request {number}: shard {shard} was never asked for"
        );
        if told.class == "pick-confirm" {
            assert_eq!(
                *count, 1,
                "{front:?} over {servers:?}: part {number}.{shard} ran {count} times"
            );
        }
    }
    for seen in stage.seen.lock().unwrap().iter() {
        assert_eq!(
            seen.server as u32 % CELLS,
            seen.shard % CELLS,
            "a server that does not hold the shard"
        );
    }
    assert_eq!(
        told.len() as u64,
        CLIENTS * REQUESTS_EACH,
        "one final answer each"
    );
    assert!(
        whole_answers > 20 && statuses.len() > 1,
        "{whole_answers} whole, statuses {statuses:?}"
    );
}

#[test]
fn platform_clients_reach_frame_servers() {
    replay(Wire::Platform, Wire::Platform);
}

#[test]
fn platform_clients_reach_search_servers() {
    replay(Wire::Platform, Wire::OpenSearch);
}

#[test]
fn query_clients_reach_frame_servers() {
    replay(Wire::OpenSearch, Wire::Platform);
}

#[test]
fn query_clients_reach_search_servers() {
    replay(Wire::OpenSearch, Wire::OpenSearch);
}
