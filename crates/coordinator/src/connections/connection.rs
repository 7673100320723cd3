//! A connection to a server, as the task that holds its socket sees it: the core's commands come by a bounded queue,
//! and what comes of them is told. The core's end is `pool`; the tasks are in `backends`.

use crate::clock::Clock;
use crate::contract::Contracts;
use crate::messages::{
    Attempt, ConnectionEvent, ConnectionReport, Message, OutboundAttempt, Value,
};
use cairnroad_types::Outcome;
use std::cell::Cell;
use std::io::Read;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, Notify};

/// The most that one look at a socket takes.
const MAX_READ_AHEAD: usize = 128 * 1024;

/// What the core asks of a connection.
pub enum Command {
    /// Parts that make up one call.
    Call(Vec<OutboundAttempt>),
    Cancel(Attempt),
    HealthCheck,
}

/// What both ends of a connection see at once.
#[derive(Default)]
pub struct Shared {
    /// Nothing new may be written: its server drains or is gone.
    pub draining: Cell<bool>,
    /// Nothing new should be queued: the connection is about to be closed for what came on it, or stands in the
    /// middle of an answer.
    pub poisoned: Cell<bool>,
    /// The core is done with the connection.
    pub close: Notify,
}

impl Shared {
    /// Resolves once the core is done with the connection.
    pub async fn closed(&self) {
        self.close.notified().await;
    }
}

/// The task's end of a connection.
pub struct ConnectionHandle {
    pub id: u64,
    /// The server's id.
    pub server: Arc<str>,
    pub address: SocketAddr,
    /// What its traffic is held against.
    pub contracts: Rc<Contracts>,
    pub commands: mpsc::Receiver<Command>,
    pub shared: Rc<Shared>,
    pub clock: Clock,
    /// Names of a load report's values, in the settings' order.
    pub report_names: Arc<[String]>,
    pub core: mpsc::Sender<Message>,
}

impl ConnectionHandle {
    pub fn is_draining(&self) -> bool {
        self.shared.draining.get()
    }

    /// Keeps the core from queuing more here, from now on and not only once it hears of the end.
    pub fn poison(&self) {
        self.set_poisoned(true);
    }

    pub fn set_poisoned(&self, poisoned: bool) {
        self.shared.poisoned.set(poisoned);
    }

    pub async fn notify(&self, what: ConnectionEvent) {
        let _ = self
            .core
            .send(Message::Connection(ConnectionReport {
                connection: self.id,
                event: what,
            }))
            .await;
    }

    pub async fn report_attempt(&self, attempt: Attempt, outcome: Outcome, value: Option<Value>) {
        self.notify(ConnectionEvent::AttemptEnded {
            attempt,
            outcome,
            value,
        })
        .await;
    }

    /// Dials; `None` if that fails or the core ends it first.
    pub async fn dial(&self) -> Option<tokio::net::TcpStream> {
        tokio::select! {
            biased;
            () = self.shared.closed() => None,
            stream = tokio::net::TcpStream::connect(self.address) => {
                let stream = stream.ok()?;
                let _ = stream.set_nodelay(true);
                self.notify(ConnectionEvent::Connected).await;
                Some(stream)
            }
        }
    }

    /// Reports what never reached the wire, then the end. `why` says that it never ran: no connection, or, where
    /// the connection was closed from here, never sent, which says nothing of the server's health.
    pub async fn close(mut self, unsent: Vec<OutboundAttempt>, why: Outcome) {
        for job in unsent {
            self.report_attempt(job.attempt, why, None).await;
        }
        self.commands.close();
        while let Ok(command) = self.commands.try_recv() {
            match command {
                Command::Call(jobs) => {
                    for job in jobs {
                        self.report_attempt(job.attempt, why, None).await;
                    }
                }
                Command::HealthCheck => {
                    self.notify(ConnectionEvent::HealthCheckEnded {
                        outcome: Outcome::ConnectFailed,
                        report: Vec::new(),
                    })
                    .await
                }
                Command::Cancel(_) => {}
            }
        }
        self.notify(ConnectionEvent::Closed).await;
    }
}

/// Reads what lies in the socket at this very moment, whatever the runtime has heard of it. Whether that was anything.
/// Guards against a close that crosses what has just come: it would be lost, and the connection reset.
pub fn read_available(stream: &tokio::net::TcpStream, buffer: &mut Vec<u8>) -> bool {
    let before = buffer.len();
    let mut chunk = [0; 4096];
    while buffer.len() - before < MAX_READ_AHEAD {
        match (&*socket2::SockRef::from(stream)).read(&mut chunk) {
            Ok(bytes) if bytes > 0 => buffer.extend_from_slice(&chunk[..bytes]),
            _ => break,
        }
    }
    buffer.len() > before
}
