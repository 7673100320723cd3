//! The outbound queue of a connection: the commands that wait, and the frame that is being written.

use crate::connections::handle::ConnectionCommand;
use crate::messages::OutboundAttempt;
use std::collections::VecDeque;

/// Maximum number of commands that wait for earlier frames to be written.
const MAX_PENDING_COMMANDS: usize = 64;

/// The queued commands, in order, and the frame that is being written.
#[derive(Default)]
pub(super) struct OutboundQueue {
    pending: VecDeque<ConnectionCommand>,
    /// The frame that is being written; empty if there is none.
    frame: Vec<u8>,
    /// Number of bytes of the frame that have been written.
    written_bytes: usize,
    /// The parts that the frame contains.
    parts: Vec<OutboundAttempt>,
}

impl OutboundQueue {
    /// Returns whether another command can be queued. If the server reads nothing, further commands wait in their
    /// bounded channel instead; once that is full, the pool closes the connection.
    pub(super) fn has_room(&self) -> bool {
        self.pending.len() < MAX_PENDING_COMMANDS
    }

    /// Queues a command. A cancel of a part that is still queued removes the part and is not queued itself.
    pub(super) fn push(&mut self, command: ConnectionCommand) {
        if let ConnectionCommand::Cancel(attempt) = command {
            for queued in &mut self.pending {
                if let ConnectionCommand::Call(parts) = queued {
                    let count_before = parts.len();
                    parts.retain(|part| part.attempt != attempt);
                    if parts.len() < count_before {
                        return;
                    }
                }
            }
        }
        self.pending.push_back(command);
    }

    /// Removes and returns the next command.
    pub(super) fn pop(&mut self) -> Option<ConnectionCommand> {
        self.pending.pop_front()
    }

    /// Returns whether a frame is being written.
    pub(super) fn is_writing(&self) -> bool {
        !self.frame.is_empty()
    }

    /// Starts to write a frame that contains these parts.
    pub(super) fn start_frame(&mut self, frame: Vec<u8>, parts: Vec<OutboundAttempt>) {
        self.frame = frame;
        self.parts = parts;
    }

    /// Returns the bytes of the frame that have not been written yet.
    pub(super) fn unwritten(&self) -> &[u8] {
        &self.frame[self.written_bytes..]
    }

    /// Records that bytes of the frame were written. Returns the parts of the frame once its last byte is written; from
    /// then on the server may run them.
    pub(super) fn on_written(&mut self, bytes: usize) -> Vec<OutboundAttempt> {
        self.written_bytes += bytes;
        if self.written_bytes < self.frame.len() {
            return Vec::new();
        }
        self.frame.clear();
        self.written_bytes = 0;
        std::mem::take(&mut self.parts)
    }

    /// Returns the parts of the frame that is not completely written, and the queued commands.
    pub(super) fn into_unsent(self) -> (Vec<OutboundAttempt>, VecDeque<ConnectionCommand>) {
        (self.parts, self.pending)
    }
}
