//! How a watch breaks, and what an operator can do about it.

/// Why a watch broke. Each is logged with what it says; the watch is begun anew by itself.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The agent's machine gave no connection in time.
    #[error("no connection to the agent within {secs} s")]
    NoConnection {
        /// The time.
        secs: f64,
    },
    /// The agent's address refused the connection, or it broke.
    #[error("the connection to the agent failed: {0}")]
    Io(#[from] std::io::Error),
    /// A call went unanswered.
    #[error("the agent was silent for {secs:.1} s")]
    Silent {
        /// For how long.
        secs: f64,
    },
    /// The connection ended where an answer was due.
    #[error("the agent closed the connection")]
    Closed,
    /// Another status than 200.
    #[error("the agent answered {0}")]
    Status(u16),
    /// The answer is no HTTP message that can be read.
    #[error("the agent's answer can't be read: {0}")]
    Unreadable(&'static str),
    /// The answer's body is no list.
    #[error("the agent's answer is no list of servers: {0}")]
    NoList(String),
}

impl Fault {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Fault::NoConnection { .. } | Fault::Io(_) => {
                "see that the agent runs at the address of 'discovery'; a new address takes effect at SIGHUP"
            }
            Fault::Silent { .. } | Fault::Closed => {
                "nothing, if the next lines show that the list came; else look whether discovery is down"
            }
            Fault::Status(_) => {
                "nothing: the whole list is asked for; if it goes on, look at the agent's own log"
            }
            Fault::Unreadable(_) | Fault::NoList(_) => {
                "see that 'discovery' names the agent, and that the agent's version speaks this protocol"
            }
        }
    }

    /// Whether the agent may not know the revision any more: a watch from one starts over with the whole list.
    pub fn forgets_revision(&self) -> bool {
        matches!(self, Fault::Status(_))
    }
}
