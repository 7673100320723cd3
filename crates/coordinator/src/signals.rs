//! Handling of SIGTERM and SIGHUP without a Unix socket.
//!
//! The signal driver of tokio creates a Unix socket pair at its first use. The deployment does not allow that: its
//! hosts permit only TCP and UDP over IPv4. Instead, each signal's handler writes a byte to a separate pipe, and the
//! program reads from the pipe when the runtime reports it as readable.

use std::io::ErrorKind;
use std::os::fd::OwnedFd;
use tokio::net::unix::pipe;

/// Size of the buffer for one read from the pipe; each byte is one delivery of the signal.
const READ_BUFFER_BYTES: usize = 64;

/// A signal whose handler is installed, but that is not yet awaited because no runtime exists.
pub struct PendingSignal(OwnedFd);

impl PendingSignal {
    /// Installs a handler that writes a byte to a pipe. It replaces the signal's default action, which for both signals
    /// is to terminate the program.
    ///
    /// Must be called before anything else, because a signal that arrives during startup must not terminate the
    /// program. The write end does not block: a full pipe already holds an unread delivery.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it refuses the pipe or the handler.
    pub fn register(number: i32) -> std::io::Result<PendingSignal> {
        let (reader, writer) = std::io::pipe()?;
        signal_hook::low_level::pipe::register(number, OwnedFd::from(writer))?;
        Ok(PendingSignal(reader.into()))
    }
}

/// A stream of the deliveries of one signal.
pub struct SignalStream {
    receiver: pipe::Receiver,
}

impl SignalStream {
    /// Creates the stream, which includes deliveries since the signal was registered. Must be called within a runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime can't watch the pipe.
    pub fn new(pending: PendingSignal) -> std::io::Result<SignalStream> {
        Ok(SignalStream {
            receiver: pipe::Receiver::from_owned_fd(pending.0)?,
        })
    }

    /// Waits for the next delivery. Deliveries since the last call count as one, up to [`READ_BUFFER_BYTES`] of them.
    /// Returns `None` once the pipe fails.
    pub async fn recv(&mut self) -> Option<()> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        loop {
            if self.receiver.readable().await.is_err() {
                return None;
            }
            match self.receiver.try_read(&mut bytes) {
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
