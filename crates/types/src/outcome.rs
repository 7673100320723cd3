//! Outcomes of attempts and health checks.

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered.
    Ok,
    /// The server answered with an error; the attempt may have run.
    Error,
    /// The server rejected the attempt without running it.
    Rejected,
    /// No answer arrived in time; the attempt may have run.
    Timeout,
    /// No connection could be established; the attempt never ran.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent to the server.
    NotSent,
}

impl Outcome {
    /// Returns whether the outcome proves that the attempt never ran, according to the protocol's table of
    /// outcomes.
    pub fn never_ran(self) -> bool {
        match self {
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => true,
            Outcome::Ok
            | Outcome::Error
            | Outcome::Timeout
            | Outcome::Reset
            | Outcome::Cancelled => false,
        }
    }
}
