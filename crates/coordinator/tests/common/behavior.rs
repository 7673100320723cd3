//! What a stand-in data node does with a part.

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    Serve,
    /// Serves after so many milliseconds.
    Delay(u64),
    /// Rejects the part without running it.
    Busy,
    Fail,
    /// Runs it, begins to answer and breaks the connection.
    CloseMidAnswer,
    /// Runs it, begins to answer as if all were well, and ends in an error (a frame `err` on frames).
    MidStreamError,
    /// Runs it and never answers.
    NoAnswer,
    /// Runs it and sends an answer that can't be parsed or matched.
    Malformed(Malformation),
    /// Serves, with bytes that don't belong to the answer.
    Irregular(Irregularity),
    /// Runs it and answers with this status, media type and body; on frames with the body as the value.
    Respond(&'static str, &'static str, &'static str),
}

impl Behavior {
    /// Whether the part runs. A busy data node never begins it.
    pub fn executes(self) -> bool {
        self != Behavior::Busy
    }
}

/// What is wrong with a malformed answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Malformation {
    WrongId,
    UnknownOutcome,
    FrameType,
    HeaderLine,
    /// A header line that doesn't end though the frame goes on.
    UnterminatedLine,
    /// A length of 3 GB, and a value that keeps coming.
    HugeLength,
    /// A length that is longer than what comes.
    TruncatedBody,
}

pub const MALFORMATIONS: [Malformation; 7] = [
    Malformation::WrongId,
    Malformation::UnknownOutcome,
    Malformation::FrameType,
    Malformation::HeaderLine,
    Malformation::UnterminatedLine,
    Malformation::HugeLength,
    Malformation::TruncatedBody,
];

/// What comes beside a good answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Irregularity {
    /// The same answer again.
    RepeatedAnswer,
    TrailingBytes,
    /// A load report that can't be parsed.
    UnreadableReport,
}
