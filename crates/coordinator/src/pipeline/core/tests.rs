//! Tests of the core, tick by tick. No connection task runs between two ticks, so a test controls which messages arrive
//! in each tick.

use super::*;
use crate::messages::{
    Answer, ConnectionEvent, ConnectionId, ConnectionReport, EndpointEntry, EndpointListUpdate,
    PartSpec, Payload, Request,
};
use cairnroad_types::{Outcome, RequestId, ServerState};
use tokio::sync::oneshot;

/// A core under test, and the sending ends of its queues.
struct CoreHarness {
    core: Core,
    requests: mpsc::Sender<ClientRequest>,
    messages: mpsc::Sender<CoreMessage>,
}

fn with_core(test: impl FnOnce(CoreHarness)) {
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
                shed_counts: ShedCounts::default(),
            },
        );
        test(CoreHarness {
            core,
            requests,
            messages,
        });
    });
}

fn endpoint(number: usize, cell: u32, state: ServerState) -> EndpointEntry {
    EndpointEntry {
        id: format!("s-{number}"),
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

/// Guards against a memory leak: tables that keep an entry for each server that was ever replaced.
#[test]
fn replaced_servers_are_forgotten() {
    with_core(|CoreHarness { mut core, .. }| {
        for generation in 0..300 {
            let removed = endpoint(generation, generation as u32 % 2, ServerState::Removed);
            let ready = (generation + 1..generation + 5)
                .map(|number| endpoint(number, number as u32 % 2, ServerState::Ready));
            // Two of three updates are deltas; every third is a snapshot without the removed server.
            let is_snapshot = generation % 3 == 0;
            let entries = std::iter::once(removed)
                .filter(|_| !is_snapshot)
                .chain(ready)
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

/// Returns a snapshot with two ready servers that hold the same shards.
fn two_replicas() -> EndpointListUpdate {
    EndpointListUpdate {
        revision: 1,
        is_snapshot: true,
        entries: (0..2)
            .map(|number| endpoint(number, 0, ServerState::Ready))
            .collect(),
    }
}

/// Returns a request of one part. A new core assigns the first id to the request and the second to its part.
fn request(deadline: Time) -> Request {
    Request {
        external_id: "one".into(),
        is_named_by_client: true,
        class: 0,
        deadline,
        client_retry: false,
        expected_work: None,
        parts: vec![PartSpec {
            shard: 0,
            weight: 1.0,
        }],
        idempotency_key: None,
        payload: Payload::Plain("t".into()),
        contracts: None,
        client: Default::default(),
        memory: None,
    }
}

/// Returns the id of an attempt of that part.
fn attempt(number: u8) -> AttemptId {
    let part = RequestId(2);
    AttemptId { part, number }
}

/// Guards against a retry that is decided in the same tick in which its client disconnects, and against admitting a
/// request whose client has already disconnected. The part would be sent, after a failed first attempt to the other
/// replica, although nobody waits for its answer.
#[test]
fn nothing_is_sent_for_a_client_that_leaves_in_the_same_tick() {
    // The outcome of the first attempt in that tick; `None` if the attempt has not been sent yet.
    for (ended, retried) in [
        (None, false),
        (Some(Outcome::Reset), true),
        (Some(Outcome::ConnectFailed), true),
        (Some(Outcome::Rejected), true),
    ] {
        for client_leaves in [false, true] {
            with_core(|harness| {
                let mut core = harness.core;
                core.on_endpoint_update(&two_replicas(), false);
                let (reply, answer) = oneshot::channel::<Answer>();
                let request = request(core.clock.now() + 1.9);
                harness
                    .requests
                    .try_send(ClientRequest { request, reply })
                    .unwrap();
                if let Some(outcome) = ended {
                    core.tick();
                    assert!(
                        core.pool.is_in_flight(attempt(0)),
                        "the first attempt is not in flight"
                    );
                    let report = ConnectionReport {
                        connection: ConnectionId(0),
                        event: ConnectionEvent::AttemptEnded {
                            attempt: attempt(0),
                            outcome,
                            value: None,
                        },
                    };
                    let message = CoreMessage::Connection(report);
                    assert!(harness.messages.try_send(message).is_ok());
                }
                if client_leaves {
                    drop(answer);
                }
                core.tick();
                let sent = core.pool.is_in_flight(attempt(u8::from(retried)));
                assert_eq!(
                    sent, !client_leaves,
                    "first attempt ended: {ended:?}, client left: {client_leaves}"
                );
            });
        }
    }
}

/// Guards against attempts that begin for a client whose disconnect is hidden behind unread bytes: a first attempt, and
/// a retry after an attempt that never ran.
#[test]
fn nothing_is_sent_while_bytes_of_the_client_stay_unread() {
    for is_retry in [false, true] {
        with_core(|harness| {
            let mut core = harness.core;
            core.on_endpoint_update(&two_replicas(), false);
            let (reply, mut answer) = oneshot::channel::<Answer>();
            let request = request(core.clock.now() + 1.9);
            let client = request.client.clone();
            let queued = ClientRequest { request, reply };
            harness.requests.try_send(queued).unwrap();
            let long_ago = core.clock.now() + -1.0;
            if is_retry {
                core.tick();
                let message = attempt_rejected(attempt(0));
                assert!(harness.messages.try_send(message).is_ok());
            }
            client.on_unread(long_ago);
            core.tick();
            assert!(!core.pool.is_in_flight(attempt(u8::from(is_retry))));
            // A request of which nothing was sent is rejected at once; the retry is sent once the client is confirmed.
            assert_eq!(answer.try_recv().is_ok(), !is_retry);
            client.on_read_to_end();
            core.tick();
            assert_eq!(core.pool.is_in_flight(attempt(1)), is_retry);
        });
    }
}

/// Returns the report that a server rejected an attempt without running it.
fn attempt_rejected(attempt: AttemptId) -> CoreMessage {
    CoreMessage::Connection(ConnectionReport {
        connection: ConnectionId(0),
        event: ConnectionEvent::AttemptEnded {
            attempt,
            outcome: Outcome::Rejected,
            value: None,
        },
    })
}
