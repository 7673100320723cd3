//! The core, tick by tick. No connection's task runs between two ticks, so the test chooses what arrives in each.

use super::*;
use crate::messages::{
    Answer, ConnectionEvent, ConnectionId, ConnectionReport, EndpointEntry, EndpointListUpdate,
    PartSpec, Payload, Request,
};
use cairnroad_types::{Outcome, RequestId, ServerState};
use tokio::sync::oneshot;

/// A core, and the other ends of its queues.
struct Rig {
    core: Core,
    requests: mpsc::Sender<ClientRequest>,
    messages: mpsc::Sender<CoreMessage>,
}

fn with_core(test: impl FnOnce(Rig)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let config = crate::configuration::tests::sample();
        let clock = Clock::new(config.served.deployment.policy.tick);
        let (requests, request_receiver) = mpsc::channel(4);
        let contracts = Rc::new(Contracts::new(clock.clone(), Default::default()));
        let phase = Rc::new(watch::channel(ServingPhase::Starting).0);
        let served_configuration = watch::channel(config.served.clone()).0;
        let (messages, message_receiver) = mpsc::channel(64);
        let core = Core::new(
            &config,
            contracts,
            clock,
            CoreChannels {
                requests: request_receiver,
                messages: message_receiver,
                message_sender: messages.clone(),
                phase,
                served_configuration,
            },
        );
        test(Rig {
            core,
            requests,
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
            let is_snapshot = generation % 3 == 0;
            let entries = std::iter::once(gone)
                .filter(|_| !is_snapshot)
                .chain(fresh)
                .collect();
            core.on_endpoint_update(
                &EndpointListUpdate {
                    revision: 1,
                    is_snapshot,
                    entries,
                },
                false,
            );
            core.tick();
            core.pool.sweep(core.clock.now());
        }
        assert_eq!(
            (
                core.directory.len(),
                core.pool.size().0,
                core.router.server_count()
            ),
            (4, 4, 4)
        );
    });
}

/// The whole list: two ready servers that hold the same shards.
fn two_replicas() -> EndpointListUpdate {
    EndpointListUpdate {
        revision: 1,
        is_snapshot: true,
        entries: (0..2).map(|at| row(at, 0, ServerState::Ready)).collect(),
    }
}

/// A request of one part. In a new core the request has the first id, its part the second.
fn request(deadline: Time) -> Request {
    Request {
        external_id: "one".into(),
        class: 0,
        deadline,
        client_retry: false,
        expected_work: None,
        parts: vec![PartSpec {
            shard: 0,
            weight: 1.0,
        }],
        payload: Payload::Plain("t".into()),
        contracts: None,
    }
}

fn attempt(number: u8) -> AttemptId {
    let part = RequestId(2);
    AttemptId { part, number }
}

/// Guards against a retry that is decided in the very tick in which its client leaves, and against a request that is
/// admitted though its client has left. What the first attempt lost would be sent to the other replica.
#[test]
fn nothing_is_sent_for_a_client_that_leaves_in_the_same_tick() {
    // How the first attempt ends in that tick; `None`: it is not sent yet.
    for (ended, retried) in [
        (None, false),
        (Some(Outcome::Reset), true),
        (Some(Outcome::ConnectFailed), true),
        (Some(Outcome::Rejected), true),
    ] {
        for client_leaves in [false, true] {
            with_core(|rig| {
                let mut core = rig.core;
                core.on_endpoint_update(&two_replicas(), false);
                let (reply, answer) = oneshot::channel::<Answer>();
                let request = request(core.clock.now() + 1.9);
                rig.requests
                    .try_send(ClientRequest { request, reply })
                    .unwrap();
                if let Some(outcome) = ended {
                    core.tick();
                    assert!(core.pool.is_in_flight(attempt(0)), "the first attempt");
                    let report = ConnectionReport {
                        connection: ConnectionId(0),
                        event: ConnectionEvent::AttemptEnded {
                            attempt: attempt(0),
                            outcome,
                            value: None,
                        },
                    };
                    let message = CoreMessage::Connection(report);
                    assert!(rig.messages.try_send(message).is_ok());
                }
                if client_leaves {
                    drop(answer);
                }
                core.tick();
                let sent = core.pool.is_in_flight(attempt(u8::from(retried)));
                assert_eq!(sent, !client_leaves, "{ended:?}, leaves: {client_leaves}");
            });
        }
    }
}
