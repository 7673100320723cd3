//! The connection task: writes commands as frames, reads frames (see [`inbound`](super::inbound)) and reports them as
//! events, and reports at the end which parts never ran.

use super::answers::AwaitedAnswers;
use super::codec::{encode_call, encode_cancel, encode_health_check, FrameParser};
use super::contracts;
use super::fault::ConnectionFault;
use super::outbound::OutboundQueue;
use crate::connections::handle::{ConnectionCommand, ConnectionHandle};
use crate::connections::socket::{self, READ_SIZE};
use crate::messages::{AttemptId, OutboundAttempt};
use bytes::BytesMut;
use cairnroad_types::Outcome;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::Instant;

/// Maximum time for a frame to arrive completely after its first bytes. Servers write each frame at once; a frame that
/// takes longer has a wrong length, and the part that it answers would wait for its timeout.
pub(super) const PARTIAL_FRAME_TIMEOUT: Duration = Duration::from_millis(150);

/// Runs a connection from the dial to the close.
pub async fn run(handle: ConnectionHandle) {
    let Some(stream) = handle.dial().await else {
        return handle.close(Vec::new(), Outcome::ConnectFailed).await;
    };
    let (mut reader, mut writer) = stream.into_split();
    let mut connection = FrameConnection::new(handle);
    let result = connection.serve(&mut reader, &mut writer).await;
    connection.handle.poison();
    match result {
        Ok(()) => connection.on_connection_lost(&reader).await,
        // This side closes the connection because of the data that it received. The server did not break it, and
        // neither did a query whose answers were malformed, so the outcomes are not those of a lost connection.
        Err(fault) => {
            connection.log_fault(&fault);
            let outcomes = UnfinishedOutcomes {
                in_flight: Outcome::Error,
                unsent: Outcome::NotSent,
            };
            connection.finish(outcomes).await;
        }
    }
}

/// A part that must no longer be written.
struct RejectedPart {
    attempt: AttemptId,
    /// The outcome, which states why the part never ran.
    outcome: Outcome,
}

/// The outcomes of the parts that are unfinished when a connection ends.
struct UnfinishedOutcomes {
    /// The outcome of parts that were completely written but not answered.
    in_flight: Outcome,
    /// The outcome of parts that were not completely written and therefore never ran.
    unsent: Outcome,
}

/// The state of a connection.
pub(super) struct FrameConnection {
    pub(super) handle: ConnectionHandle,
    outbound: OutboundQueue,
    pub(super) answers: AwaitedAnswers,
    /// Received bytes that do not form a complete frame yet.
    pub(super) buffer: BytesMut,
    pub(super) parser: FrameParser,
    /// The attempt that was answered last with a value, until the start of another frame confirms the length of its answer.
    pub(super) unconfirmed_answer: Option<AttemptId>,
    /// The time by which the incomplete frame in the buffer must be complete; `None` if the buffer is empty.
    pub(super) partial_deadline: Option<Instant>,
}

impl FrameConnection {
    fn new(handle: ConnectionHandle) -> Self {
        FrameConnection {
            handle,
            outbound: OutboundQueue::default(),
            answers: AwaitedAnswers::default(),
            buffer: BytesMut::new(),
            parser: FrameParser::default(),
            unconfirmed_answer: None,
            partial_deadline: None,
        }
    }

    /// Serves until the connection is lost or the core requests to close it. Fails if the received data can't be used.
    async fn serve(
        &mut self,
        reader: &mut OwnedReadHalf,
        writer: &mut OwnedWriteHalf,
    ) -> Result<(), ConnectionFault> {
        loop {
            self.receive_commands();
            for part in self.start_next_frame() {
                self.handle
                    .report_attempt(part.attempt, part.outcome, None)
                    .await;
            }
            let partial_deadline = self.partial_deadline.unwrap_or_else(Instant::now);
            self.buffer.reserve(READ_SIZE);
            tokio::select! {
                // Received data is processed before anything is written, because it may poison the connection.
                biased;
                () = self.handle.shared.close_requested() => return Ok(()),
                read = reader.read_buf(&mut self.buffer) => match read {
                    Ok(0) | Err(_) => return Ok(()),
                    Ok(_) => {
                        // What follows a frame decides whether it is trusted, so all that has arrived is read first.
                        if self.buffer.len() == self.buffer.capacity() {
                            socket::read_available(reader.as_ref(), &mut self.buffer);
                        }
                        self.on_received().await?;
                        self.release_empty_buffer();
                        if !self.handle.reserve(self.buffer.capacity()) {
                            return Err(ConnectionFault::OutOfMemory);
                        }
                    }
                },
                () = tokio::time::sleep_until(partial_deadline), if self.partial_deadline.is_some() => {
                    return Err(ConnectionFault::PartialFrame);
                }
                written = writer.write(self.outbound.unwritten()), if self.outbound.is_writing() => match written {
                    Ok(bytes) if bytes > 0 => self.on_written(bytes),
                    _ => return Ok(()),
                },
                command = self.handle.commands.recv(), if self.outbound.has_room() => match command {
                    Some(command) => self.outbound.push(command),
                    None => return Ok(()),
                },
            }
        }
    }

    /// Gives up a buffer that grew for a large answer.
    fn release_empty_buffer(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > READ_SIZE {
            self.buffer = BytesMut::new();
        }
    }

    /// Moves all waiting commands to the outbound queue, so that a cancel can remove its part before the part is
    /// written.
    fn receive_commands(&mut self) {
        while self.outbound.has_room() {
            let Ok(command) = self.handle.commands.try_recv() else {
                break;
            };
            self.outbound.push(command);
        }
    }

    /// Starts to write the next frame if the previous one is written. Returns the parts that must no longer be written.
    fn start_next_frame(&mut self) -> Vec<RejectedPart> {
        let mut rejected = Vec::new();
        while !self.outbound.is_writing() {
            match self.outbound.pop() {
                None => break,
                Some(ConnectionCommand::Call(parts)) => self.start_call(parts, &mut rejected),
                Some(ConnectionCommand::Cancel(attempt)) => self.start_cancel(attempt),
                Some(ConnectionCommand::HealthCheck) => self.start_health_check(),
            }
        }
        rejected
    }

    fn start_call(&mut self, parts: Vec<OutboundAttempt>, rejected: &mut Vec<RejectedPart>) {
        let mut reject = |parts: Vec<OutboundAttempt>, outcome| {
            rejected.extend(parts.into_iter().map(|part| RejectedPart {
                attempt: part.attempt,
                outcome,
            }));
        };
        if let Some(outcome) = self.call_rejection() {
            return reject(parts, outcome);
        }
        let now = self.handle.clock.now();
        let (parts, expired) = parts.into_iter().partition(|part| part.may_be_sent(now));
        reject(expired, Outcome::NotSent);
        if parts.is_empty() {
            return;
        }
        let frame = encode_call(&parts, now);
        for part in &parts {
            contracts::check_call(&self.handle, part, now);
        }
        self.outbound.start_frame(frame, parts);
    }

    /// Returns the outcome for calls if no call may be written now: the server is draining or removed, or the
    /// connection is poisoned, or a frame from the server is incomplete and may never be completed. Returns `None` if
    /// calls may be written.
    fn call_rejection(&self) -> Option<Outcome> {
        if self.handle.is_draining() {
            return Some(Outcome::ConnectFailed);
        }
        let is_suspect = self.answers.is_poisoned() || !self.buffer.is_empty();
        is_suspect.then_some(Outcome::NotSent)
    }

    fn start_cancel(&mut self, attempt: AttemptId) {
        if let Some(id) = self.answers.cancel(attempt) {
            contracts::check_cancel(&self.handle, &id);
            self.outbound.start_frame(encode_cancel(&id), Vec::new());
        }
    }

    fn start_health_check(&mut self) {
        self.answers.pending_health_checks += 1;
        contracts::check_health_check(&self.handle);
        self.outbound.start_frame(encode_health_check(), Vec::new());
    }

    fn on_written(&mut self, bytes: usize) {
        for part in self.outbound.on_written(bytes) {
            self.answers.expect(part);
        }
    }

    fn log_fault(&self, fault: &ConnectionFault) {
        let cause = fault.to_string();
        let help = fault.help();
        tracing::warn!(server = %self.handle.address, cause, help, "server connection closed");
    }

    /// Ends a connection that was lost or that the core closed. Answers received before the end are still processed;
    /// the other parts in flight may have run.
    async fn on_connection_lost(mut self, reader: &OwnedReadHalf) {
        // After a failed write, the socket may still hold answers that were received before the connection was lost.
        socket::read_available(reader.as_ref(), &mut self.buffer);
        let _ = self.process_frames().await;
        let outcomes = UnfinishedOutcomes {
            in_flight: Outcome::Reset,
            unsent: Outcome::ConnectFailed,
        };
        self.finish(outcomes).await;
    }

    /// Reports the results of all unfinished parts and health checks, then the close.
    async fn finish(mut self, outcomes: UnfinishedOutcomes) {
        for part in self.answers.take_all() {
            self.handle
                .report_attempt(part.attempt, outcomes.in_flight, None)
                .await;
        }
        for _ in 0..self.answers.pending_health_checks {
            self.handle.report_failed_health_check(Outcome::Reset).await;
        }
        let (mut unsent, pending) = self.outbound.into_unsent();
        for command in pending {
            match command {
                ConnectionCommand::Call(parts) => unsent.extend(parts),
                ConnectionCommand::HealthCheck => {
                    self.handle
                        .report_failed_health_check(Outcome::ConnectFailed)
                        .await;
                }
                ConnectionCommand::Cancel(_) => {}
            }
        }
        self.handle.close(unsent, outcomes.unsent).await;
    }
}
