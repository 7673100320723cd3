//! Why the coordinator could not start, failed, or rejected a reload.

use crate::cluster;
use crate::configuration::ConfigError;
use crate::socket_activation::InheritedSocketError;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use tokio::task::JoinError;

/// An error of another subsystem, kept as the source.
pub type Source = Box<dyn Error + Send + Sync>;

/// A signal that the program answers.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// SIGTERM.
    Terminate,
    /// SIGHUP.
    Hangup,
}

impl fmt::Display for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Signal::Terminate => "SIGTERM",
            Signal::Hangup => "SIGHUP",
        })
    }
}

/// Why the coordinator could not start, or failed.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// A signal can't be caught.
    #[error("{signal}: {source}")]
    Signal {
        /// The signal.
        signal: Signal,
        /// The system's error.
        source: io::Error,
    },
    /// The configuration can't be read or is faulty.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The inherited listening socket can't be used.
    #[error(transparent)]
    InheritedListener(#[from] InheritedSocketError),
    /// The asynchronous runtime can't be built.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A front can't listen at its address.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The admin API can't listen at its address.
    #[error("admin: listen on {address}: {source}")]
    AdminListen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A description that the configuration names is faulty.
    #[error(transparent)]
    Descriptions(#[from] DescriptionsError),
    /// The coordinator can't become a member of its group.
    #[error("{0}: {help}", help = .0.help())]
    Cluster(#[from] cluster::ClusterError),
    /// The endpoint list's files can't be watched.
    #[error("{0}")]
    EndpointFiles(#[source] Source),
    /// The decision loop ended, which it never does by itself.
    #[error("the core ended: {0:?}")]
    CoreEnded(Result<(), JoinError>),
}

impl ServerError {
    /// A signal that can't be caught.
    pub fn signal(signal: Signal, source: io::Error) -> ServerError {
        ServerError::Signal { signal, source }
    }
}

/// Why the descriptions that a configuration names are not put into force.
#[derive(Debug, thiserror::Error)]
pub enum DescriptionsError {
    /// The thread that reads them failed.
    #[error("reading descriptions: {0}")]
    Read(#[source] JoinError),
    /// One of them is faulty.
    #[error("{0}")]
    Rejected(#[source] Source),
}

/// Why a reload changes nothing.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The configuration can't be read or is faulty.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// A key is left out. It may be an oversight, so that its default must not take effect.
    #[error("the file lacks a key that the one in force has: '{0}'")]
    MissingKey(String),
    /// The decision loop can't take the settings.
    #[error("{0}")]
    Rejected(#[source] Source),
    /// The decision loop is gone.
    #[error("the core ended")]
    CoreEnded,
}
