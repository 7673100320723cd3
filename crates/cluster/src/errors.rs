//! Why a datagram is dropped. Each cause is counted; none is answered.

/// A datagram that is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DatagramError {
    /// It is no message of a coordinator, or was damaged on its way.
    #[error("garbage")]
    Malformed,
    /// It speaks another version of the protocol.
    #[error("a foreign version")]
    ForeignVersion,
    /// It is of another cluster.
    #[error("a foreign cluster")]
    ForeignCluster,
    /// It claims to come from this coordinator itself, or is meant for another one.
    #[error("not for this coordinator")]
    Misdirected,
    /// It tells of more members than can be kept in mind.
    #[error("too many members")]
    TooManyMembers,
}

/// All causes, in the order in which they are counted.
pub const DATAGRAM_ERRORS: [DatagramError; 5] = [
    DatagramError::Malformed,
    DatagramError::ForeignVersion,
    DatagramError::ForeignCluster,
    DatagramError::Misdirected,
    DatagramError::TooManyMembers,
];

impl DatagramError {
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
