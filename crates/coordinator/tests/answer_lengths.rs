//! Answers of data nodes whose declared length is too short: the rest of the value follows behind the answer, so that the
//! value within the declared length is cut. Answers of the query API that belong to another search.

mod common;

use common::*;
use serde_json::{json, Value};

fn short_answer(missing: usize, split: Split) -> Behavior {
    Behavior::Malformed(Malformation::ShortLength(ShortLength { missing, split }))
}

/// Asserts that an answer holds the whole values of these shards and nothing else.
fn assert_whole_values(answer: &Value, marker: u64, shards: &[u32], what: &str) {
    let hits = answer["hits"].as_array().unwrap();
    assert_eq!(hits.len(), shards.len(), "{what}: {answer}");
    for hit in hits {
        let shard = hit["shard"].as_u64().unwrap() as u32;
        assert!(shards.contains(&shard), "{what}: {answer}");
        assert_eq!(hit["doc"], part_value(marker, shard), "{what}");
    }
}

/// Guards against a value that is served cut, as whole: a part of a class that may be repeated has to be asked for again,
/// and any other request has to fail.
#[test]
fn an_answer_with_the_rest_of_its_value_behind_it_is_never_served() {
    let value_length = part_value(10, 1).len();
    let missing = [1, 2, 3, 4, 5, 11, value_length];
    let splits = [
        Split::OneWrite,
        Split::Pieces(1),
        Split::Pieces(7),
        Split::Pieces(23),
    ];
    for split in splits {
        // The marker's tens are the number of missing bytes, its units are 0 for the first class and 1 for the second.
        let plan = move |marker: u64, _, earlier_attempts| match earlier_attempts {
            0 => short_answer(marker as usize / 10, split),
            _ => Behavior::Serve,
        };
        for missing in missing {
            // A coordinator each, since one that has seen several faults avoids the replicas.
            let coordinator =
                TestCoordinator::start(WireFormat::Platform, DataNodes::new(plan), 1000);
            let what = format!("{missing} bytes missing, {split:?}");
            let marker = 10 * missing as u64;
            let served = coordinator.post_api(
                &format!("s{missing}"),
                "stock-search",
                "2.0",
                &[1],
                &format!("~{marker}~"),
            );
            assert_eq!(served.status, 200, "{what}: {}", served.json);
            assert_whole_values(&served.json, marker, &[1], &what);
            let failed = coordinator.post_api(
                &format!("c{missing}"),
                "pick-confirm",
                "2.5",
                &[1],
                &format!("~{}~", marker + 1),
            );
            assert_eq!(failed.status, 500, "{what}: {}", failed.json);
            let runs = coordinator.data_nodes.execution_counts()[&(marker + 1, 1)];
            assert_eq!(runs, 1, "{what}");
        }
    }
}

/// Guards against other answers on the connection that are lost with the cut one: they are asked for again.
#[test]
fn other_parts_on_the_connection_of_a_cut_answer_are_served_whole() {
    let plan = |_, shard, earlier_attempts| match (shard, earlier_attempts) {
        (3, 0) => short_answer(4, Split::OneWrite),
        (_, 0) => Behavior::Delay(40),
        _ => Behavior::Serve,
    };
    let coordinator = TestCoordinator::start(WireFormat::Platform, DataNodes::new(plan), 1000);
    for number in 0..5 {
        let id = format!("m{number}");
        let shards = [1, 3, 5, 7];
        let query = format!("~{}~", number + 1);
        let answer = coordinator.post_api(&id, "stock-search", "2.0", &shards, &query);
        assert_eq!(answer.status, 200, "{}", answer.json);
        assert_whole_values(&answer.json, number + 1, &shards, &id);
    }
}

/// Guards against a cut value that was taken before the rest of it arrived: as long as the client has no answer, the
/// request fails instead.
#[test]
fn a_value_whose_rest_arrives_later_is_retracted_before_the_client_is_answered() {
    let plan = |_, shard, _| match shard {
        1 => short_answer(4, Split::AtDeclaredEnd(40)),
        _ => Behavior::Delay(400),
    };
    let coordinator = TestCoordinator::start(WireFormat::Platform, DataNodes::new(plan), 1000);
    for class in ["stock-search", "pick-confirm"] {
        let answer = coordinator.post_api(class, class, "2.0", &[1, 2], "~1~");
        assert_eq!(answer.status, 500, "{class}: {}", answer.json);
        let runs = coordinator.data_nodes.execution_counts();
        let confirm_runs = runs.get(&(1, 1)).copied().unwrap_or(0);
        assert!(confirm_runs > 0, "{runs:?}");
    }
}

/// Guards against sound answers that are taken as cut because the next frame arrives in parts: at high rates, reads end
/// anywhere within a frame.
#[test]
fn sound_answers_in_a_row_are_served_wherever_reads_end() {
    let coordinator = TestCoordinator::start(
        WireFormat::Platform,
        DataNodes::new(|_, _, _| Behavior::Serve),
        1000,
    );
    std::thread::scope(|scope| {
        for client in 0..8 {
            let coordinator = &coordinator;
            scope.spawn(move || {
                for number in 0..40 {
                    let id = format!("c{client}-{number}");
                    let marker = 1_000 * client + number;
                    let shards = [0, 1, 2, 3, 4, 5, 6, 7];
                    let query = format!("~{marker}~");
                    let answer = coordinator.post_api(&id, "stock-search", "2.0", &shards, &query);
                    assert_eq!(answer.status, 200, "{id}: {}", answer.json);
                    assert_whole_values(&answer.json, marker, &shards, &id);
                }
            });
        }
    });
    let log: Vec<String> = coordinator.log.lock().unwrap().try_iter().collect();
    let faults = log
        .iter()
        .filter(|line| line.contains("server connection closed"));
    assert_eq!(faults.count(), 0, "{log:?}");
}

/// Guards against a copy of an earlier answer that arrives after the next search was written on its connection, and is
/// served as the answer to that search.
#[test]
fn a_late_copy_of_an_answer_is_not_served_for_the_next_search() {
    let plan = |marker: u64, _, earlier_attempts| match (marker % 2, earlier_attempts) {
        (0, _) => Behavior::Irregular(Irregularity::LateRepeatedAnswer(60)),
        (_, 0) => Behavior::Delay(150),
        _ => Behavior::Serve,
    };
    let data_nodes = DataNodes::new(plan);
    // With a single holder of the shard, each search is sent on the connection of the one before it.
    let mut members = start_data_nodes(WireFormat::OpenSearch, &data_nodes);
    members.retain(|member| member["id"] != "s-3");
    let coordinator =
        TestCoordinator::start_with_change(WireFormat::OpenSearch, data_nodes, members, |_| ());
    for marker in 2..22 {
        let id = format!("l{marker}");
        let query = format!("~{marker}~");
        let answer = coordinator.post_api(&id, "stock-search", "2.0", &[1], &query);
        assert_eq!(answer.status, 200, "{}", answer.json);
        let own_value = json!(part_value(marker, 1)).to_string();
        let doc = answer.json["hits"][0]["doc"].as_str().unwrap();
        assert!(
            doc.contains(&own_value),
            "query {marker} was answered with {doc}"
        );
    }
}
