//! A mixed load over every pair of front and backend, with faults of all kinds among the data nodes: no rule may break
//! on any of them.

mod common;

use common::*;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::thread;

const CLIENTS: u64 = 6;
const REQUESTS_EACH: u64 = 14;

/// A fixed hash of small numbers.
fn hash(number: u64, shard: u64) -> u64 {
    let x = (number * 0x9e37_79b9 + shard * 0x85eb_ca6b + 7).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (x ^ (x >> 29)) >> 8
}

/// Most parts are served; one in six meets a fault, of each kind in turn. Retries are served.
fn plan(marker: u64, shard: u32, before: usize) -> Behavior {
    let faults = [
        Behavior::Busy,
        Behavior::Fail,
        Behavior::CloseMidAnswer,
        Behavior::MidStreamError,
        Behavior::NoAnswer,
        Behavior::Delay(700),
    ];
    match hash(marker, u64::from(shard)) % 60 {
        n if n < 10 && before == 0 => faults[(n % 6) as usize],
        n if n < 30 => Behavior::Delay(10),
        _ => Behavior::Serve,
    }
}

struct ReceivedAnswer {
    class: &'static str,
    shards: Vec<u32>,
    response: Response,
}

fn ask(coordinator: &TestCoordinator, front: WireFormat, number: u64) -> ReceivedAnswer {
    let search = hash(number, 99).is_multiple_of(2);
    let class = if search {
        "stock-search"
    } else {
        "pick-confirm"
    };
    let first = (hash(number, 98) % 4) as u32;
    let shards: Vec<u32> =
        (first..first + if search { 5 } else { 1 + (number % 2) as u32 }).collect();
    let text = format!("needle ~{number}~");
    let response = match front {
        WireFormat::Platform => {
            coordinator.post_api(&format!("r{number}"), class, "2.0", &shards, &text)
        }
        WireFormat::OpenSearch => {
            let list: Vec<String> = shards.iter().map(u32::to_string).collect();
            let target = format!(
                "/{class}/_search?preference=_shards:{}&timeout=2s",
                list.join(",")
            );
            coordinator.search(
                &target,
                json!({"query": {"match": {"text": text}}, "size": 100}),
            )
        }
    };
    ReceivedAnswer {
        class,
        shards,
        response,
    }
}

/// The values in an answer by shard, and whether it is marked complete.
fn values(front: WireFormat, servers: WireFormat, body: &Value) -> (BTreeMap<u32, String>, bool) {
    let mut found = BTreeMap::new();
    let complete = match front {
        WireFormat::Platform => {
            for hit in body["hits"].as_array().unwrap() {
                let doc = hit["doc"].as_str().unwrap();
                let doc = match servers {
                    WireFormat::Platform => doc.to_string(),
                    WireFormat::OpenSearch => {
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
        WireFormat::OpenSearch => {
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
    (found, complete)
}

/// Sends all requests from several clients at once; their answers by number.
fn send_all(
    coordinator: &Arc<TestCoordinator>,
    front: WireFormat,
) -> BTreeMap<u64, ReceivedAnswer> {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let coordinator = coordinator.clone();
            thread::spawn(move || {
                let numbers = (0..REQUESTS_EACH).map(|n| 1 + client * REQUESTS_EACH + n);
                numbers
                    .map(|number| (number, ask(&coordinator, front, number)))
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect()
}

fn run_mixed_load(front: WireFormat, servers: WireFormat) {
    let data_nodes = DataNodes::new(plan);
    let coordinator = Arc::new(TestCoordinator::start(servers, data_nodes.clone(), 1000));
    let answers = send_all(&coordinator, front);
    let runs = data_nodes.execution_counts();
    let mut complete_answers = 0;
    let mut statuses = BTreeSet::new();
    for (number, answer) in &answers {
        let at = format!(
            "{front:?} over {servers:?}, request {number} ({})",
            answer.class
        );
        let status = answer.response.status;
        statuses.insert(status);
        let unsafe_class = answer.class == "pick-confirm";
        let ran = answer
            .shards
            .iter()
            .any(|&shard| runs.contains_key(&(*number, shard)));
        match status {
            200 => {
                let (values, complete) = values(front, servers, &answer.response.json);
                for (shard, value) in &values {
                    assert_eq!(
                        *value,
                        common::part_value(*number, *shard),
                        "{at}: a value changed on its way"
                    );
                    assert!(answer.shards.contains(shard), "{at}: an unsolicited part");
                }
                assert_eq!(
                    complete,
                    values.len() == answer.shards.len(),
                    "{at}: marked complete only if complete"
                );
                let floor = if unsafe_class { 1.0 } else { 0.8 };
                let share = values.len() as f64 / answer.shards.len() as f64;
                assert!(share >= floor - 1e-9, "{at}: {share} is under the floor");
                complete_answers += usize::from(complete);
            }
            429 | 503 => {
                assert!(
                    answer.response.fields.contains_key("retry-after"),
                    "{at}: no Retry-After"
                );
                assert!(
                    !(unsafe_class && ran),
                    "{at}: rejected though a part may have run"
                );
            }
            500 | 504 => {}
            other => panic!("{at}: {other} is no final answer: {}", answer.response.json),
        }
    }
    assert_executions(front, servers, &answers, &data_nodes);
    assert_eq!(
        answers.len() as u64,
        CLIENTS * REQUESTS_EACH,
        "one final answer each"
    );
    assert!(
        complete_answers > 20 && statuses.len() > 1,
        "{complete_answers} complete, statuses {statuses:?}"
    );
}

/// Checks that data nodes ran only what was asked for, and no unsafe part twice.
fn assert_executions(
    front: WireFormat,
    servers: WireFormat,
    answers: &BTreeMap<u64, ReceivedAnswer>,
    data_nodes: &DataNodes,
) {
    for ((number, shard), count) in &data_nodes.execution_counts() {
        let answer = &answers[number];
        assert!(
            answer.shards.contains(shard),
            "request {number}: shard {shard} was never asked for"
        );
        if answer.class == "pick-confirm" {
            assert_eq!(
                *count, 1,
                "{front:?} over {servers:?}: part {number}.{shard} ran {count} times"
            );
        }
    }
    for seen in data_nodes.received.lock().unwrap().iter() {
        assert_eq!(
            seen.server as u32 % CELLS,
            seen.shard % CELLS,
            "a data node that does not hold the shard"
        );
    }
}

#[test]
fn platform_clients_reach_frame_data_nodes() {
    run_mixed_load(WireFormat::Platform, WireFormat::Platform);
}

#[test]
fn platform_clients_reach_search_data_nodes() {
    run_mixed_load(WireFormat::Platform, WireFormat::OpenSearch);
}

#[test]
fn query_clients_reach_frame_data_nodes() {
    run_mixed_load(WireFormat::OpenSearch, WireFormat::Platform);
}

#[test]
fn query_clients_reach_search_data_nodes() {
    run_mixed_load(WireFormat::OpenSearch, WireFormat::OpenSearch);
}
