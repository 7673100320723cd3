//! Whether a client is known to be connected, shared by its session, the core and the backends.

use cairnroad_types::{Seconds, Time};
use std::cell::Cell;
use std::rc::Rc;

/// Time after a client's socket was last read to its end for which the client still counts as connected, in seconds.
/// An attempt must not begin more than 0.1 s after its client has closed the connection.
const CONFIRMATION_LIFETIME: Seconds = 0.05;

/// Tells whether a client's disconnect would be seen by now.
///
/// A disconnect is seen only behind everything that the client has sent before it. While a session leaves bytes of its
/// client unread, the client may have disconnected unnoticed, and no attempt may begin for it. Clones share their
/// state.
#[derive(Clone, Debug, Default)]
pub struct ClientLiveness {
    /// When the session stopped reading; `None` while it has read everything that has arrived.
    unread_since: Rc<Cell<Option<Time>>>,
}

impl ClientLiveness {
    /// Records that the session leaves received bytes unread.
    pub fn on_unread(&self, now: Time) {
        let since = self.unread_since.get().unwrap_or(now);
        self.unread_since.set(Some(since));
    }

    /// Records that the session has read everything that the client has sent, and that the client is connected.
    pub fn on_read_to_end(&self) {
        self.unread_since.set(None);
    }

    /// Returns whether the client is connected, or was recently enough for an attempt to begin.
    pub fn is_confirmed(&self, now: Time) -> bool {
        let unread_since = self.unread_since.get();
        unread_since.is_none_or(|since| now - since <= CONFIRMATION_LIFETIME)
    }
}

#[cfg(test)]
mod tests;
