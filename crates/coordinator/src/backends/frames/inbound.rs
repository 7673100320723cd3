//! The receiving side of a connection: processes the frames that the server sends, and decides which answers are trusted.
//!
//! A frame states its own length, and nothing else tells where a value ends. An answer is therefore trusted only if what
//! follows it can be the start of another frame, or if nothing follows. If the bytes behind an answer turn out later not to
//! be a frame, the answer is retracted, which fails its request unless the client has already been answered.

use super::codec::{
    check_frame_start, outcome, parse_load_report, Frame, PartAnswerFrame, FRAME_START_LENGTH,
};
use super::connection::{FrameConnection, PARTIAL_FRAME_TIMEOUT};
use super::contracts;
use super::fault::{ConnectionFault, FrameError};
use crate::messages::{ConnectionEvent, PartValue};
use bytes::Buf;
use cairnroad_types::Outcome;
use tokio::time::Instant;

/// What follows a frame in the data received so far.
#[derive(Clone, Copy)]
enum Following {
    /// Nothing, or fewer bytes than tell whether a frame follows.
    Undecided,
    /// The start of another frame.
    Frame,
    /// Bytes that are no frame, so that the length of the frame before them can't be trusted.
    NoFrame(FrameError),
}

impl Following {
    fn of(input: &[u8]) -> Following {
        match check_frame_start(input) {
            Err(error) => Following::NoFrame(error),
            Ok(()) if input.len() < FRAME_START_LENGTH => Following::Undecided,
            Ok(()) => Following::Frame,
        }
    }

    /// Fails if no frame follows.
    fn check(self) -> Result<(), ConnectionFault> {
        match self {
            Following::NoFrame(error) => Err(ConnectionFault::WrongLength(error)),
            Following::Undecided | Following::Frame => Ok(()),
        }
    }
}

impl FrameConnection {
    /// Processes the received data and sets the deadline for an incomplete frame.
    pub(super) async fn on_received(&mut self) -> Result<(), ConnectionFault> {
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
    pub(super) async fn process_frames(&mut self) -> Result<usize, ConnectionFault> {
        // The frames borrow the buffer while they are processed.
        let mut buffer = std::mem::take(&mut self.buffer);
        self.check_last_answer(Following::of(&buffer)).await?;
        let mut processed = 0;
        while let Some((frame, length)) = self.parser.parse(&buffer[processed..])? {
            processed += length;
            let following = Following::of(&buffer[processed..]);
            self.on_frame(frame, following).await?;
        }
        buffer.advance(processed);
        self.buffer = buffer;
        if self.answers.is_poisoned() && self.answers.is_empty() {
            return Err(ConnectionFault::DuplicateAnswer);
        }
        Ok(processed)
    }

    /// Retracts the last answer if the bytes behind it, which arrived later, are no frame.
    async fn check_last_answer(&mut self, following: Following) -> Result<(), ConnectionFault> {
        if matches!(following, Following::Undecided) {
            return Ok(());
        }
        let Some(attempt) = self.unconfirmed_answer.take() else {
            return Ok(());
        };
        let length_check = following.check();
        if length_check.is_err() {
            self.handle.poison();
            let event = ConnectionEvent::AnswerRetracted { attempt };
            self.handle.notify(event).await;
        }
        length_check
    }

    async fn on_frame(
        &mut self,
        frame: Frame<'_>,
        following: Following,
    ) -> Result<(), ConnectionFault> {
        self.unconfirmed_answer = None;
        match frame {
            Frame::Answer(answer) => self.on_answer(&answer, following).await,
            Frame::LoadReport(report) => self.on_load_report(report, following).await,
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
        following: Following,
    ) -> Result<(), ConnectionFault> {
        let Some(awaited) = self.answers.take(answer.id) else {
            return self.on_unmatched_answer(answer.id).await;
        };
        let stated = outcome(answer.status);
        let length_check = following.check();
        // A frame that follows the last awaited answer was not requested.
        let is_unsolicited = self.answers.is_empty() && matches!(following, Following::Frame);
        if stated.is_none() || length_check.is_err() || is_unsolicited {
            self.handle.poison();
        }
        let is_usable = contracts::check_answer(&self.handle, &awaited.contracts, answer);
        let outcome = match stated {
            Some(outcome) if is_usable && length_check.is_ok() => outcome,
            _ => Outcome::Error,
        };
        let value = (outcome == Outcome::Ok).then(|| PartValue::Plain(answer.value.into()));
        if value.is_some() && matches!(following, Following::Undecided) {
            self.unconfirmed_answer = Some(awaited.attempt);
        }
        self.handle
            .report_attempt(awaited.attempt, outcome, value)
            .await;
        match stated {
            Some(_) => length_check,
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

    async fn on_load_report(
        &mut self,
        text: &[u8],
        following: Following,
    ) -> Result<(), ConnectionFault> {
        if self.answers.pending_health_checks == 0 {
            return Err(ConnectionFault::UnsolicitedLoadReport);
        }
        self.answers.pending_health_checks -= 1;
        contracts::check_load_report(&self.handle, text);
        let length_check = following.check();
        if text == b"err" || length_check.is_err() {
            self.handle.report_failed_health_check(Outcome::Error).await;
            return length_check;
        }
        let report = parse_load_report(&String::from_utf8_lossy(text), &self.handle.report_names);
        self.handle
            .notify(ConnectionEvent::HealthCheckEnded {
                outcome: Outcome::Ok,
                report,
            })
            .await;
        Ok(())
    }
}
