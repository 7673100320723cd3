//! SIGTERM and SIGHUP without a Unix socket. The runtime's own signal driver makes a Unix socket pair at its first
//! use, while the hosts of the fleet's test take TCP and UDP over IPv4 only, and the program's deployment allows no
//! Unix socket. Each signal here writes a byte to a pipe of its own from its handler, and the program reads the
//! pipe's other end when the runtime says it is readable.

use std::io::ErrorKind;
use std::os::fd::OwnedFd;
use tokio::net::unix::pipe;

/// One signal's arrivals before there is a runtime to read them.
pub struct Kept(OwnedFd);

impl Kept {
    /// Replaces the signal's default action (for both, the end of the program) by a byte into the pipe, from this moment
    /// on: a signal that comes while the program starts must not end it. The write end does not block: a pipe that is
    /// full already tells of an arrival that is not yet read.
    pub fn new(number: i32) -> std::io::Result<Kept> {
        let (arrivals, sender) = std::io::pipe()?;
        signal_hook::low_level::pipe::register(number, OwnedFd::from(sender))?;
        Ok(Kept(arrivals.into()))
    }
}

/// One signal's arrivals, as bytes in a pipe.
pub struct Signal {
    arrivals: pipe::Receiver,
}

impl Signal {
    /// Reads on where what was kept begins.
    pub fn new(kept: Kept) -> std::io::Result<Signal> {
        Ok(Signal {
            arrivals: pipe::Receiver::from_owned_fd(kept.0)?,
        })
    }

    /// Waits for the next arrival; arrivals since the last call count as one. `None` once the pipe fails.
    pub async fn recv(&mut self) -> Option<()> {
        let mut bytes = [0; 64];
        loop {
            if self.arrivals.readable().await.is_err() {
                return None;
            }
            match self.arrivals.try_read(&mut bytes) {
                Ok(0) => return None,
                Ok(_) => return Some(()),
                Err(e)
                    if e.kind() == ErrorKind::WouldBlock || e.kind() == ErrorKind::Interrupted =>
                {
                    continue
                }
                Err(_) => return None,
            }
        }
    }
}
