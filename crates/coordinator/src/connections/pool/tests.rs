//! The pool before a data node that the test plays: what waits, what crosses, what never ran.

use super::*;
use crate::messages::Text;
use cairnroad_types::RequestId;

/// Runs a test with a pool whose one server the test plays.
fn before_a_server<F: std::future::Future>(
    test: impl FnOnce(tokio::net::TcpListener, Pool, mpsc::Receiver<Message>, Clock) -> F,
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
        pool.note_list(
            &list(listener.local_addr().unwrap(), ServerState::Ready),
            true,
        );
        test(listener, pool, messages, clock).await;
    });
}

fn tally() -> Metrics {
    Metrics::new(0.0, Time(0))
}

fn list(address: SocketAddr, state: ServerState) -> Vec<(ServerId, EndpointEntry)> {
    let row = EndpointEntry {
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
    vec![(ServerId(0), row)]
}

fn job(attempt: Attempt, clock: &Clock) -> OutboundAttempt {
    let (name, class) = (format!("q{}", attempt.part.0).into(), "c".into());
    let (text, until) = (Text::Plain("t".into()), clock.now() + 9.0);
    OutboundAttempt {
        attempt,
        wanted: Rc::new(Cell::new(true)),
        send_by: None,
        name,
        class,
        shard: 0,
        text,
        deadline: until,
        contracts: None,
    }
}

/// Guards against a table smaller than the cycle of turns: closing the connection used longest ago closes the
/// one whose turn is next.
#[test]
fn room_is_made_by_the_idle_connection_used_last() {
    before_a_server(|listener, mut pool, _messages, _clock| async move {
        let address = listener.local_addr().unwrap();
        let link = |server: u32, used: f64, busy: bool| {
            let out = if busy {
                BTreeSet::from([Attempt {
                    part: RequestId(9),
                    number: 0,
                }])
            } else {
                BTreeSet::new()
            };
            let (commands, _) = mpsc::channel(1);
            let shared = Rc::new(Shared::default());
            let (unheard, owes_since, retired, up) = (0.0, None, false, true);
            let used = Time::from_secs(used);
            Connection {
                server: ServerId(server),
                address,
                commands,
                shared,
                up,
                out,
                used,
                unheard,
                owes_since,
                retired,
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
            pool.links.insert(id as u64, link(server, used, busy));
        }
        assert!(pool.close_an_idle_one());
        let closed: Vec<u32> = pool
            .links
            .values()
            .filter(|link| link.retired)
            .map(|link| link.server.0)
            .collect();
        assert_eq!(closed, [1], "the idle one used last; a busy one stays");
    });
}

/// Guards against a connection that fell silent and stays in use because each part on it is cancelled before
/// its silence has lasted.
#[test]
fn a_cancel_does_not_excuse_a_connections_silence() {
    before_a_server(|listener, mut pool, mut messages, clock| async move {
        let _silent = listener;
        let start = clock.now();
        // When each part is sent and cancelled, and whether it takes a new connection. The sample's aim is 1 s.
        let mut turns = vec![
            (0.0, 0.15, true),
            (5.0, 5.05, false),
            (6.0, 6.1, false),
            (7.0, 7.1, true),
        ];
        for (number, (sent, cancelled, dials)) in turns.drain(..).enumerate() {
            let attempt = Attempt {
                part: RequestId(number as u64),
                number: 0,
            };
            pool.stage(ServerId(0), job(attempt, &clock));
            assert_eq!(
                pool.flush(start + sent, &mut tally()).1.len(),
                usize::from(dials),
                "part {number}"
            );
            if dials {
                let Some(Message::Connection(event)) = messages.recv().await else {
                    panic!("no connection")
                };
                assert!(matches!(event.event, ConnectionEvent::Connected));
                pool.note(start + sent, event);
            }
            pool.cancel(start + cancelled, attempt);
        }
    });
}

/// Guards against calls on a connection whose server stopped in the middle of an answer: they would be lost with
/// it, though they need never be written there.
#[test]
fn a_connection_in_the_middle_of_an_answer_gets_nothing_new() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    before_a_server(|listener, mut pool, mut messages, clock| async move {
        let now = clock.now();
        let send = |pool: &mut Pool, number| {
            pool.stage(
                ServerId(0),
                job(
                    Attempt {
                        part: RequestId(number),
                        number: 0,
                    },
                    &clock,
                ),
            );
            pool.flush(now, &mut tally()).1.len()
        };
        assert_eq!(send(&mut pool, 1), 1);
        let (mut server, _) = listener.accept().await.unwrap();
        let Some(Message::Connection(up)) = messages.recv().await else {
            panic!("no connection")
        };
        pool.note(now, up);
        assert_eq!(send(&mut pool, 2), 0);
        server.read_exact(&mut [0; 30]).await.unwrap();
        server
            .write_all(b"\0\0\0\x20Aq1.0 ok 1 -\nhalf")
            .await
            .unwrap();
        // No new connection is dialled as long as the old one is taken.
        let mut number = 3;
        while send(&mut pool, number) == 0 {
            pool.cancel(
                now,
                Attempt {
                    part: RequestId(number),
                    number: 0,
                },
            );
            tokio::task::yield_now().await;
            number += 1;
        }
        let link = pool.links.values().next().unwrap();
        assert!(
            link.shared.spent.get() && link.silence(now) == 0.0,
            "not for its silence"
        );
    });
}

/// Guards against a frame that waits behind a dial and leaves after the grace of its server's drain.
#[test]
fn a_call_queued_behind_a_dial_is_not_sent_once_its_server_drains() {
    before_a_server(|listener, mut pool, mut messages, clock| async move {
        let address = listener.local_addr().unwrap();
        let attempt = Attempt {
            part: RequestId(2),
            number: 0,
        };
        pool.stage(ServerId(0), job(attempt, &clock));
        let (failed, dials) = pool.flush(clock.now(), &mut tally());
        assert_eq!((failed.len(), dials.len()), (0, 1));
        pool.note_list(&list(address, ServerState::Draining), false);
        let Some(Message::Connection(event)) = messages.recv().await else {
            panic!("no outcome")
        };
        let Some(PoolEvent::Attempt(ended)) = pool.note(clock.now(), event) else {
            panic!("no attempt")
        };
        assert_eq!(
            (ended.attempt, ended.outcome),
            (attempt, Outcome::ConnectFailed)
        );
    });
}

/// What comes of attempts, in the order in which it is told, until this many are.
async fn ends(
    pool: &mut Pool,
    messages: &mut mpsc::Receiver<Message>,
    clock: &Clock,
    count: usize,
) -> Vec<(u64, Outcome)> {
    let mut ends = Vec::new();
    while ends.len() < count {
        let Some(Message::Connection(event)) = messages.recv().await else {
            panic!("no message")
        };
        if let Some(PoolEvent::Attempt(ended)) = pool.note(clock.now(), event) {
            ends.push((ended.attempt.part.0, ended.outcome));
        }
    }
    ends
}

fn first(part: u64) -> Attempt {
    Attempt {
        part: RequestId(part),
        number: 0,
    }
}

/// Stages these parts as calls of their own and sends them.
fn send(pool: &mut Pool, clock: &Clock, parts: impl IntoIterator<Item = u64>) {
    for part in parts {
        pool.stage(ServerId(0), job(first(part), clock));
        pool.flush(clock.now(), &mut tally());
    }
}

/// The next frame that the data node reads.
async fn frame(server: &mut tokio::net::TcpStream) -> String {
    use tokio::io::AsyncReadExt;
    let length = server.read_u32().await.unwrap() as usize;
    let mut frame = vec![0; length];
    server.read_exact(&mut frame).await.unwrap();
    String::from_utf8(frame).unwrap()
}

/// An answer frame.
fn answer(line: &str, value: &str) -> Vec<u8> {
    let body = format!("A{line}\n{value}");
    [&(body.len() as u32).to_be_bytes()[..], body.as_bytes()].concat()
}

/// Has the server's end of a connection reset it rather than close it.
fn reset(server: tokio::net::TcpStream) {
    socket2::SockRef::from(&server)
        .set_linger(Some(std::time::Duration::ZERO))
        .unwrap();
}

/// Guards against calls whose cancel waits behind more calls than a connection takes in at once.
#[test]
fn no_cancelled_call_that_waits_behind_a_dial_is_written() {
    before_a_server(|listener, mut pool, mut messages, clock| async move {
        pool.streams = 400;
        send(&mut pool, &clock, 0..120);
        assert_eq!(pool.links(), 1);
        for part in 0..119 {
            pool.cancel(clock.now(), first(part));
        }
        let (mut server, _) = listener.accept().await.unwrap();
        assert!(
            frame(&mut server).await.starts_with("Qq119.0 "),
            "the only one that anybody waits for"
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

/// Guards against a part of an ended request that leaves late though its deployment has no cancels.
#[test]
fn an_unwanted_call_is_not_written_and_nobody_is_told() {
    before_a_server(|listener, mut pool, mut messages, clock| async move {
        send(&mut pool, &clock, [1, 2]);
        pool.unwant(first(1));
        let (mut server, _) = listener.accept().await.unwrap();
        assert!(frame(&mut server).await.starts_with("Qq2.0 "));
        assert_eq!(
            ends(&mut pool, &mut messages, &clock, 1).await,
            [(1, Outcome::NotSent)],
            "it never ran"
        );
        assert!(pool.is_out(first(2)));
    });
}

/// Guards against an answer that came before the connection broke and is lost with it, since the break shows first where
/// the next call is written.
#[test]
fn an_answer_that_lies_there_when_a_write_fails_still_counts() {
    use tokio::io::AsyncWriteExt;
    before_a_server(|listener, mut pool, mut messages, clock| async move {
        send(&mut pool, &clock, [1]);
        let (mut server, _) = listener.accept().await.unwrap();
        frame(&mut server).await;
        let Some(Message::Connection(up)) = messages.recv().await else {
            panic!("no connection")
        };
        pool.note(clock.now(), up);
        tokio::task::yield_now().await;
        server.write_all(&answer("q1.0 ok 1 -", "v")).await.unwrap();
        reset(server);
        // All of it is on this machine before the connection's task looks at its socket again.
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

/// Guards against an answer that crosses its own cancel and is taken for another part's, or ends the connection.
#[test]
fn an_answer_that_crosses_its_cancel_harms_nobody() {
    use tokio::io::AsyncWriteExt;
    before_a_server(|listener, mut pool, mut messages, clock| async move {
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
            "the connection is sound"
        );
    });
}

/// Guards against parts that stay out, or are thought never to have run, where what came on their connection was spoilt.
#[test]
fn spoilt_bytes_end_all_parts_that_are_out_on_their_connection() {
    use tokio::io::AsyncWriteExt;
    let spoilt: [&[u8]; 4] = [
        b"\0\0\0\x09Zwhatever",
        b"\xff\xff\xff\xff",
        b"\0\0\0\0",
        b"\0\0\0\x0cAq9.0 ok 1 -\n",
    ];
    for bytes in spoilt {
        before_a_server(|listener, mut pool, mut messages, clock| async move {
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

/// Guards against taking a part for run that never was, and the other way round: a reset before the frame's last byte is
/// written proves that it never ran, one after it proves nothing.
#[test]
fn a_reset_within_a_frame_and_one_after_it_are_told_apart() {
    for whole in [false, true] {
        before_a_server(|listener, mut pool, mut messages, clock| async move {
            let mut large = job(first(1), &clock);
            // More than the system takes in while nobody reads.
            large.text = Text::Plain("t".repeat(64 * 1024 * 1024).into());
            pool.stage(ServerId(0), large);
            pool.flush(clock.now(), &mut tally());
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

/// Guards against sweeps and silences fitted to one deployment's keepalive and aims.
#[test]
fn sweeps_and_silence_follow_from_the_settings() {
    let mut deployment = crate::configuration::tests::sample()
        .offer
        .deployment
        .clone();
    for keepalive in [0.2, 1.0, 1.6, 15.0, 60.0] {
        deployment.keepalive = keepalive;
        assert!(
            IDLE_SHARE * keepalive + sweep_every(&deployment) <= 0.81 * keepalive,
            "{keepalive}"
        );
    }
    for aim in [0.1, 1.0, 4.0] {
        deployment
            .policy
            .classes
            .iter_mut()
            .for_each(|class| class.latency_objective = aim);
        assert_eq!(silent(&deployment), aim * SILENT_SHARE);
    }
}
