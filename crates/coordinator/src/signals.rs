//! SIGTERM and SIGHUP without a Unix socket.
//!
//! The runtime's own signal driver makes a Unix socket pair at its first use, which the program's deployment does not
//! allow: its hosts take TCP and UDP over IPv4 only. Here each signal's handler writes a byte to a pipe of its own,
//! and the program reads the pipe's other end when the runtime says that it is readable.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use std::io::ErrorKind;
use std::os::fd::OwnedFd;
use tokio::net::unix::pipe;

/// Arrivals read in one go; more make another read.
const READ_BUFFER_BYTES: usize = 64;

/// A signal that is caught before there is a runtime to wait for it.
pub struct PendingSignal(OwnedFd);

impl PendingSignal {
    /// Replaces the signal's default action, which for both is to end the program, by a byte into the pipe.
    ///
    /// To be called first of all: a signal that arrives while the program starts must not end it. The write end does
    /// not block; a pipe that is full already holds an arrival that is not yet read.
    ///
    /// # Errors
    ///
    /// The system allows no pipe or no handler.
    pub fn register(number: i32) -> std::io::Result<PendingSignal> {
        let (arrivals, sender) = std::io::pipe()?;
        signal_hook::low_level::pipe::register(number, OwnedFd::from(sender))?;
        Ok(PendingSignal(arrivals.into()))
    }
}

/// The arrivals of one signal.
pub struct SignalStream {
    arrivals: pipe::Receiver,
}

impl SignalStream {
    /// Continues with what arrived since the signal was registered. Needs a runtime.
    ///
    /// # Errors
    ///
    /// The runtime can't watch the pipe.
    pub fn new(pending: PendingSignal) -> std::io::Result<SignalStream> {
        Ok(SignalStream {
            arrivals: pipe::Receiver::from_owned_fd(pending.0)?,
        })
    }

    /// Waits for the next arrival; all since the last call count as one. `None` once the pipe fails.
    pub async fn recv(&mut self) -> Option<()> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        loop {
            if self.arrivals.readable().await.is_err() {
                return None;
            }
            match self.arrivals.try_read(&mut bytes) {
                Ok(0) => return None,
                Ok(_) => return Some(()),
                Err(error) if is_temporary(error.kind()) => {}
                Err(_) => return None,
            }
        }
    }
}

fn is_temporary(kind: ErrorKind) -> bool {
    kind == ErrorKind::WouldBlock || kind == ErrorKind::Interrupted
}
