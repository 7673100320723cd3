//! The faults that break a watch, with help for operators.

use cairnroad_types::Seconds;

/// A fault that broke a watch. The fault is logged, and the watch restarts by itself.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The connection was not established in time.
    #[error("no connection to the discovery agent within {secs} s")]
    ConnectTimeout {
        /// The time limit, in seconds.
        secs: Seconds,
    },
    /// The connection was refused or broke.
    #[error("the connection to the discovery agent failed: {0}")]
    Connection(#[from] std::io::Error),
    /// A poll got no response in time.
    #[error("the discovery agent did not respond within {secs:.1} s")]
    ResponseTimeout {
        /// The time limit, in seconds.
        secs: Seconds,
    },
    /// The agent closed the connection while a response was due.
    #[error("the discovery agent closed the connection before its response")]
    ConnectionClosed,
    /// The response has a status other than 200.
    #[error("the discovery agent responded with status {0}")]
    UnexpectedStatus(u16),
    /// The response is not a well-formed HTTP message.
    #[error("the discovery agent's response is malformed: {0}")]
    MalformedResponse(&'static str),
    /// The response's body is not an endpoint list.
    #[error("the discovery agent's response is not an endpoint list: {0}")]
    InvalidEndpointList(#[source] serde_json::Error),
}

impl WatchError {
    /// Returns advice for operators.
    pub fn help(&self) -> &'static str {
        match self {
            WatchError::ConnectTimeout { .. } | WatchError::Connection(_) => {
                "check that the agent runs at the address of 'discovery'; a new address takes effect at SIGHUP"
            }
            WatchError::ResponseTimeout { .. } | WatchError::ConnectionClosed => {
                "nothing if the following lines show that the list arrived; otherwise check whether discovery is down"
            }
            WatchError::UnexpectedStatus(_) => {
                "nothing: a snapshot is requested next; if it persists, check the agent's own log"
            }
            WatchError::MalformedResponse(_) | WatchError::InvalidEndpointList(_) => {
                "check that 'discovery' names the agent, and that the agent's version speaks this protocol"
            }
        }
    }

    /// Returns whether the agent may no longer know the revision; the watch then restarts with a snapshot.
    pub fn invalidates_revision(&self) -> bool {
        matches!(self, WatchError::UnexpectedStatus(_))
    }
}
