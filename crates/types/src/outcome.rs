//! How an attempt ended.

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered.
    Ok,
    /// The server answered with an error; the attempt may have run.
    Error,
    /// The server rejected the attempt without running it.
    Rejected,
    /// No answer came in time; the attempt may have run.
    Timeout,
    /// No connection came up; the attempt never ran.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Returns whether the outcome proves that the attempt never ran, as the protocol's table states it.
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
