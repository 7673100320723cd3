//! Causes for which datagrams are dropped. Dropped datagrams are counted by cause and never answered.

/// The cause for which a datagram was dropped. The texts are keys of the `dropped` object in `GET /v1/peers`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is not a coordinator's message, or was damaged in transit.
    #[error("garbage")]
    Malformed,
    /// The datagram has a different protocol version.
    #[error("a foreign version")]
    ForeignVersion,
    /// The datagram belongs to a different cluster.
    #[error("a foreign cluster")]
    ForeignCluster,
    /// The datagram claims to come from this coordinator itself, or is addressed to another one.
    #[error("not for this coordinator")]
    Misdirected,
    /// The datagram names a member beyond the number that is tracked, see [`MAX_MEMBERS`](crate::MAX_MEMBERS).
    #[error("too many members")]
    TooManyMembers,
}

impl DatagramError {
    /// All causes, in the order in which their counters are reported.
    pub const ALL: [DatagramError; 5] = [
        DatagramError::Malformed,
        DatagramError::ForeignVersion,
        DatagramError::ForeignCluster,
        DatagramError::Misdirected,
        DatagramError::TooManyMembers,
    ];

    /// Returns a hint for the operator on how to resolve the cause.
    pub fn help(&self) -> &'static str {
        match self {
            DatagramError::Malformed => "check which other programs send to the address in 'peers.listen'",
            DatagramError::ForeignVersion => {
                "no action is needed during a rolling update; otherwise bring all coordinators to the same version"
            }
            DatagramError::ForeignCluster => {
                "two clusters share addresses: check 'peers.seeds' and 'peers.cluster' on both sides"
            }
            DatagramError::Misdirected => {
                "no action is needed if the drops stop; otherwise check whether two coordinators use the same address"
            }
            DatagramError::TooManyMembers => "check whether coordinators keep starting under new names",
        }
    }
}

/// Number of datagrams that were dropped for one cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DropCount {
    /// Why the datagrams were dropped.
    pub cause: DatagramError,
    /// Number of datagrams since the process started.
    pub count: u64,
}

/// Counters of dropped datagrams, one per cause.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DropCounts {
    malformed: u64,
    foreign_version: u64,
    foreign_cluster: u64,
    misdirected: u64,
    too_many_members: u64,
}

impl DropCounts {
    /// Counts one dropped datagram.
    pub(crate) fn record(&mut self, cause: DatagramError) {
        *self.counter(cause) += 1;
    }

    /// Returns the counters in the order of [`DatagramError::ALL`].
    pub(crate) fn iter(mut self) -> impl Iterator<Item = DropCount> {
        DatagramError::ALL.into_iter().map(move |cause| DropCount {
            cause,
            count: *self.counter(cause),
        })
    }

    fn counter(&mut self, cause: DatagramError) -> &mut u64 {
        match cause {
            DatagramError::Malformed => &mut self.malformed,
            DatagramError::ForeignVersion => &mut self.foreign_version,
            DatagramError::ForeignCluster => &mut self.foreign_cluster,
            DatagramError::Misdirected => &mut self.misdirected,
            DatagramError::TooManyMembers => &mut self.too_many_members,
        }
    }
}
