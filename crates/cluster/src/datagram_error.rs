//! Why a datagram is dropped. Each cause is counted; none is answered.

/// A datagram that is not accepted. The texts are keys of `dropped` in `GET /v1/peers`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DatagramError {
    /// It is no message of a coordinator, or was damaged on its way.
    #[error("garbage")]
    Malformed,
    /// It has another version of the protocol.
    #[error("a foreign version")]
    ForeignVersion,
    /// It is of another cluster.
    #[error("a foreign cluster")]
    ForeignCluster,
    /// It claims to come from this coordinator itself, or is meant for another one.
    #[error("not for this coordinator")]
    Misdirected,
    /// It names more members than are tracked.
    #[error("too many members")]
    TooManyMembers,
}

impl DatagramError {
    /// All causes, in the order of their counters.
    pub const ALL: [DatagramError; 5] = [
        DatagramError::Malformed,
        DatagramError::ForeignVersion,
        DatagramError::ForeignCluster,
        DatagramError::Misdirected,
        DatagramError::TooManyMembers,
    ];

    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            DatagramError::Malformed => "see who else sends to the address of 'peers.listen'",
            DatagramError::ForeignVersion => {
                "nothing while a release rolls; else bring all coordinators to one version"
            }
            DatagramError::ForeignCluster => {
                "two fleets share addresses: see 'peers.seeds' and 'peers.cluster' on both sides"
            }
            DatagramError::Misdirected => {
                "nothing; if it goes on, two coordinators may use one address"
            }
            DatagramError::TooManyMembers => "see whether coordinators start under ever new names",
        }
    }
}

/// How many datagrams were dropped for one cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DropCount {
    /// The cause.
    pub cause: DatagramError,
    /// The number of datagrams since the start.
    pub count: u64,
}

/// Counters of dropped datagrams, one a cause.
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

    /// The counters in the order of [`DatagramError::ALL`].
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
