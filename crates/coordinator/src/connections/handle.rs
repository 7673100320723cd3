//! The interface between a connection task, which owns the socket, and the core.

use super::socket::READ_SIZE;
use crate::clock::Clock;
use crate::contract::Contracts;
use crate::memory::MemoryReservation;
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

/// A command from the core to a connection task.
pub enum ConnectionCommand {
    /// Sends these parts as one call.
    Call(Vec<OutboundAttempt>),
    /// Stops waiting for an attempt and notifies the server.
    Cancel(AttemptId),
    /// Requests the server's load report.
    HealthCheck,
}

/// State that the core and the connection task share, so that changes take effect without a message.
///
/// The flags are independent: a draining connection may be poisoned as well, and poisoning may be revoked.
#[derive(Default)]
pub struct SharedState {
    draining: Cell<bool>,
    poisoned: Cell<bool>,
    close_requested: Notify,
}

impl SharedState {
    /// Returns whether the server is draining or removed. No further calls may be written in that case.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Sets whether the server is draining or removed.
    pub fn set_draining(&self, draining: bool) {
        self.draining.set(draining);
    }

    /// Returns whether the connection is poisoned: the task is about to close it because of invalid or unsolicited
    /// data, or the server stopped in the middle of an answer. No further calls should be queued in that case.
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

    /// Completes once the core has requested to close the connection.
    pub async fn close_requested(&self) {
        self.close_requested.notified().await;
    }
}

/// The connection task's access to the core: the commands that it receives and the channel for its events.
pub struct ConnectionHandle {
    /// The id of the connection in reports to the core.
    pub id: ConnectionId,
    /// The id of the server in endpoint lists.
    pub server: Arc<str>,
    /// The address to dial.
    pub address: SocketAddr,
    /// The descriptions that messages are checked against.
    pub contracts: Rc<Contracts>,
    /// Commands from the core, in order.
    pub commands: mpsc::Receiver<ConnectionCommand>,
    /// The state shared with the core.
    pub shared: Rc<SharedState>,
    /// The program's clock.
    pub clock: Clock,
    /// The names of the values in a load report, in the order of the settings.
    pub report_names: Arc<[String]>,
    /// The channel for messages to the core.
    pub core: mpsc::Sender<CoreMessage>,
    /// The memory of received bytes that form no complete answer yet.
    pub memory: MemoryReservation,
}

impl ConnectionHandle {
    /// Records that the received bytes occupy `size` bytes. Returns false if the memory for all servers' bytes is used up;
    /// the connection then has to be closed.
    pub fn reserve(&self, size: usize) -> bool {
        // The first read of each connection is accounted for with the connection itself.
        self.memory.resize(size.saturating_sub(READ_SIZE))
    }

    /// Returns whether the server is draining or removed.
    pub fn is_draining(&self) -> bool {
        self.shared.is_draining()
    }

    /// Marks the connection as poisoned, so that the core stops queuing calls on it even before it processes the event
    /// `Closed`.
    pub fn poison(&self) {
        self.shared.set_poisoned(true);
    }

    /// Sends an event to the core. The event is dropped if the core has ended.
    pub async fn notify(&self, event: ConnectionEvent) {
        let report = ConnectionReport {
            connection: self.id,
            event,
        };
        let _ = self.core.send(CoreMessage::Connection(report)).await;
    }

    /// Reports the end of an attempt.
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

    /// Reports that attempts ended without a value, all with the same outcome.
    pub async fn report_failed_parts(&self, parts: Vec<OutboundAttempt>, outcome: Outcome) {
        for part in parts {
            self.report_attempt(part.attempt, outcome, None).await;
        }
    }

    /// Reports that a health check ended without a load report.
    pub async fn report_failed_health_check(&self, outcome: Outcome) {
        self.notify(ConnectionEvent::HealthCheckEnded {
            outcome,
            report: Vec::new(),
        })
        .await;
    }

    /// Dials the server and reports that the connection is established. Returns `None` if dialling fails or the core
    /// requests to close the connection first.
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

    /// Reports the parts and commands that were never written, then the event `Closed`.
    ///
    /// `reason` is the outcome of these parts, which states why they never ran: `ConnectFailed` if the server could not
    /// be reached or the connection was lost; `NotSent` if this side closed the connection, which says nothing about
    /// the server's health.
    pub async fn close(mut self, unsent: Vec<OutboundAttempt>, reason: Outcome) {
        self.report_failed_parts(unsent, reason).await;
        self.commands.close();
        while let Ok(command) = self.commands.try_recv() {
            self.reject(command, reason).await;
        }
        self.notify(ConnectionEvent::Closed).await;
    }

    /// Reports a command that was not executed; `reason` is the outcome of the parts of a call.
    async fn reject(&self, command: ConnectionCommand, reason: Outcome) {
        match command {
            ConnectionCommand::Call(parts) => self.report_failed_parts(parts, reason).await,
            ConnectionCommand::HealthCheck => {
                self.report_failed_health_check(Outcome::ConnectFailed)
                    .await;
            }
            ConnectionCommand::Cancel(_) => {}
        }
    }
}
