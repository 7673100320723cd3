//! Reload at SIGHUP: the configuration is read anew, checked whole, and takes effect live where it can.

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

/// Carries out reloads.
pub struct Reloader {
    /// The configuration in force.
    config: Config,
    /// The discovery agent's address.
    agent: watch::Sender<SocketAddr>,
    contracts: Rc<Contracts>,
    messages: mpsc::Sender<CoreMessage>,
}

impl Reloader {
    /// With the configuration of the start in force.
    pub fn new(config: Config, agent: watch::Sender<SocketAddr>, context: &Context) -> Reloader {
        Reloader {
            config,
            agent,
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
        let fresh = configuration::load()?;
        if let Some(key) = self.config.first_key_missing_in(&fresh) {
            return Err(ReloadError::MissingKey(key));
        }
        self.config.served = reconfigure(&self.messages, &fresh.served).await?;
        let published = published_descriptions::publish(&self.config);
        self.contracts.republish(published);
        let keys = self.config.changed_keys_requiring_restart(&fresh);
        if !keys.is_empty() {
            tracing::warn!(keys = keys.join(", "), "reload needs restart");
        }
        if let Some(discovery) = fresh.discovery {
            tracing::info!(%discovery, "reload applied");
            self.agent
                .send_if_modified(|agent| std::mem::replace(agent, discovery) != discovery);
        }
        if let Err(error) = descriptions::adopt(&self.contracts, &fresh).await {
            tracing::error!(cause = %error, "descriptions rejected");
        }
        self.config.discovery = fresh.discovery;
        self.config.deployment_document = fresh.deployment_document;
        Ok(())
    }
}

/// Has the decision loop take other settings between two ticks, all or none. Returns what is in force then.
async fn reconfigure(
    messages: &mpsc::Sender<CoreMessage>,
    fresh: &ServedConfiguration,
) -> Result<Arc<ServedConfiguration>, ReloadError> {
    let (reply, result) = oneshot::channel();
    let message = CoreMessage::Reconfigure {
        configuration: Box::new(fresh.clone()),
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

/// Logs each class that clients may ask for.
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
