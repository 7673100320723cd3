//! Tests of the pool with a server that the test implements: queued calls, answers and cancels that cross on the wire,
//! and parts that never ran.

use super::limits::{unresponsive_after, IDLE_SHARE, UNRESPONSIVE_SHARE};
use super::*;
use crate::connections::handle::SharedState;
use crate::messages::Payload;
use crate::observability::metrics::Metrics;
use cairnroad_types::RequestId;

/// Runs a test with a pool that knows one server, whose listener is passed to the test.
fn with_one_server<F: std::future::Future>(
    test: impl FnOnce(tokio::net::TcpListener, Pool, mpsc::Receiver<CoreMessage>, Clock) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (to_core, messages) = mpsc::channel(512);
        let clock = Clock::new(0.005);
        let config = crate::configuration::tests::sample();
        let contracts = Rc::new(Contracts::new(clock.clone(), Default::default()));
        let mut pool = Pool::new(&config, contracts, clock.clone(), to_core);
        pool.on_endpoint_list(
            &endpoint_list(listener.local_addr().unwrap(), ServerState::Ready),
            true,
        );
        test(listener, pool, messages, clock).await;
    });
}

fn metrics() -> Metrics {
    Metrics::new(0.0, Time(0))
}

fn endpoint_list(address: SocketAddr, state: ServerState) -> Vec<(ServerId, EndpointEntry)> {
    let entry = EndpointEntry {
        id: "s".into(),
        address,
        cell: 0,
        zone: 0,
        state,
        size: 1.0,
        weight: 1.0,
        generation: 0,
        ready_at: None,
    };
    vec![(ServerId(0), entry)]
}

fn outbound(attempt: AttemptId, clock: &Clock) -> OutboundAttempt {
    OutboundAttempt {
        attempt,
        send_allowed: Rc::new(Cell::new(true)),
        send_by: None,
        external_id: format!("q{}", attempt.part.0).into(),
        class: "c".into(),
        shard: 0,
        idempotency_key: None,
        payload: Payload::Plain("t".into()),
        deadline: clock.now() + 9.0,
        contracts: None,
        client: Default::default(),
        memory: None,
    }
}

/// Guards against closing the least recently used connection at the connection limit. In a fleet with more servers than
/// connections, that is the connection that is needed next.
#[test]
fn at_the_connection_limit_the_most_recently_used_idle_connection_closes() {
    with_one_server(|listener, mut pool, _messages, _clock| async move {
        let address = listener.local_addr().unwrap();
        let connection = |server: u32, last_used: f64, busy: bool| {
            let in_flight = if busy {
                BTreeSet::from([first_attempt(9)])
            } else {
                BTreeSet::new()
            };
            let (commands, _) = mpsc::channel(1);
            let shared = Rc::new(SharedState::default());
            Connection {
                server: ServerId(server),
                address,
                commands,
                shared,
                established: true,
                in_flight,
                last_used: Time::from_secs(last_used),
                earlier_unanswered_time: 0.0,
                awaiting_since: None,
                retired: false,
            }
        };
        for (id, (server, last_used, busy)) in [
            (0, 1.0, false),
            (1, 3.0, false),
            (2, 4.0, true),
            (3, 2.0, false),
        ]
        .into_iter()
        .enumerate()
        {
            pool.connections
                .insert(ConnectionId(id as u64), connection(server, last_used, busy));
        }
        assert!(pool.close_most_recent_idle());
        let closed: Vec<u32> = pool
            .connections
            .values()
            .filter(|connection| connection.retired)
            .map(|connection| connection.server.0)
            .collect();
        assert_eq!(
            closed,
            [1],
            "the most recently used idle connection must be closed, and busy connections kept"
        );
    });
}

/// Guards against an unresponsive connection that stays in use because each part on it is cancelled before the
/// unanswered time reaches its limit.
#[test]
fn a_cancel_does_not_reset_a_connections_unanswered_time() {
    with_one_server(|listener, mut pool, mut messages, clock| async move {
        let _unresponsive = listener;
        let start = clock.now();
        // When each part is sent and cancelled, in seconds, and whether a new connection is dialled for it. The latency
        // objective of the sample settings is 1 s.
        let steps = [
            (0.0, 0.15, true),
            (5.0, 5.05, false),
            (6.0, 6.1, false),
            (7.0, 7.1, true),
        ];
        for (number, (sent, cancelled, dials)) in steps.into_iter().enumerate() {
            let attempt = first_attempt(number as u64);
            pool.stage(ServerId(0), outbound(attempt, &clock));
            assert_eq!(
                pool.flush(start + sent, &mut metrics()).dials.len(),
                usize::from(dials),
                "part {number}"
            );
            if dials {
                let Some(CoreMessage::Connection(report)) = messages.recv().await else {
                    panic!("expected a connection event")
                };
                assert!(matches!(report.event, ConnectionEvent::Connected));
                pool.on_connection_event(start + sent, report);
            }
            pool.cancel(start + cancelled, attempt);
        }
    });
}

/// Guards against calls on a connection whose server stopped in the middle of an answer. They would be lost when the
/// connection is closed.
#[test]
fn a_connection_with_a_partial_answer_gets_no_new_call() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    with_one_server(|listener, mut pool, mut messages, clock| async move {
        let now = clock.now();
        let send = |pool: &mut Pool, number| {
            pool.stage(ServerId(0), outbound(first_attempt(number), &clock));
            pool.flush(now, &mut metrics()).dials.len()
        };
        assert_eq!(send(&mut pool, 1), 1);
        let (mut server, _) = listener.accept().await.unwrap();
        let Some(CoreMessage::Connection(connected)) = messages.recv().await else {
            panic!("expected a connection event")
        };
        pool.on_connection_event(now, connected);
        assert_eq!(send(&mut pool, 2), 0);
        server.read_exact(&mut [0; 30]).await.unwrap();
        server
            .write_all(b"\0\0\0\x20Aq1.0 ok 1 -\nhalf")
            .await
            .unwrap();
        // No new connection is dialled as long as the first one is selected.
        let mut number = 3;
        while send(&mut pool, number) == 0 {
            pool.cancel(now, first_attempt(number));
            tokio::task::yield_now().await;
            number += 1;
        }
        let connection = pool.connections.values().next().unwrap();
        assert!(
            connection.shared.is_poisoned() && connection.unanswered_time(now) == 0.0,
            "the connection must be avoided because it is poisoned, not because it is unresponsive"
        );
    });
}

/// Guards against a call that is queued until its connection is established and is then written after the grace period
/// of its server's drain.
#[test]
fn a_call_queued_behind_a_dial_is_not_sent_once_its_server_drains() {
    with_one_server(|listener, mut pool, mut messages, clock| async move {
        let address = listener.local_addr().unwrap();
        let attempt = first_attempt(2);
        pool.stage(ServerId(0), outbound(attempt, &clock));
        let flushed = pool.flush(clock.now(), &mut metrics());
        assert_eq!((flushed.unsent.len(), flushed.dials.len()), (0, 1));
        pool.on_endpoint_list(&endpoint_list(address, ServerState::Draining), false);
        let Some(CoreMessage::Connection(report)) = messages.recv().await else {
            panic!("expected a connection event")
        };
        let Some(PoolEvent::AttemptEnded(ended)) = pool.on_connection_event(clock.now(), report)
        else {
            panic!("expected the end of an attempt")
        };
        assert_eq!(
            (ended.attempt, ended.outcome),
            (attempt, Outcome::ConnectFailed)
        );
    });
}

/// Processes connection events until `count` attempts have ended. Returns their parts and outcomes in order.
async fn receive_ended_attempts(
    pool: &mut Pool,
    messages: &mut mpsc::Receiver<CoreMessage>,
    clock: &Clock,
    count: usize,
) -> Vec<(u64, Outcome)> {
    let mut ended_attempts = Vec::new();
    while ended_attempts.len() < count {
        let Some(CoreMessage::Connection(report)) = messages.recv().await else {
            panic!("expected a connection event")
        };
        let event = pool.on_connection_event(clock.now(), report);
        if let Some(PoolEvent::AttemptEnded(ended)) = event {
            ended_attempts.push((ended.attempt.part.0, ended.outcome));
        }
    }
    ended_attempts
}

/// Returns the id of the first attempt at a part.
fn first_attempt(part: u64) -> AttemptId {
    AttemptId {
        part: RequestId(part),
        number: 0,
    }
}

/// Sends each of these parts as a separate call.
fn send_calls(pool: &mut Pool, clock: &Clock, parts: impl IntoIterator<Item = u64>) {
    for part in parts {
        pool.stage(ServerId(0), outbound(first_attempt(part), clock));
        pool.flush(clock.now(), &mut metrics());
    }
}

/// Reads the next frame that the server receives. Returns it without its length field.
async fn read_frame(server: &mut tokio::net::TcpStream) -> String {
    use tokio::io::AsyncReadExt;
    let length = server.read_u32().await.unwrap() as usize;
    let mut frame = vec![0; length];
    server.read_exact(&mut frame).await.unwrap();
    String::from_utf8(frame).unwrap()
}

/// Encodes an answer frame.
fn encode_answer(line: &str, value: &str) -> Vec<u8> {
    let body = format!("A{line}\n{value}");
    [&(body.len() as u32).to_be_bytes()[..], body.as_bytes()].concat()
}

/// Resets a connection from the server's side.
fn reset_connection(server: tokio::net::TcpStream) {
    socket2::SockRef::from(&server)
        .set_linger(Some(std::time::Duration::ZERO))
        .unwrap();
}

/// Guards against cancels that are processed too late because more calls are queued before them than a connection task
/// accepts at once.
#[test]
fn no_cancelled_call_that_waits_behind_a_dial_is_written() {
    with_one_server(|listener, mut pool, mut messages, clock| async move {
        pool.limits.max_parts_per_connection = 400;
        send_calls(&mut pool, &clock, 0..120);
        assert_eq!(pool.connection_count(), 1);
        for part in 0..119 {
            pool.cancel(clock.now(), first_attempt(part));
        }
        let (mut server, _) = listener.accept().await.unwrap();
        assert!(
            read_frame(&mut server).await.starts_with("Qq119.0 "),
            "only part 119 is still awaited"
        );
        use tokio::io::AsyncWriteExt;
        server
            .write_all(&encode_answer("q119.0 ok 1 -", "v"))
            .await
            .unwrap();
        assert_eq!(
            receive_ended_attempts(&mut pool, &mut messages, &clock, 1).await,
            [(119, Outcome::Ok)]
        );
    });
}

/// Guards against a part that is sent after its request has ended, in a deployment without cancels.
#[test]
fn a_withdrawn_attempt_is_not_written_and_its_server_is_not_notified() {
    with_one_server(|listener, mut pool, mut messages, clock| async move {
        send_calls(&mut pool, &clock, [1, 2]);
        pool.withdraw(first_attempt(1));
        let (mut server, _) = listener.accept().await.unwrap();
        assert!(read_frame(&mut server).await.starts_with("Qq2.0 "));
        assert_eq!(
            receive_ended_attempts(&mut pool, &mut messages, &clock, 1).await,
            [(1, Outcome::NotSent)],
            "the withdrawn part never ran"
        );
        assert!(pool.is_in_flight(first_attempt(2)));
    });
}

/// Guards against losing an answer that was received before the connection was lost, if the loss is detected by a
/// failed write.
#[test]
fn an_answer_received_before_a_failed_write_still_counts() {
    use tokio::io::AsyncWriteExt;
    with_one_server(|listener, mut pool, mut messages, clock| async move {
        send_calls(&mut pool, &clock, [1]);
        let (mut server, _) = listener.accept().await.unwrap();
        read_frame(&mut server).await;
        let Some(CoreMessage::Connection(connected)) = messages.recv().await else {
            panic!("expected a connection event")
        };
        pool.on_connection_event(clock.now(), connected);
        tokio::task::yield_now().await;
        server
            .write_all(&encode_answer("q1.0 ok 1 -", "v"))
            .await
            .unwrap();
        reset_connection(server);
        // The answer and the reset arrive before the connection task polls its socket again.
        std::thread::sleep(std::time::Duration::from_millis(30));
        send_calls(&mut pool, &clock, [2]);
        let ended = receive_ended_attempts(&mut pool, &mut messages, &clock, 2).await;
        assert!(ended.contains(&(1, Outcome::Ok)), "{ended:?}");
        assert!(
            ended
                .iter()
                .any(|&(part, outcome)| part == 2 && outcome != Outcome::Ok),
            "{ended:?}"
        );
    });
}

/// Guards against an answer that crosses its own cancel on the wire and is then taken for the answer to another part,
/// or causes the connection to be closed.
#[test]
fn an_answer_that_crosses_its_cancel_affects_no_other_part() {
    use tokio::io::AsyncWriteExt;
    with_one_server(|listener, mut pool, mut messages, clock| async move {
        send_calls(&mut pool, &clock, [1, 2]);
        let (mut server, _) = listener.accept().await.unwrap();
        for _ in 0..2 {
            read_frame(&mut server).await;
        }
        pool.cancel(clock.now(), first_attempt(1));
        let crossing = [
            encode_answer("q1.0 ok 1 -", "late"),
            encode_answer("q2.0 ok 1 -", "v"),
        ]
        .concat();
        server.write_all(&crossing).await.unwrap();
        assert_eq!(
            receive_ended_attempts(&mut pool, &mut messages, &clock, 1).await,
            [(2, Outcome::Ok)]
        );
        assert_eq!(read_frame(&mut server).await, "Xq1.0");
        send_calls(&mut pool, &clock, [3]);
        assert!(
            read_frame(&mut server).await.starts_with("Qq3.0 "),
            "the connection must stay open"
        );
    });
}

/// Guards against parts that stay in flight, or count as never run, after malformed data was received on their
/// connection.
#[test]
fn malformed_bytes_fail_all_parts_in_flight_on_their_connection() {
    use tokio::io::AsyncWriteExt;
    let malformed: [&[u8]; 4] = [
        b"\0\0\0\x09Zwhatever",
        b"\xff\xff\xff\xff",
        b"\0\0\0\0",
        b"\0\0\0\x0cAq9.0 ok 1 -\n",
    ];
    for bytes in malformed {
        with_one_server(|listener, mut pool, mut messages, clock| async move {
            send_calls(&mut pool, &clock, [1, 2]);
            let (mut server, _) = listener.accept().await.unwrap();
            for _ in 0..2 {
                read_frame(&mut server).await;
            }
            server.write_all(bytes).await.unwrap();
            let mut ended = receive_ended_attempts(&mut pool, &mut messages, &clock, 2).await;
            ended.sort_unstable_by_key(|&(part, _)| part);
            assert_eq!(
                ended,
                [(1, Outcome::Error), (2, Outcome::Error)],
                "both parts may have run"
            );
        });
    }
}

/// Guards against confusing parts that never ran with parts that may have run. A reset before the last byte of a frame
/// is written proves that its parts never ran; a reset after it does not.
#[test]
fn a_reset_within_a_frame_is_distinguished_from_one_after_it() {
    for frame_complete in [false, true] {
        with_one_server(|listener, mut pool, mut messages, clock| async move {
            let mut large = outbound(first_attempt(1), &clock);
            // Larger than the socket buffers.
            large.payload = Payload::Plain("t".repeat(64 * 1024 * 1024).into());
            pool.stage(ServerId(0), large);
            pool.flush(clock.now(), &mut metrics());
            let (mut server, _) = listener.accept().await.unwrap();
            match frame_complete {
                true => drop(read_frame(&mut server).await),
                false => {
                    use tokio::io::AsyncReadExt;
                    server.read_exact(&mut [0; 4096]).await.unwrap();
                }
            }
            reset_connection(server);
            let expected = if frame_complete {
                Outcome::Reset
            } else {
                Outcome::ConnectFailed
            };
            assert_eq!(
                receive_ended_attempts(&mut pool, &mut messages, &clock, 1).await,
                [(1, expected)]
            );
        });
    }
}

/// Guards against limits that fit only the keepalive time and latency objectives of one deployment.
#[test]
fn sweep_interval_and_unresponsive_limit_follow_from_the_settings() {
    let mut deployment = crate::configuration::tests::sample()
        .served
        .deployment
        .clone();
    for keepalive in [0.2, 1.0, 1.6, 15.0, 60.0] {
        deployment.idle_timeout = keepalive;
        assert!(
            IDLE_SHARE * keepalive + sweep_interval(&deployment) <= 0.81 * keepalive,
            "keepalive time of {keepalive} s"
        );
    }
    for objective in [0.1, 1.0, 4.0] {
        deployment
            .policy
            .classes
            .iter_mut()
            .for_each(|class| class.latency_objective = objective);
        assert_eq!(
            unresponsive_after(&deployment),
            objective * UNRESPONSIVE_SHARE
        );
    }
}

/// Guards against a load report that is cut by a length that is too short: its last figure would be a wrong one.
#[test]
fn a_load_report_with_its_rest_behind_it_is_not_used() {
    use tokio::io::AsyncWriteExt;
    with_one_server(|listener, mut pool, mut messages, clock| async move {
        send_calls(&mut pool, &clock, [1]);
        let (mut server, _) = listener.accept().await.unwrap();
        read_frame(&mut server).await;
        let Some(CoreMessage::Connection(connected)) = messages.recv().await else {
            panic!("expected a connection event")
        };
        pool.on_connection_event(clock.now(), connected);
        pool.request_health_check(ServerId(0));
        assert_eq!(read_frame(&mut server).await, "L");
        let text = "Lqueue=1,latency_ms=98";
        let declared = (text.len() as u32 - 1).to_be_bytes();
        let bytes = [&declared[..], text.as_bytes()].concat();
        server.write_all(&bytes).await.unwrap();
        loop {
            let Some(CoreMessage::Connection(report)) = messages.recv().await else {
                panic!("expected a connection event")
            };
            if let ConnectionEvent::HealthCheckEnded { outcome, report } = report.event {
                assert_eq!((outcome, report), (Outcome::Error, Vec::new()));
                return;
            }
        }
    });
}
