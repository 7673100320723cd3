//! Why a datagram is dropped. Each cause is counted; none is answered.

/// A datagram that is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Dropped {
    /// It is no message of a coordinator, or was damaged on its way.
    #[error("garbage")]
    Garbage,
    /// It speaks another version of the protocol.
    #[error("a foreign version")]
    Version,
    /// It is of another cluster.
    #[error("a foreign cluster")]
    Cluster,
    /// It claims to come from this coordinator itself, or is meant for another one.
    #[error("not for this coordinator")]
    Misdirected,
    /// It tells of more members than can be kept in mind.
    #[error("too many members")]
    Full,
}

/// All causes, in the order in which they are counted.
pub const CAUSES: [Dropped; 5] = [
    Dropped::Garbage,
    Dropped::Version,
    Dropped::Cluster,
    Dropped::Misdirected,
    Dropped::Full,
];

impl Dropped {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Dropped::Garbage => "see who else sends to the address of 'peers.listen'",
            Dropped::Version => {
                "nothing while a release rolls; else bring all coordinators to one version"
            }
            Dropped::Cluster => {
                "two fleets share addresses: see 'peers.seeds' and 'peers.cluster' on both sides"
            }
            Dropped::Misdirected => "nothing; if it goes on, two coordinators may use one address",
            Dropped::Full => "see whether coordinators start under ever new names",
        }
    }
}
