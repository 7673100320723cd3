//! Errors of the start, the run and the reload of the coordinator.

use crate::cluster;
use crate::configuration::ConfigError;
use crate::socket_activation::InheritedSocketError;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use tokio::task::JoinError;

/// An error of another subsystem, as the source of an error of this module.
pub type Source = Box<dyn Error + Send + Sync>;

/// A signal that the program handles.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// SIGTERM, which starts a graceful shutdown.
    Terminate,
    /// SIGHUP, which reloads the configuration.
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

/// The reason why the coordinator could not start, or failed.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The handler of a signal can't be installed.
    #[error("failed to handle {signal}: {source}")]
    Signal {
        /// The signal without a handler.
        signal: Signal,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The configuration can't be read or is faulty.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The inherited listening socket can't be used.
    #[error(transparent)]
    InheritedListener(#[from] InheritedSocketError),
    /// The asynchronous runtime can't be built.
    #[error("failed to build the asynchronous runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A front can't listen at its address.
    #[error("failed to listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The admin API can't listen at its address.
    #[error("admin API: failed to listen on {address}: {source}")]
    AdminListen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A description that the configuration names is faulty.
    #[error(transparent)]
    Descriptions(#[from] DescriptionsError),
    /// The coordinator can't join its cluster.
    #[error("{0}: {help}", help = .0.help())]
    Cluster(#[from] cluster::ClusterError),
    /// The thread that reads the endpoint files can't be started.
    #[error("{0}")]
    EndpointFiles(#[source] Source),
    /// The decision loop ended, although it runs until the program ends.
    #[error("the core ended: {0:?}")]
    CoreEnded(Result<(), JoinError>),
}

impl ServerError {
    /// Returns the error of a signal whose handler can't be installed.
    pub fn signal(signal: Signal, source: io::Error) -> ServerError {
        ServerError::Signal { signal, source }
    }
}

/// The reason why the descriptions that a configuration names are not put into force.
#[derive(Debug, thiserror::Error)]
pub enum DescriptionsError {
    /// The thread that reads the descriptions failed.
    #[error("failed to read descriptions: {0}")]
    Read(#[source] JoinError),
    /// A description is faulty, or the contracts can't be put into force.
    #[error("{0}")]
    Rejected(#[source] Source),
}

/// The reason why a reload is rejected and changes nothing.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The configuration can't be read or is faulty.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The file lacks a key that the one in force has. This may be an oversight, so the key's default must not take
    /// effect.
    #[error("the file lacks a key that the one in force has: '{0}'")]
    MissingKey(String),
    /// The decision loop rejected the settings.
    #[error("{0}")]
    Rejected(#[source] Source),
    /// The decision loop ended.
    #[error("the core ended")]
    CoreEnded,
}
