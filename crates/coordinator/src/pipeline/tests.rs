//! The core by its turns. No connection's task runs between them, so what comes in one tick is the test's choice.

use super::*;
use crate::messages::{Answer, ConnectionEvent, ConnectionReport, PartSpec, Request, Text};
use cairnroad_types::{RequestId, ServerState};
use tokio::sync::oneshot;

/// A core, and the other ends of its queues.
struct Rig {
    core: Core,
    asks: mpsc::Sender<ClientRequest>,
    messages: mpsc::Sender<Message>,
}

fn with_core(test: impl FnOnce(Rig)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let config = crate::configuration::tests::sample();
        let (clock, (asks, asked)) = (
            Clock::new(config.served.deployment.policy.tick),
            mpsc::channel(4),
        );
        let contracts = Rc::new(Contracts::new(clock.clone(), Default::default()));
        let phase = Rc::new(watch::channel(Phase::Starting).0);
        let offer = watch::channel(config.served.clone()).0;
        let (messages, told) = mpsc::channel(64);
        let core = Core::new(
            &config,
            contracts,
            clock,
            asked,
            (messages.clone(), told),
            phase,
            offer,
        );
        test(Rig {
            core,
            asks,
            messages,
        });
    });
}

fn row(at: usize, cell: u32, state: ServerState) -> EndpointEntry {
    EndpointEntry {
        id: format!("s-{at}"),
        address: "127.0.0.1:1".parse().unwrap(),
        cell,
        zone: 0,
        state,
        size: 1.0,
        weight: 1.0,
        generation: 0,
        ready_at: None,
    }
}

/// Guards against tables that grow with every server that a long day replaces.
#[test]
fn replaced_servers_are_forgotten() {
    with_core(|Rig { mut core, .. }| {
        for generation in 0..300 {
            let gone = row(generation, generation as u32 % 2, ServerState::Removed);
            let fresh = (generation + 1..generation + 5)
                .map(|at| row(at, at as u32 % 2, ServerState::Ready));
            // By changes and, now and then, by a whole list without the one that is gone.
            let complete = generation % 3 == 0;
            let rows = std::iter::once(gone)
                .filter(|_| !complete)
                .chain(fresh)
                .collect();
            core.note_news(
                &EndpointListUpdate {
                    revision: 1,
                    complete,
                    rows,
                },
                false,
            );
            core.turn();
            core.pool.sweep(core.clock.now());
        }
        assert_eq!(
            (
                core.directory.len(),
                core.pool.size().0,
                core.route.servers()
            ),
            (4, 4, 4)
        );
    });
}

/// Guards against a further attempt that is decided in the very tick in which its client goes, and against a request that
/// is let in though its client has gone. What the first attempt lost would be sent to the other replica.
#[test]
fn nothing_is_sent_for_a_client_that_goes_in_the_same_tick() {
    // How the first attempt ends in that tick; `None`: it is not sent yet.
    for (ended, further) in [
        (None, false),
        (Some(Outcome::Reset), true),
        (Some(Outcome::ConnectFailed), true),
        (Some(Outcome::Rejected), true),
    ] {
        for gone in [false, true] {
            with_core(
                |Rig {
                     mut core,
                     asks,
                     messages,
                 }| {
                    let rows = (0..2).map(|at| row(at, 0, ServerState::Ready)).collect();
                    core.note_news(
                        &EndpointListUpdate {
                            revision: 1,
                            complete: true,
                            rows,
                        },
                        false,
                    );
                    let (reply, answer) = oneshot::channel::<Answer>();
                    let request = Request {
                        name: "one".into(),
                        class: 0,
                        due: core.clock.now() + 1.9,
                        repeat: false,
                        work: None,
                        parts: vec![PartSpec {
                            shard: 0,
                            weight: 1.0,
                        }],
                        text: Text::Plain("t".into()),
                        judge: None,
                    };
                    asks.try_send(ClientRequest { request, reply }).unwrap();
                    // The request is the first id, its part the second.
                    let attempt = |number| Attempt {
                        part: RequestId(2),
                        number,
                    };
                    if let Some(outcome) = ended {
                        core.turn();
                        assert!(core.pool.is_out(attempt(0)), "the first attempt");
                        let what = ConnectionEvent::AttemptEnded {
                            attempt: attempt(0),
                            outcome,
                            value: None,
                        };
                        assert!(messages
                            .try_send(Message::Connection(ConnectionReport {
                                connection: 0,
                                event: what
                            }))
                            .is_ok());
                    }
                    if gone {
                        drop(answer);
                    }
                    core.turn();
                    let sent = core.pool.is_out(attempt(u8::from(further)));
                    assert_eq!(sent, !gone, "{ended:?}, gone: {gone}");
                },
            );
        }
    }
}
