//! Attempts: one send of a part to a server.

use cairnroad_types::{RequestId, ServerId, Time};

/// Identifies an attempt by its part and its number, 0 for the part's first. Ordered by part.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) part: RequestId,
    pub(crate) number: u8,
}

/// An attempt in flight.
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    /// Index of the class in the settings.
    pub(crate) class: usize,
    pub(crate) sent_at: Time,
    /// When the server counts as overdue if it hasn't answered.
    pub(crate) overdue_at: Time,
}

/// An attempt as its server lists it: ordered by the moment at which it is overdue.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct InFlight {
    pub(crate) overdue_at: Time,
    pub(crate) attempt: AttemptId,
}

impl Attempt {
    /// The entry under which the server lists it.
    pub(crate) fn as_in_flight(&self, attempt: AttemptId) -> InFlight {
        InFlight {
            overdue_at: self.overdue_at,
            attempt,
        }
    }
}
