//! Reload at SIGHUP: the configuration is read again, checked completely, and applied without a restart where possible.

use super::context::Context;
use super::descriptions;
use super::error::ReloadError;
use crate::configuration::{self, Config};
use crate::contract::Contracts;
use crate::messages::{CoreMessage, ServedConfiguration};
use crate::published_descriptions;
use crate::signals::SignalStream;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

/// Reloads the configuration.
pub struct Reloader {
    /// The configuration in force.
    config: Config,
    /// Publishes the discovery agent's address.
    agent_address: watch::Sender<SocketAddr>,
    contracts: Rc<Contracts>,
    messages: mpsc::Sender<CoreMessage>,
}

impl Reloader {
    /// Returns a reloader with the startup configuration in force.
    pub fn new(
        config: Config,
        agent_address: watch::Sender<SocketAddr>,
        context: &Context,
    ) -> Reloader {
        Reloader {
            config,
            agent_address,
            contracts: context.contracts.clone(),
            messages: context.messages.clone(),
        }
    }

    /// Reloads at each SIGHUP. A faulty configuration changes nothing.
    pub async fn run(mut self, mut hangups: SignalStream) {
        while hangups.recv().await.is_some() {
            if let Err(error) = self.reload().await {
                tracing::error!(cause = %error, "reload rejected");
            }
        }
    }

    async fn reload(&mut self) -> Result<(), ReloadError> {
        let new = configuration::load()?;
        if let Some(key) = self.config.first_key_missing_in(&new) {
            return Err(ReloadError::MissingKey(key));
        }
        self.config.served = reconfigure(&self.messages, &new.served).await?;
        let published = published_descriptions::publish(&self.config);
        self.contracts.republish(published);
        let keys = self.config.changed_keys_requiring_restart(&new);
        if !keys.is_empty() {
            tracing::warn!(keys = keys.join(", "), "reload needs restart");
        }
        if let Some(discovery) = new.discovery {
            tracing::info!(%discovery, "reload applied");
            self.agent_address
                .send_if_modified(|address| std::mem::replace(address, discovery) != discovery);
        }
        if let Err(error) = descriptions::adopt(&self.contracts, &new).await {
            tracing::error!(cause = %error, "descriptions rejected");
        }
        self.config.discovery = new.discovery;
        self.config.deployment_document = new.deployment_document;
        Ok(())
    }
}

/// Sends settings to the decision loop, which applies either all or none of them between two ticks. Returns the
/// settings in force afterwards.
async fn reconfigure(
    messages: &mpsc::Sender<CoreMessage>,
    new: &ServedConfiguration,
) -> Result<Arc<ServedConfiguration>, ReloadError> {
    let (reply, result) = oneshot::channel();
    let message = CoreMessage::Reconfigure {
        configuration: Box::new(new.clone()),
        reply,
    };
    let sent = messages.send(message).await;
    sent.map_err(|_| ReloadError::CoreEnded)?;
    let served = result
        .await
        .map_err(|_| ReloadError::CoreEnded)?
        .map_err(|cause| ReloadError::Rejected(cause.into()))?;
    log_offered_classes(&served);
    Ok(served)
}

/// Logs each class that clients may request.
pub fn log_offered_classes(served: &ServedConfiguration) {
    for offered in served.deployment.offered_classes() {
        tracing::info!(
            class = offered.name,
            latency_objective_s = offered.class.latency_objective,
            deadline_s = offered.class.deadline,
            "class offered"
        );
    }
}
