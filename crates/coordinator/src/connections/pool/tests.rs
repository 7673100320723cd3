//! The pool with a server played by the test: what waits, what crosses on the wire, and what never ran.

use super::limits::{silence_limit, IDLE_SHARE, SILENCE_SHARE};
use super::*;
use crate::connections::handle::SharedState;
use crate::messages::Payload;
use crate::observability::metrics::Metrics;
use cairnroad_types::RequestId;

/// Runs a test with a pool of one server, whose listener the test holds.
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
        wanted: Rc::new(Cell::new(true)),
        send_by: None,
        external_id: format!("q{}", attempt.part.0).into(),
        class: "c".into(),
        shard: 0,
        payload: Payload::Plain("t".into()),
        deadline: clock.now() + 9.0,
        contracts: None,
    }
}

/// Guards against a fleet with more servers than connections: closing the connection used longest ago would close the
/// one that is needed next.
#[test]
fn at_the_connection_limit_the_most_recently_used_idle_connection_closes() {
    with_one_server(|listener, mut pool, _messages, _clock| async move {
        let address = listener.local_addr().unwrap();
        let connection = |server: u32, used: f64, busy: bool| {
            let in_flight = if busy {
                BTreeSet::from([first(9)])
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
                last_used: Time::from_secs(used),
                earlier_silence: 0.0,
                awaiting_since: None,
                retired: false,
            }
        };
        for (id, (server, used, busy)) in [
            (0, 1.0, false),
            (1, 3.0, false),
            (2, 4.0, true),
            (3, 2.0, false),
        ]
        .into_iter()
        .enumerate()
        {
            pool.connections
                .insert(ConnectionId(id as u64), connection(server, used, busy));
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
            "the idle one used most recently; a busy one stays"
        );
    });
}

/// Guards against a silent connection that stays in use because each part on it is cancelled before the silence has
/// reached its limit.
#[test]
fn a_cancel_does_not_reset_a_connections_silence() {
    with_one_server(|listener, mut pool, mut messages, clock| async move {
        let _silent = listener;
        let start = clock.now();
        // When each part is sent and cancelled, and whether it dials. The sample's latency objective is 1 s.
        let steps = [
            (0.0, 0.15, true),
            (5.0, 5.05, false),
            (6.0, 6.1, false),
            (7.0, 7.1, true),
        ];
        for (number, (sent, cancelled, dials)) in steps.into_iter().enumerate() {
            let attempt = first(number as u64);
            pool.stage(ServerId(0), outbound(attempt, &clock));
            assert_eq!(
                pool.flush(start + sent, &mut metrics()).dials.len(),
                usize::from(dials),
                "part {number}"
            );
            if dials {
                let Some(CoreMessage::Connection(event)) = messages.recv().await else {
                    panic!("no connection")
                };
                assert!(matches!(event.event, ConnectionEvent::Connected));
                pool.on_connection_event(start + sent, event);
            }
            pool.cancel(start + cancelled, attempt);
        }
    });
}

/// Guards against calls on a connection whose server stopped in the middle of an answer: they would be lost with it.
#[test]
fn a_connection_with_a_partial_answer_gets_no_new_call() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    with_one_server(|listener, mut pool, mut messages, clock| async move {
        let now = clock.now();
        let send = |pool: &mut Pool, number| {
            pool.stage(ServerId(0), outbound(first(number), &clock));
            pool.flush(now, &mut metrics()).dials.len()
        };
        assert_eq!(send(&mut pool, 1), 1);
        let (mut server, _) = listener.accept().await.unwrap();
        let Some(CoreMessage::Connection(up)) = messages.recv().await else {
            panic!("no connection")
        };
        pool.on_connection_event(now, up);
        assert_eq!(send(&mut pool, 2), 0);
        server.read_exact(&mut [0; 30]).await.unwrap();
        server
            .write_all(b"\0\0\0\x20Aq1.0 ok 1 -\nhalf")
            .await
            .unwrap();
        // No new connection is dialled while the old one is still chosen.
        let mut number = 3;
        while send(&mut pool, number) == 0 {
            pool.cancel(now, first(number));
            tokio::task::yield_now().await;
            number += 1;
        }
        let connection = pool.connections.values().next().unwrap();
        assert!(
            connection.shared.is_poisoned() && connection.silence(now) == 0.0,
            "not for its silence"
        );
    });
}

/// Guards against a call that waits behind a dial and is written after the grace period of its server's drain.
#[test]
fn a_call_queued_behind_a_dial_is_not_sent_once_its_server_drains() {
    with_one_server(|listener, mut pool, mut messages, clock| async move {
        let address = listener.local_addr().unwrap();
        let attempt = first(2);
        pool.stage(ServerId(0), outbound(attempt, &clock));
        let flushed = pool.flush(clock.now(), &mut metrics());
        assert_eq!((flushed.unsent.len(), flushed.dials.len()), (0, 1));
        pool.on_endpoint_list(&endpoint_list(address, ServerState::Draining), false);
        let Some(CoreMessage::Connection(event)) = messages.recv().await else {
            panic!("no outcome")
        };
        let Some(PoolEvent::AttemptEnded(ended)) = pool.on_connection_event(clock.now(), event)
        else {
            panic!("no attempt")
        };
        assert_eq!(
            (ended.attempt, ended.outcome),
            (attempt, Outcome::ConnectFailed)
        );
    });
}

/// Receives events until this many attempts have ended. Returns their parts and outcomes in order.
async fn ends(
    pool: &mut Pool,
    messages: &mut mpsc::Receiver<CoreMessage>,
    clock: &Clock,
    count: usize,
) -> Vec<(u64, Outcome)> {
    let mut ends = Vec::new();
    while ends.len() < count {
        let Some(CoreMessage::Connection(event)) = messages.recv().await else {
            panic!("no message")
        };
        if let Some(PoolEvent::AttemptEnded(ended)) = pool.on_connection_event(clock.now(), event) {
            ends.push((ended.attempt.part.0, ended.outcome));
        }
    }
    ends
}

/// The first attempt of a part.
fn first(part: u64) -> AttemptId {
    AttemptId {
        part: RequestId(part),
        number: 0,
    }
}

/// Sends each of these parts as a call of its own.
fn send(pool: &mut Pool, clock: &Clock, parts: impl IntoIterator<Item = u64>) {
    for part in parts {
        pool.stage(ServerId(0), outbound(first(part), clock));
        pool.flush(clock.now(), &mut metrics());
    }
}

/// Reads the server's next frame, without its length.
async fn frame(server: &mut tokio::net::TcpStream) -> String {
    use tokio::io::AsyncReadExt;
    let length = server.read_u32().await.unwrap() as usize;
    let mut frame = vec![0; length];
    server.read_exact(&mut frame).await.unwrap();
    String::from_utf8(frame).unwrap()
}

/// Encodes an answer frame.
fn answer(line: &str, value: &str) -> Vec<u8> {
    let body = format!("A{line}\n{value}");
    [&(body.len() as u32).to_be_bytes()[..], body.as_bytes()].concat()
}

/// Resets a connection from the server's side.
fn reset(server: tokio::net::TcpStream) {
    socket2::SockRef::from(&server)
        .set_linger(Some(std::time::Duration::ZERO))
        .unwrap();
}

/// Guards against cancels that wait behind more calls than a connection's task takes in at once.
#[test]
fn no_cancelled_call_that_waits_behind_a_dial_is_written() {
    with_one_server(|listener, mut pool, mut messages, clock| async move {
        pool.limits.max_parts_per_connection = 400;
        send(&mut pool, &clock, 0..120);
        assert_eq!(pool.connection_count(), 1);
        for part in 0..119 {
            pool.cancel(clock.now(), first(part));
        }
        let (mut server, _) = listener.accept().await.unwrap();
        assert!(
            frame(&mut server).await.starts_with("Qq119.0 "),
            "the only one that is awaited"
        );
        use tokio::io::AsyncWriteExt;
        server
            .write_all(&answer("q119.0 ok 1 -", "v"))
            .await
            .unwrap();
        assert_eq!(
            ends(&mut pool, &mut messages, &clock, 1).await,
            [(119, Outcome::Ok)]
        );
    });
}

/// Guards against a part that is sent after its request has ended, where the deployment has no cancels.
#[test]
fn a_withdrawn_attempt_is_not_written_and_its_server_is_not_notified() {
    with_one_server(|listener, mut pool, mut messages, clock| async move {
        send(&mut pool, &clock, [1, 2]);
        pool.withdraw(first(1));
        let (mut server, _) = listener.accept().await.unwrap();
        assert!(frame(&mut server).await.starts_with("Qq2.0 "));
        assert_eq!(
            ends(&mut pool, &mut messages, &clock, 1).await,
            [(1, Outcome::NotSent)],
            "it never ran"
        );
        assert!(pool.is_in_flight(first(2)));
    });
}

/// Guards against losing an answer that was received before the connection broke, when the next write is what shows the
/// break.
#[test]
fn an_answer_received_before_a_failed_write_still_counts() {
    use tokio::io::AsyncWriteExt;
    with_one_server(|listener, mut pool, mut messages, clock| async move {
        send(&mut pool, &clock, [1]);
        let (mut server, _) = listener.accept().await.unwrap();
        frame(&mut server).await;
        let Some(CoreMessage::Connection(up)) = messages.recv().await else {
            panic!("no connection")
        };
        pool.on_connection_event(clock.now(), up);
        tokio::task::yield_now().await;
        server.write_all(&answer("q1.0 ok 1 -", "v")).await.unwrap();
        reset(server);
        // Answer and reset have arrived before the connection's task polls its socket again.
        std::thread::sleep(std::time::Duration::from_millis(30));
        send(&mut pool, &clock, [2]);
        let ends = ends(&mut pool, &mut messages, &clock, 2).await;
        assert!(ends.contains(&(1, Outcome::Ok)), "{ends:?}");
        assert!(
            ends.iter()
                .any(|&(part, outcome)| part == 2 && outcome != Outcome::Ok),
            "{ends:?}"
        );
    });
}

/// Guards against an answer that crosses its own cancel and is taken for another part's, or closes the connection.
#[test]
fn an_answer_that_crosses_its_cancel_affects_no_other_part() {
    use tokio::io::AsyncWriteExt;
    with_one_server(|listener, mut pool, mut messages, clock| async move {
        send(&mut pool, &clock, [1, 2]);
        let (mut server, _) = listener.accept().await.unwrap();
        for _ in 0..2 {
            frame(&mut server).await;
        }
        pool.cancel(clock.now(), first(1));
        let crossing = [answer("q1.0 ok 1 -", "late"), answer("q2.0 ok 1 -", "v")].concat();
        server.write_all(&crossing).await.unwrap();
        assert_eq!(
            ends(&mut pool, &mut messages, &clock, 1).await,
            [(2, Outcome::Ok)]
        );
        assert_eq!(frame(&mut server).await, "Xq1.0");
        send(&mut pool, &clock, [3]);
        assert!(
            frame(&mut server).await.starts_with("Qq3.0 "),
            "the connection stays open"
        );
    });
}

/// Guards against parts that stay in flight, or count as never run, after malformed bytes on their connection.
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
            send(&mut pool, &clock, [1, 2]);
            let (mut server, _) = listener.accept().await.unwrap();
            for _ in 0..2 {
                frame(&mut server).await;
            }
            server.write_all(bytes).await.unwrap();
            let mut ends = ends(&mut pool, &mut messages, &clock, 2).await;
            ends.sort_unstable_by_key(|end| end.0);
            assert_eq!(
                ends,
                [(1, Outcome::Error), (2, Outcome::Error)],
                "both may have run"
            );
        });
    }
}

/// Guards against confusing parts that never ran with parts that may have: a reset before the frame's last byte is written
/// proves that its parts never ran, one after it proves nothing.
#[test]
fn a_reset_within_a_frame_is_distinguished_from_one_after_it() {
    for whole in [false, true] {
        with_one_server(|listener, mut pool, mut messages, clock| async move {
            let mut large = outbound(first(1), &clock);
            // More than the socket buffers hold.
            large.payload = Payload::Plain("t".repeat(64 * 1024 * 1024).into());
            pool.stage(ServerId(0), large);
            pool.flush(clock.now(), &mut metrics());
            let (mut server, _) = listener.accept().await.unwrap();
            match whole {
                true => drop(frame(&mut server).await),
                false => {
                    use tokio::io::AsyncReadExt;
                    server.read_exact(&mut [0; 4096]).await.unwrap();
                }
            }
            reset(server);
            let expected = if whole {
                Outcome::Reset
            } else {
                Outcome::ConnectFailed
            };
            assert_eq!(
                ends(&mut pool, &mut messages, &clock, 1).await,
                [(1, expected)]
            );
        });
    }
}

/// Guards against limits that fit only one deployment's keepalive time and latency objectives.
#[test]
fn sweep_interval_and_silence_limit_follow_from_the_settings() {
    let mut deployment = crate::configuration::tests::sample()
        .served
        .deployment
        .clone();
    for keepalive in [0.2, 1.0, 1.6, 15.0, 60.0] {
        deployment.idle_timeout = keepalive;
        assert!(
            IDLE_SHARE * keepalive + sweep_interval(&deployment) <= 0.81 * keepalive,
            "{keepalive}"
        );
    }
    for objective in [0.1, 1.0, 4.0] {
        deployment
            .policy
            .classes
            .iter_mut()
            .for_each(|class| class.latency_objective = objective);
        assert_eq!(silence_limit(&deployment), objective * SILENCE_SHARE);
    }
}
