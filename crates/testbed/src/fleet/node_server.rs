//! One emulated data node: its listener, its connections, and the task that runs its model in real time.

use super::{frames, search, Fleet, Wire};
use crate::node_model::{Admission, NodeModel};
use crate::run_log::{expected_value, parse_marker, PartArrival, QueryMarker};
use rand_distr::Distribution;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::Instant;

/// The largest frame or body that a node reads, in bytes.
pub(super) const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Sends encoded replies to the writer of one connection.
pub(super) type ReplySender = mpsc::UnboundedSender<Vec<u8>>;

/// How a node treats connections, parts and answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum NodeBehavior {
    /// The node works correctly.
    #[serde(rename = "well")]
    Healthy,
    /// The process has ended: open connections are reset and new ones refused.
    #[serde(rename = "dead")]
    Dead,
    /// The node runs parts but sends no answers.
    #[serde(rename = "silent")]
    Silent,
    /// The node closes all of its connections in the middle of each answer.
    #[serde(rename = "reset")]
    ResetMidAnswer,
    /// Each answer consists of invalid bytes.
    #[serde(rename = "garbage")]
    Garbage,
    /// The node rejects every part.
    #[serde(rename = "refuse")]
    RejectAll,
    /// Each answer holds the value of another query. No real node does this; it tests the checkers.
    #[serde(rename = "lies")]
    WrongValues,
}

/// The destination of a part's answer.
pub(super) enum ReplyTo {
    /// An answer frame.
    Frame {
        /// The writer of the connection.
        writer: ReplySender,
        /// The id of the part in the call frame.
        id: String,
    },
    /// The HTTP response to a search.
    Search {
        /// The writer of the connection.
        writer: ReplySender,
    },
}

/// A part as a node reads it from a call.
pub(super) struct ReceivedCall<'a> {
    /// The text of the query.
    pub(super) text: &'a str,
    pub(super) shard: u32,
    /// The idempotency key of the query, if the part carries one.
    pub(super) key: Option<&'a str>,
    /// Whether the part is the first of its call, which also carries the work of the call.
    pub(super) first_of_call: bool,
}

/// A part that is waiting or running.
struct PendingPart {
    reply_to: ReplyTo,
    query: u64,
    shard: u32,
}

/// The result of receiving a part.
pub(super) struct ReceivedPart {
    /// The node's number for the part.
    pub(super) id: u64,
    /// Whether the part was rejected, so that the caller has to send the rejection.
    pub(super) rejected: bool,
}

/// One emulated data node.
pub struct NodeServer {
    /// Index of the node in the fleet.
    pub index: usize,
    /// The address on which the node listens.
    pub address: SocketAddr,
    pub(super) model: RefCell<NodeModel>,
    pub(super) behavior: Cell<NodeBehavior>,
    /// A counter whose increase closes all connections.
    connection_epoch: watch::Sender<u64>,
    work_arrived: Notify,
    pending: RefCell<HashMap<u64, PendingPart>>,
    next_part_id: Cell<u64>,
    accept_task: RefCell<Option<tokio::task::JoinHandle<()>>>,
}

impl NodeServer {
    pub(super) fn new(index: usize, address: SocketAddr, model: NodeModel) -> NodeServer {
        NodeServer {
            index,
            address,
            model: RefCell::new(model),
            behavior: Cell::new(NodeBehavior::Healthy),
            connection_epoch: watch::channel(0).0,
            work_arrived: Notify::new(),
            pending: RefCell::default(),
            next_part_id: Cell::new(0),
            accept_task: RefCell::default(),
        }
    }

    /// Closes the listener and all connections, and discards all pending parts.
    pub(super) fn kill(&self) {
        if let Some(task) = self.accept_task.take() {
            task.abort();
        }
        self.end_connections();
        self.pending.borrow_mut().clear();
    }

    /// Cancels a part, so that it is not answered.
    pub(super) fn cancel(&self, now: f64, part: u64) {
        self.model.borrow_mut().cancel(now, part);
        self.pending.borrow_mut().remove(&part);
    }

    fn end_connections(&self) {
        self.connection_epoch.send_modify(|epoch| *epoch += 1);
    }
}

impl Fleet {
    /// Accepts connections to a node in a separate task.
    pub(super) fn listen(self: Rc<Self>, server: Rc<NodeServer>, listener: TcpListener) {
        let accepting = server.clone();
        let task = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::task::spawn_local(
                    self.clone().serve_until_killed(stream, accepting.clone()),
                );
            }
        });
        server.accept_task.replace(Some(task));
    }

    async fn serve_until_killed(self: Rc<Self>, stream: TcpStream, server: Rc<NodeServer>) {
        let mut epoch = server.connection_epoch.subscribe();
        tokio::select! {
            _ = epoch.changed() => {}
            _ = self.serve_connection(stream, &server) => {}
        }
    }

    async fn serve_connection(
        &self,
        stream: TcpStream,
        server: &Rc<NodeServer>,
    ) -> std::io::Result<()> {
        let (reader, mut writer) = stream.into_split();
        let (replies, mut queued) = mpsc::unbounded_channel::<Vec<u8>>();
        let write = async {
            while let Some(bytes) = queued.recv().await {
                if writer.write_all(&bytes).await.is_err() {
                    break;
                }
            }
        };
        let mut reader = BufReader::new(reader);
        let read = async {
            match self.spec.wire {
                Wire::Frames => self.serve_frames(&mut reader, server, &replies).await,
                Wire::OpenSearch => self.serve_searches(&mut reader, server, &replies).await,
            }
        };
        tokio::select! {
            () = write => Ok(()),
            end = read => end,
        }
    }

    /// Runs a node's model in real time and answers the parts that complete.
    pub(super) async fn run_parts(self: Rc<Self>, server: Rc<NodeServer>) {
        loop {
            let next = server.model.borrow().next_completion();
            let at = next.map(|at| self.started_at + Duration::from_secs_f64(at.max(0.0)));
            tokio::select! {
                () = tokio::time::sleep_until(at.unwrap_or_else(Instant::now)), if at.is_some() => {}
                () = server.work_arrived.notified() => {}
            }
            let completed = server.model.borrow_mut().complete_until(self.now());
            for part in completed {
                let pending = server.pending.borrow_mut().remove(&part);
                if let Some(pending) = pending {
                    answer(&server, pending);
                }
            }
        }
    }

    /// Receives a part and records it. A part whose key a holder of its shard knows is worked on and answered, but its
    /// effect is dropped.
    pub(super) fn receive_part(
        &self,
        server: &NodeServer,
        call: &ReceivedCall<'_>,
        reply_to: ReplyTo,
    ) -> ReceivedPart {
        let ReceivedCall {
            text,
            shard,
            first_of_call,
            ..
        } = *call;
        let marker = parse_marker(text).unwrap_or(QueryMarker {
            class: 0,
            query: 0,
            client_try: 0,
        });
        let now = self.now();
        let id = server.next_part_id.get();
        server.next_part_id.set(id + 1);
        let distribution = self.work_distributions[marker.class.min(1)];
        let work = distribution.sample(&mut *self.rng.borrow_mut());
        let admission = match server.behavior.get() {
            NodeBehavior::RejectAll => Admission::Rejected,
            _ => server
                .model
                .borrow_mut()
                .admit(now, id, work, first_of_call),
        };
        let may_have_run = admission != Admission::Rejected;
        let dropped = may_have_run && self.is_known_repeat(now, call);
        self.run_log.borrow_mut().arrivals.push(PartArrival {
            arrived_at: now,
            server: server.index,
            marker,
            shard,
            key: call.key.map(String::from),
            dropped,
            may_have_run,
        });
        match admission {
            Admission::Rejected => {}
            Admission::Overloaded => {
                self.run_log.borrow_mut().overloaded.push(server.index);
                server.behavior.set(NodeBehavior::Silent);
            }
            Admission::Accepted => {
                let pending = PendingPart {
                    reply_to,
                    query: marker.query,
                    shard,
                };
                server.pending.borrow_mut().insert(id, pending);
                server.work_arrived.notify_one();
            }
        }
        ReceivedPart {
            id,
            rejected: admission == Admission::Rejected,
        }
    }
}

/// Answers a part that has run, as the node's behavior requires.
fn answer(server: &NodeServer, pending: PendingPart) {
    let behavior = server.behavior.get();
    // A node that gives wrong values answers with the value of the next query.
    let query = match behavior {
        NodeBehavior::WrongValues => pending.query + 1,
        _ => pending.query,
    };
    let value = expected_value(query, pending.shard);
    let report = server.model.borrow().load_report();
    let (writer, mut bytes) = match pending.reply_to {
        ReplyTo::Frame { writer, id } => (writer, frames::answer_frame(&id, &report, &value)),
        ReplyTo::Search { writer } => (writer, search::hits_response(pending.shard, &value)),
    };
    match behavior {
        NodeBehavior::Silent | NodeBehavior::Dead => return,
        NodeBehavior::ResetMidAnswer => {
            bytes.truncate(bytes.len() / 2);
            let _ = writer.send(bytes);
            server.end_connections();
            return;
        }
        NodeBehavior::Garbage => bytes = vec![0xff; 64],
        NodeBehavior::Healthy | NodeBehavior::RejectAll | NodeBehavior::WrongValues => {}
    }
    let _ = writer.send(bytes);
}
