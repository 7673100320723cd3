//! Runs the coordinator: construction in [`start`], reload at SIGHUP in [`reload`], graceful shutdown at SIGTERM in
//! [`shutdown`].

mod context;
mod descriptions;
mod error;
mod listeners;
mod reload;
mod shutdown;
mod start;

pub use error::ServerError;

use crate::configuration;
use crate::observability::log;
use crate::signals::PendingSignal;
use crate::socket_activation;
use error::Signal;
use signal_hook::consts::{SIGHUP, SIGTERM};

/// The signals that the program handles.
struct Signals {
    /// SIGTERM, for a graceful shutdown.
    terminate: PendingSignal,
    /// SIGHUP, for a reload.
    hangup: PendingSignal,
}

impl Signals {
    fn register() -> Result<Signals, ServerError> {
        let terminate = PendingSignal::register(SIGTERM)
            .map_err(|source| ServerError::signal(Signal::Terminate, source))?;
        let hangup = PendingSignal::register(SIGHUP)
            .map_err(|source| ServerError::signal(Signal::Hangup, source))?;
        Ok(Signals { terminate, hangup })
    }
}

/// Runs the coordinator until the shutdown at SIGTERM is complete.
///
/// # Errors
///
/// Returns an error if the configuration is faulty, a resource such as a listener can't be opened, or the decision loop
/// failed.
pub fn run() -> Result<(), ServerError> {
    let signals = Signals::register()?;
    let config = configuration::load()?;
    log::init(config.log.level, config.log.format);
    // The inherited socket is taken over before any other code opens a descriptor or starts a thread.
    let inherited_listener = config
        .inherited_listener
        .map(socket_activation::inherited_listener)
        .transpose()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ServerError::Runtime)?;
    let serve = start::serve(config, inherited_listener, signals);
    tokio::task::LocalSet::new().block_on(&runtime, serve)
}
