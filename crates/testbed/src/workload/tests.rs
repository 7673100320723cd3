use super::client::{play, run_client};
use super::*;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

fn workload(burst: Vec<Burst>) -> Workload {
    Workload {
        rate: 100.0,
        span: 30.0,
        burst,
        query_front: 0.3,
        retries: 0,
    }
}

#[test]
fn arrivals_depend_on_the_seed_and_follow_the_rate() {
    let first = arrivals(&workload(Vec::new()), 12, 1);
    assert_eq!(first, arrivals(&workload(Vec::new()), 12, 1));
    assert_ne!(first, arrivals(&workload(Vec::new()), 12, 2));
    assert!((2_700..3_300).contains(&first.len()), "{}", first.len());
    let query_front_share =
        first.iter().filter(|due| due.query_front).count() as f64 / first.len() as f64;
    assert!(
        (query_front_share - 0.3).abs() < 0.05,
        "{query_front_share}"
    );
    let burst = arrivals(
        &workload(vec![Burst {
            at: 10.0,
            lasts: 10.0,
            times: 1.9,
        }]),
        12,
        1,
    );
    let burst_count = burst
        .iter()
        .filter(|due| (10.0..20.0).contains(&due.due_at))
        .count();
    assert!((1_700..2_100).contains(&burst_count), "{burst_count}");
}

/// An answer after the deadline counts as late while the client still waits, and as missing after that. The content of a
/// late answer is checked all the same.
#[test]
fn a_late_answer_is_distinguished_from_a_missing_one() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let ends = tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = listener.local_addr().unwrap();
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::task::spawn_local(async move {
                    let mut buffer = [0; 4096];
                    while stream.read(&mut buffer).await.is_ok_and(|bytes| bytes > 0) {
                        tokio::time::sleep(Duration::from_secs_f64(DEADLINES[0] + 0.2)).await;
                        let body = r#"{"complete":true,"hits":[{"shard":0,"doc":"made up"}]}"#;
                        let head =
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                        let _ = stream.write_all((head + body).as_bytes()).await;
                    }
                });
            }
        });
        let start = Instant::now();
        let one = |listens: f64| {
            let due = QueryArrival {
                due_at: 0.0,
                query: 1,
                class: 0,
                shards: vec![0],
                query_front: false,
            };
            let options = ClientOptions {
                fronts: Fronts::single(to),
                start,
                retries: 0,
                confirm_effect: ConfirmEffect::AtMostOnce,
                listen_after_deadline: Duration::from_secs_f64(listens),
            };
            run_client(due, options, IdleConnections::default())
        };
        tokio::join!(one(0.0), one(30.0))
    });
    assert_eq!(
        (ends.0.ending, ends.0.answer_fault),
        (Ending::Unanswered, None)
    );
    assert_eq!(ends.1.ending, Ending::Late);
    assert!(ends.1.answer_fault.unwrap().contains("no server made"));
}

/// Guards against coordinated omission: latency counts from the time at which a query was due, so a server that stalls for
/// a second delays all queries that were due in that second, not just one.
#[test]
fn a_stall_delays_every_query_that_was_due_during_it() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let took = tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = listener.local_addr().unwrap();
        let start = Instant::now() + Duration::from_millis(50);
        // The server accepts no connection for a second, and then answers all queries at once.
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(start + Duration::from_secs(1)).await;
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::task::spawn_local(async move {
                    let mut buffer = [0; 4096];
                    while stream.read(&mut buffer).await.is_ok_and(|bytes| bytes > 0) {
                        let _ = stream
                            .write_all(b"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n")
                            .await;
                    }
                });
            }
        });
        let due = |at: u64| QueryArrival {
            due_at: at as f64 / 50.0,
            query: at + 1,
            class: 1,
            shards: vec![0],
            query_front: false,
        };
        let ended = Rc::new(RefCell::new(Vec::new()));
        let options = ClientOptions {
            fronts: Fronts::single(to),
            start,
            retries: 0,
            confirm_effect: ConfirmEffect::AtMostOnce,
            listen_after_deadline: LISTEN_AFTER_DEADLINE,
        };
        play((0..50).map(due).collect(), options, ended.clone()).await;
        let took: Vec<f64> = ended
            .borrow()
            .iter()
            .map(|one| one.latency + one.due_at)
            .collect();
        took
    });
    assert_eq!(took.len(), 50);
    // Every query was due during the stall and ended only after it.
    assert!(took.iter().all(|&at| at >= 0.99), "{took:?}");
}
