//! The connection task: writes commands as frames, reads frames and reports them as events, and reports at the end
//! which parts never ran.

use super::answers::AwaitedAnswers;
use super::codec::{
    encode_call, encode_cancel, encode_health_check, outcome, parse_load_report, Frame,
    FrameParser, PartAnswerFrame,
};
use super::contracts;
use super::fault::ConnectionFault;
use super::outbound::OutboundQueue;
use crate::connections::handle::{ConnectionCommand, ConnectionHandle};
use crate::connections::socket;
use crate::messages::{AttemptId, ConnectionEvent, OutboundAttempt, PartValue};
use bytes::{Buf, BytesMut};
use cairnroad_types::Outcome;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::Instant;

/// Maximum time for a frame to arrive completely after its first bytes. Servers write each frame at once; a frame that
/// takes longer has a wrong length, and the part that it answers would wait for its timeout.
pub(super) const PARTIAL_FRAME_TIMEOUT: Duration = Duration::from_millis(150);

/// Room for each read, in bytes. A read can return no more, which bounds the work between two reads.
const READ_SIZE: usize = 4 * 1024;

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
struct FrameConnection {
    handle: ConnectionHandle,
    outbound: OutboundQueue,
    answers: AwaitedAnswers,
    /// Received bytes that do not form a complete frame yet.
    buffer: BytesMut,
    parser: FrameParser,
    /// The time by which the incomplete frame in the buffer must be complete; `None` if the buffer is empty.
    partial_deadline: Option<Instant>,
}

impl FrameConnection {
    fn new(handle: ConnectionHandle) -> Self {
        FrameConnection {
            handle,
            outbound: OutboundQueue::default(),
            answers: AwaitedAnswers::default(),
            buffer: BytesMut::new(),
            parser: FrameParser::default(),
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
                    Ok(_) => self.on_received().await?,
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

    /// Processes the received data and sets the deadline for an incomplete frame.
    async fn on_received(&mut self) -> Result<(), ConnectionFault> {
        let processed = self.process_frames().await?;
        let begins_frame = processed > 0 || self.partial_deadline.is_none();
        if self.buffer.is_empty() {
            self.partial_deadline = None;
        } else if begins_frame {
            self.partial_deadline = Some(Instant::now() + PARTIAL_FRAME_TIMEOUT);
        }
        let poisoned = self.answers.is_poisoned() || self.partial_deadline.is_some();
        self.handle.shared.set_poisoned(poisoned);
        Ok(())
    }

    /// Removes all complete frames from the buffer and processes them. Returns the number of bytes removed. Fails if
    /// the received data, and therefore the data that follows it, can't be used.
    async fn process_frames(&mut self) -> Result<usize, ConnectionFault> {
        // The frames borrow the buffer while they are processed.
        let mut buffer = std::mem::take(&mut self.buffer);
        let mut processed = 0;
        while let Some((frame, length)) = self.parser.parse(&buffer[processed..])? {
            processed += length;
            let more_follows = buffer.len() > processed;
            self.on_frame(frame, more_follows).await?;
        }
        buffer.advance(processed);
        self.buffer = buffer;
        if self.answers.is_poisoned() && self.answers.is_empty() {
            return Err(ConnectionFault::DuplicateAnswer);
        }
        Ok(processed)
    }

    async fn on_frame(
        &mut self,
        frame: Frame<'_>,
        more_follows: bool,
    ) -> Result<(), ConnectionFault> {
        match frame {
            Frame::Answer(answer) => self.on_answer(&answer, more_follows).await,
            Frame::LoadReport(report) => self.on_load_report(report).await,
            Frame::Ping => Err(ConnectionFault::UnsolicitedPing),
            Frame::Error(text) => {
                contracts::check_error(&self.handle, &text);
                Err(ConnectionFault::RejectedFrame(text))
            }
        }
    }

    async fn on_answer(
        &mut self,
        answer: &PartAnswerFrame<'_>,
        more_follows: bool,
    ) -> Result<(), ConnectionFault> {
        let Some(awaited) = self.answers.take(answer.id) else {
            return self.on_unmatched_answer(answer.id).await;
        };
        let stated = outcome(answer.status);
        // Data that follows the last awaited answer was not requested.
        let is_suspect = stated.is_none() || (self.answers.is_empty() && more_follows);
        if is_suspect {
            self.handle.poison();
        }
        let is_usable = contracts::check_answer(&self.handle, &awaited.contracts, answer);
        let outcome = match stated {
            Some(outcome) if is_usable => outcome,
            _ => Outcome::Error,
        };
        let value = (outcome == Outcome::Ok).then(|| PartValue::Plain(answer.value.into()));
        self.handle
            .report_attempt(awaited.attempt, outcome, value)
            .await;
        match stated {
            Some(_) => Ok(()),
            None => Err(ConnectionFault::UnknownStatus(answer.status.to_string())),
        }
    }

    async fn on_unmatched_answer(&mut self, id: &str) -> Result<(), ConnectionFault> {
        self.answers.on_unmatched(id)?;
        if self.answers.is_poisoned() {
            self.handle.poison();
        }
        self.handle
            .notify(ConnectionEvent::CancelledAttemptAnswered)
            .await;
        Ok(())
    }

    async fn on_load_report(&mut self, text: &[u8]) -> Result<(), ConnectionFault> {
        if self.answers.pending_health_checks == 0 {
            return Err(ConnectionFault::UnsolicitedLoadReport);
        }
        self.answers.pending_health_checks -= 1;
        contracts::check_load_report(&self.handle, text);
        let outcome = if text == b"err" {
            Outcome::Error
        } else {
            Outcome::Ok
        };
        let report = parse_load_report(&String::from_utf8_lossy(text), &self.handle.report_names);
        self.handle
            .notify(ConnectionEvent::HealthCheckEnded { outcome, report })
            .await;
        Ok(())
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
