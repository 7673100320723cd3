//! The ways in which a stand-in data node handles a part.

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    Serve,
    /// Serves the part after this many milliseconds.
    Delay(u64),
    /// Rejects the part without running it.
    Busy,
    Fail,
    /// Runs the part, sends the beginning of an answer and closes the connection.
    CloseMidAnswer,
    /// Runs the part and begins a successful answer that ends with an error. On the frame protocol, the answer's outcome is
    /// `err`.
    MidStreamError,
    /// Runs the part and never answers.
    NoAnswer,
    /// Runs the part and sends an answer that can't be parsed or matched to its call.
    Malformed(Malformation),
    /// Serves the part, with an irregularity that leaves the answer itself valid.
    Irregular(Irregularity),
    /// Runs the part and answers with this status line, media type and body. On the frame protocol, the body is the value and
    /// the other two are ignored.
    Respond(&'static str, &'static str, &'static str),
}

impl Behavior {
    /// Returns whether the data node runs the part. A busy data node never starts it.
    pub fn executes(self) -> bool {
        self != Behavior::Busy
    }
}

/// The defect of a malformed answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Malformation {
    WrongId,
    UnknownOutcome,
    FrameType,
    HeaderLine,
    /// A header line without an end, in a frame whose length promises more bytes.
    UnterminatedLine,
    /// A declared length of 3 GB.
    HugeLength,
    /// A declared length that is one byte longer than the body.
    TruncatedBody,
    /// A declared length that is shorter than the body.
    ShortLength(ShortLength),
}

/// An answer whose declared length is too short.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShortLength {
    /// By how many bytes the length is too short.
    pub missing: usize,
    pub split: Split,
}

/// How an answer is split into writes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Split {
    OneWrite,
    /// Pieces of this many bytes with short pauses. No piece ends where the declared length does.
    Pieces(usize),
    /// The bytes behind the declared length follow after this many milliseconds.
    AtDeclaredEnd(u64),
}

pub const MALFORMATIONS: [Malformation; 9] = [
    Malformation::WrongId,
    Malformation::UnknownOutcome,
    Malformation::FrameType,
    Malformation::HeaderLine,
    Malformation::UnterminatedLine,
    Malformation::HugeLength,
    Malformation::TruncatedBody,
    Malformation::ShortLength(ShortLength {
        missing: 1,
        split: Split::OneWrite,
    }),
    Malformation::ShortLength(ShortLength {
        missing: 4,
        split: Split::OneWrite,
    }),
];

/// An irregularity in or after an otherwise valid answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Irregularity {
    /// The same answer is sent twice.
    RepeatedAnswer,
    TrailingBytes,
    /// The same answer is sent again after this many milliseconds. On the frame protocol, it is sent once.
    LateRepeatedAnswer(u64),
    /// A load report that can't be parsed.
    UnreadableReport,
}
