//! The task of a connection: writes commands as frames, reads frames as events, and says at the end what never ran.

use super::answers::AwaitedAnswers;
use super::codec::{
    encode_call, encode_cancel, encode_health_check, outcome, parse_frame, parse_load_report,
    Frame, PartAnswerFrame,
};
use super::contracts;
use super::fault::ConnectionFault;
use super::outbound::OutboundQueue;
use crate::connections::handle::{Command, ConnectionHandle};
use crate::connections::socket;
use crate::messages::{AttemptId, ConnectionEvent, OutboundAttempt, PartValue};
use cairnroad_types::Outcome;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::Instant;

/// How long a frame may take to arrive once it has begun. Servers write theirs in one go; one that stands still for
/// longer has a wrong length, and the part that it was for would wait for its timeout.
const PARTIAL_FRAME_TIMEOUT: Duration = Duration::from_millis(150);

/// Runs a connection from the dial to the close.
pub async fn run(handle: ConnectionHandle) {
    let Some(stream) = handle.dial().await else {
        return handle.close(Vec::new(), Outcome::ConnectFailed).await;
    };
    let (mut reader, mut writer) = stream.into_split();
    let mut connection = FrameConnection::new(handle);
    let served = connection.serve(&mut reader, &mut writer).await;
    connection.handle.poison();
    match served {
        Ok(()) => connection.on_broken(&reader).await,
        // A connection that is closed for what was received on it was not broken by the server, and a query whose
        // answers came malformed is not what breaks it.
        Err(fault) => {
            connection.log(&fault);
            let outcomes = UnfinishedOutcomes {
                in_flight: Outcome::Error,
                unsent: Outcome::NotSent,
            };
            connection.finish(outcomes).await;
        }
    }
}

/// A part that may not be written any more.
struct Unsendable {
    attempt: AttemptId,
    /// Says that it never ran, and why.
    outcome: Outcome,
}

/// The outcomes of parts that are unfinished when a connection ends.
struct UnfinishedOutcomes {
    /// Of parts that are completely written and not answered.
    in_flight: Outcome,
    /// Of parts that are not completely written, which never ran.
    unsent: Outcome,
}

/// A connection's state.
struct FrameConnection {
    handle: ConnectionHandle,
    outbound: OutboundQueue,
    answers: AwaitedAnswers,
    /// Bytes received that are not a complete frame yet.
    buffer: Vec<u8>,
    /// When the incomplete frame in the buffer must be complete; `None` if there is none.
    partial_deadline: Option<Instant>,
}

impl FrameConnection {
    fn new(handle: ConnectionHandle) -> Self {
        FrameConnection {
            handle,
            outbound: OutboundQueue::default(),
            answers: AwaitedAnswers::default(),
            buffer: Vec::new(),
            partial_deadline: None,
        }
    }

    /// Serves until the connection breaks or the core asks to close it; an error if what was received can't be used.
    async fn serve(
        &mut self,
        reader: &mut OwnedReadHalf,
        writer: &mut OwnedWriteHalf,
    ) -> Result<(), ConnectionFault> {
        loop {
            self.receive_commands();
            for part in self.load_next_frame() {
                self.handle
                    .report_attempt(part.attempt, part.outcome, None)
                    .await;
            }
            let partial_deadline = self.partial_deadline.unwrap_or_else(Instant::now);
            tokio::select! {
                // What was received is read before anything is written: it may poison the connection.
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

    /// Takes in the commands that wait, so that a cancel finds its part before the part is written.
    fn receive_commands(&mut self) {
        while self.outbound.has_room() {
            let Ok(command) = self.handle.commands.try_recv() else {
                break;
            };
            self.outbound.push(command);
        }
    }

    /// Loads the next frame, once the one before it is written. Returns the parts that may not be written any more.
    fn load_next_frame(&mut self) -> Vec<Unsendable> {
        let mut unsendable = Vec::new();
        while !self.outbound.is_writing() {
            match self.outbound.pop() {
                None => break,
                Some(Command::Call(parts)) => self.load_call(parts, &mut unsendable),
                Some(Command::Cancel(attempt)) => self.load_cancel(attempt),
                Some(Command::HealthCheck) => self.load_health_check(),
            }
        }
        unsendable
    }

    fn load_call(&mut self, parts: Vec<OutboundAttempt>, unsendable: &mut Vec<Unsendable>) {
        let mut reject = |parts: Vec<OutboundAttempt>, outcome| {
            unsendable.extend(parts.into_iter().map(|part| Unsendable {
                attempt: part.attempt,
                outcome,
            }));
        };
        if let Some(outcome) = self.write_block() {
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

    /// Returns why no call may be written, as an outcome that says it never ran: the server is draining or removed, or
    /// the connection is poisoned or in the middle of a frame, which may never end.
    fn write_block(&self) -> Option<Outcome> {
        if self.handle.is_draining() {
            return Some(Outcome::ConnectFailed);
        }
        let is_suspect = self.answers.is_poisoned() || !self.buffer.is_empty();
        is_suspect.then_some(Outcome::NotSent)
    }

    fn load_cancel(&mut self, attempt: AttemptId) {
        if let Some(id) = self.answers.cancel(attempt) {
            contracts::check_cancel(&self.handle, &id);
            self.outbound.start_frame(encode_cancel(&id), Vec::new());
        }
    }

    fn load_health_check(&mut self) {
        self.answers.health_checks += 1;
        contracts::check_health_check(&self.handle);
        self.outbound.start_frame(encode_health_check(), Vec::new());
    }

    fn on_written(&mut self, bytes: usize) {
        for part in self.outbound.on_written(bytes) {
            self.answers.expect(part);
        }
    }

    /// Processes what was received, and sets the deadline of a frame that is incomplete.
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

    /// Takes all complete frames off the buffer and applies them. Returns how many bytes that took; an error if what was
    /// received can't be used, nor what follows it.
    async fn process_frames(&mut self) -> Result<usize, ConnectionFault> {
        // The frames borrow the buffer while they are applied.
        let mut buffer = std::mem::take(&mut self.buffer);
        let mut processed = 0;
        while let Some((frame, length)) = parse_frame(&buffer[processed..])? {
            processed += length;
            let more_follows = buffer.len() > processed;
            self.on_frame(frame, more_follows).await?;
        }
        buffer.drain(..processed);
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
        // Bytes behind the last awaited answer belong to nothing that was asked.
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
            None => Err(ConnectionFault::UnknownEnd(answer.status.to_string())),
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
        if self.answers.health_checks == 0 {
            return Err(ConnectionFault::UnsolicitedLoadReport);
        }
        self.answers.health_checks -= 1;
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

    fn log(&self, fault: &ConnectionFault) {
        let cause = fault.to_string();
        let help = fault.help();
        tracing::warn!(server = %self.handle.address, cause, help, "server connection closed");
    }

    /// Ends a connection that broke or that the core closed. What was received before the end still counts; the other
    /// parts that are in flight may have run.
    async fn on_broken(mut self, reader: &OwnedReadHalf) {
        // A write may fail before the answers are read that were received before the break.
        socket::read_available(reader.as_ref(), &mut self.buffer);
        let _ = self.process_frames().await;
        let outcomes = UnfinishedOutcomes {
            in_flight: Outcome::Reset,
            unsent: Outcome::ConnectFailed,
        };
        self.finish(outcomes).await;
    }

    /// Reports everything that is unfinished, then the close.
    async fn finish(mut self, outcomes: UnfinishedOutcomes) {
        for part in self.answers.take_all() {
            self.handle
                .report_attempt(part.attempt, outcomes.in_flight, None)
                .await;
        }
        for _ in 0..self.answers.health_checks {
            self.handle.report_failed_health_check(Outcome::Reset).await;
        }
        let (mut unsent, pending) = self.outbound.into_unsent();
        for command in pending {
            match command {
                Command::Call(parts) => unsent.extend(parts),
                Command::HealthCheck => {
                    self.handle
                        .report_failed_health_check(Outcome::ConnectFailed)
                        .await;
                }
                Command::Cancel(_) => {}
            }
        }
        self.handle.close(unsent, outcomes.unsent).await;
    }
}
