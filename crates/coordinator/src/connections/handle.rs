//! The side of a connection that belongs to the task holding its socket.

use crate::clock::Clock;
use crate::contract::Contracts;
use crate::messages::{
    AttemptId, ConnectionEvent, ConnectionId, ConnectionReport, CoreMessage, OutboundAttempt,
    PartValue,
};
use cairnroad_types::Outcome;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};

/// What the core asks of a connection's task.
pub enum Command {
    /// Send these parts as one call.
    Call(Vec<OutboundAttempt>),
    /// Stop waiting for an attempt and notify the server.
    Cancel(AttemptId),
    /// Ask the server for its load report.
    HealthCheck,
}

/// State that both sides of a connection see at once, without a message in between.
///
/// The flags are independent: a draining connection may be poisoned as well, and poisoning may be revoked.
#[derive(Default)]
pub struct SharedState {
    draining: Cell<bool>,
    poisoned: Cell<bool>,
    close_requested: Notify,
}

impl SharedState {
    /// Whether the server is draining or removed: nothing new may be written.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Sets whether the server is draining or removed.
    pub fn set_draining(&self, draining: bool) {
        self.draining.set(draining);
    }

    /// Whether nothing new should be queued: the task is about to close the connection for what was received on
    /// it, or the server stopped in the middle of an answer.
    pub fn is_poisoned(&self) -> bool {
        self.poisoned.get()
    }

    /// Sets whether the connection is poisoned.
    pub fn set_poisoned(&self, poisoned: bool) {
        self.poisoned.set(poisoned);
    }

    /// Asks the task to close the connection.
    pub fn request_close(&self) {
        self.close_requested.notify_one();
    }

    /// Resolves once the core has asked to close the connection.
    pub async fn close_requested(&self) {
        self.close_requested.notified().await;
    }
}

/// What the task behind a connection holds: its commands, and the way back to the core.
pub struct ConnectionHandle {
    /// The name of the connection in reports to the core.
    pub id: ConnectionId,
    /// The server's id, as endpoint lists have it.
    pub server: Arc<str>,
    /// The address to dial.
    pub address: SocketAddr,
    /// The descriptions that messages are checked against.
    pub contracts: Rc<Contracts>,
    /// Commands from the core, in order.
    pub commands: mpsc::Receiver<Command>,
    /// The state shared with the core.
    pub shared: Rc<SharedState>,
    /// The program's clock.
    pub clock: Clock,
    /// Names of a load report's values, in the settings' order.
    pub report_names: Arc<[String]>,
    /// Messages to the core.
    pub core: mpsc::Sender<CoreMessage>,
}

impl ConnectionHandle {
    /// Whether the server is draining or removed.
    pub fn is_draining(&self) -> bool {
        self.shared.is_draining()
    }

    /// Keeps the core from queuing more here at once, not only when it receives the close.
    pub fn poison(&self) {
        self.shared.set_poisoned(true);
    }

    /// Sends an event to the core. Events of a core that is gone are dropped.
    pub async fn notify(&self, event: ConnectionEvent) {
        let report = ConnectionReport {
            connection: self.id,
            event,
        };
        let _ = self.core.send(CoreMessage::Connection(report)).await;
    }

    /// Reports how an attempt ended.
    pub async fn report_attempt(
        &self,
        attempt: AttemptId,
        outcome: Outcome,
        value: Option<PartValue>,
    ) {
        self.notify(ConnectionEvent::AttemptEnded {
            attempt,
            outcome,
            value,
        })
        .await;
    }

    /// Reports that none of these parts brought a value, all for the same reason.
    pub async fn report_failed_parts(&self, parts: Vec<OutboundAttempt>, outcome: Outcome) {
        for part in parts {
            self.report_attempt(part.attempt, outcome, None).await;
        }
    }

    /// Reports that a health check brought no load report.
    pub async fn report_failed_health_check(&self, outcome: Outcome) {
        self.notify(ConnectionEvent::HealthCheckEnded {
            outcome,
            report: Vec::new(),
        })
        .await;
    }

    /// Dials the server and reports the connection. `None` if that fails or the core asks to close it first.
    pub async fn dial(&self) -> Option<TcpStream> {
        tokio::select! {
            biased;
            () = self.shared.close_requested() => None,
            stream = TcpStream::connect(self.address) => {
                let stream = stream.ok()?;
                let _ = stream.set_nodelay(true);
                self.notify(ConnectionEvent::Connected).await;
                Some(stream)
            }
        }
    }

    /// Reports everything that was never written, then the close.
    ///
    /// `reason` states why the parts never ran: `ConnectFailed` without a connection; `NotSent` where the connection
    /// was closed from this side, which says nothing of the server's health.
    pub async fn close(mut self, unsent: Vec<OutboundAttempt>, reason: Outcome) {
        self.report_failed_parts(unsent, reason).await;
        self.commands.close();
        while let Ok(command) = self.commands.try_recv() {
            self.reject(command, reason).await;
        }
        self.notify(ConnectionEvent::Closed).await;
    }

    /// Reports a command that was not carried out; `reason` is the outcome of a call's parts.
    async fn reject(&self, command: Command, reason: Outcome) {
        match command {
            Command::Call(parts) => self.report_failed_parts(parts, reason).await,
            Command::HealthCheck => {
                self.report_failed_health_check(Outcome::ConnectFailed)
                    .await;
            }
            Command::Cancel(_) => {}
        }
    }
}
