//! A mixed load on every combination of front and backend, with faults of all kinds at the data nodes. Each combination must
//! give one valid final answer per request and run no part twice that may run at most once.

mod common;

use common::*;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::thread;

const CLIENTS: u64 = 6;
const REQUESTS_EACH: u64 = 14;

/// A deterministic hash of a request number and a shard or purpose, so that each run has the same load.
fn hash(number: u64, shard: u64) -> u64 {
    let x = (number * 0x9e37_79b9 + shard * 0x85eb_ca6b + 7).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (x ^ (x >> 29)) >> 8
}

/// Plans a fault for the first attempt of one part in six, a short delay for some others, and otherwise serves the part.
/// Retries never meet a fault.
fn plan(marker: u64, shard: u32, earlier_attempts: usize) -> Behavior {
    let faults = [
        Behavior::Busy,
        Behavior::Fail,
        Behavior::CloseMidAnswer,
        Behavior::MidStreamError,
        Behavior::NoAnswer,
        Behavior::Delay(700),
    ];
    match hash(marker, u64::from(shard)) % 60 {
        n if n < 10 && earlier_attempts == 0 => faults[(n % 6) as usize],
        n if n < 30 => Behavior::Delay(10),
        _ => Behavior::Serve,
    }
}

struct ReceivedAnswer {
    class: &'static str,
    shards: Vec<u32>,
    response: Response,
}

fn send_request_by_number(
    coordinator: &TestCoordinator,
    front: WireFormat,
    number: u64,
) -> ReceivedAnswer {
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

/// Parses an answer's values by shard, and whether it is marked complete.
fn parse_answer(
    front: WireFormat,
    servers: WireFormat,
    body: &Value,
) -> (BTreeMap<u32, String>, bool) {
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
                    "two values for the same shard"
                );
            }
            body["complete"].as_bool().unwrap()
        }
        WireFormat::OpenSearch => {
            for hit in body["hits"]["hits"].as_array().unwrap() {
                let shard = hit["_id"].as_str().unwrap().parse().unwrap();
                let doc = hit["_source"]["doc"].as_str().unwrap().to_string();
                assert!(
                    found.insert(shard, doc).is_none(),
                    "two values for the same shard"
                );
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

/// Sends all requests from several concurrent clients and returns the answers by request number.
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
                    .map(|number| (number, send_request_by_number(&coordinator, front, number)))
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
                let (values, complete) = parse_answer(front, servers, &answer.response.json);
                for (shard, value) in &values {
                    assert_eq!(
                        *value,
                        common::part_value(*number, *shard),
                        "{at}: shard {shard} has a wrong value"
                    );
                    assert!(
                        answer.shards.contains(shard),
                        "{at}: shard {shard} was not requested"
                    );
                }
                assert_eq!(
                    complete,
                    values.len() == answer.shards.len(),
                    "{at}: an answer must be marked complete exactly if all parts are present"
                );
                let minimum_share = if unsafe_class { 1.0 } else { 0.8 };
                let share = values.len() as f64 / answer.shards.len() as f64;
                assert!(
                    share >= minimum_share - 1e-9,
                    "{at}: expected a share of at least {minimum_share}, found {share}"
                );
                complete_answers += usize::from(complete);
            }
            429 | 503 => {
                assert!(
                    answer.response.fields.contains_key("retry-after"),
                    "{at}: a rejection must have the header Retry-After"
                );
                assert!(
                    !(unsafe_class && ran),
                    "{at}: rejected though a part may have run"
                );
            }
            500 | 504 => {}
            other => panic!(
                "{at}: expected status 200, 429, 500, 503 or 504, found {other}: {}",
                answer.response.json
            ),
        }
    }
    assert_executions(front, servers, &answers, &data_nodes);
    assert_eq!(
        answers.len() as u64,
        CLIENTS * REQUESTS_EACH,
        "every request must get one final answer"
    );
    assert!(
        complete_answers > 20 && statuses.len() > 1,
        "expected more than 20 complete answers and several statuses, found {complete_answers} and {statuses:?}"
    );
}

/// Asserts that data nodes ran only requested parts, and no part twice that may run at most once.
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
            "request {number}: shard {shard} ran but was not requested"
        );
        if answer.class == "pick-confirm" {
            assert_eq!(
                *count, 1,
                "{front:?} over {servers:?}: expected part {number}.{shard} to run once, found {count} times"
            );
        }
    }
    for seen in data_nodes.received.lock().unwrap().iter() {
        assert_eq!(
            seen.server as u32 % CELLS,
            seen.shard % CELLS,
            "a part was sent to a data node that does not hold its shard: {seen:?}"
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
