//! Attempts: each is one send of a part to a server.

use cairnroad_types::{RequestId, ServerId, Time};

/// Identifies an attempt by its part and its number among the part's attempts, from 0. Ordered by part.
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
    /// Moment from which the unanswered attempt makes its server overdue.
    pub(crate) overdue_at: Time,
}

/// Entry of a server's set of attempts in flight, ordered by the moment at which the attempt is overdue.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct InFlightAttempt {
    pub(crate) overdue_at: Time,
    pub(crate) attempt: AttemptId,
}

impl Attempt {
    /// Returns the attempt's entry in its server's set of attempts in flight.
    pub(crate) fn in_flight_entry(&self, attempt: AttemptId) -> InFlightAttempt {
        InFlightAttempt {
            overdue_at: self.overdue_at,
            attempt,
        }
    }
}
