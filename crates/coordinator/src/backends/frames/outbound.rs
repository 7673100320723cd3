//! What is to be written to a server: the commands that wait, and the frame that is being written.

use crate::connections::handle::Command;
use crate::messages::OutboundAttempt;
use std::collections::VecDeque;

/// Commands that may wait for the frames before them.
const MAX_PENDING: usize = 64;

/// Commands in order, and the frame that is being written.
#[derive(Default)]
pub(super) struct OutboundQueue {
    pending: VecDeque<Command>,
    /// The frame being written; empty if there is none.
    frame: Vec<u8>,
    /// How many bytes of the frame are written.
    written: usize,
    /// The parts in the frame.
    parts: Vec<OutboundAttempt>,
}

impl OutboundQueue {
    /// Whether another command may wait here. With a server that reads nothing, commands pile up in their bounded
    /// channel instead, and the pool closes the connection.
    pub(super) fn has_room(&self) -> bool {
        self.pending.len() < MAX_PENDING
    }

    /// Queues a command. A cancel takes back a part that waits here; otherwise it takes its turn.
    pub(super) fn push(&mut self, command: Command) {
        if let Command::Cancel(attempt) = command {
            for waiting in &mut self.pending {
                if let Command::Call(parts) = waiting {
                    let before = parts.len();
                    parts.retain(|part| part.attempt != attempt);
                    if parts.len() < before {
                        return;
                    }
                }
            }
        }
        self.pending.push_back(command);
    }

    /// Takes the next command.
    pub(super) fn pop(&mut self) -> Option<Command> {
        self.pending.pop_front()
    }

    /// Whether a frame is being written.
    pub(super) fn is_writing(&self) -> bool {
        !self.frame.is_empty()
    }

    /// Starts to write a frame, which carries these parts.
    pub(super) fn start_frame(&mut self, frame: Vec<u8>, parts: Vec<OutboundAttempt>) {
        self.frame = frame;
        self.parts = parts;
    }

    /// Returns the bytes of the frame that are still to be written.
    pub(super) fn unwritten(&self) -> &[u8] {
        &self.frame[self.written..]
    }

    /// Counts bytes as written. Returns the frame's parts once that was its last byte: from then on they may run.
    pub(super) fn on_written(&mut self, bytes: usize) -> Vec<OutboundAttempt> {
        self.written += bytes;
        if self.written < self.frame.len() {
            return Vec::new();
        }
        self.frame.clear();
        self.written = 0;
        std::mem::take(&mut self.parts)
    }

    /// Returns the parts whose frame is not completely written, and the commands behind it.
    pub(super) fn into_unsent(self) -> (Vec<OutboundAttempt>, VecDeque<Command>) {
        (self.parts, self.pending)
    }
}
