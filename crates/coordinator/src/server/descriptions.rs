//! Loads the interface descriptions at the start and at each reload, outside of the decision loop's thread.

use super::error::DescriptionsError;
use crate::clock::Clock;
use crate::configuration::Config;
use crate::contract::{self, Contracts};
use crate::published_descriptions;
use std::rc::Rc;

/// Publishes the coordinator's own descriptions, and puts the ones that the configuration names into force.
pub async fn start(config: &Config, clock: &Clock) -> Result<Rc<Contracts>, DescriptionsError> {
    let published = published_descriptions::publish(config);
    let contracts = Contracts::new(clock.clone(), published);
    if !config.contracts.is_empty() {
        adopt(&contracts, config).await?;
    }
    Ok(Rc::new(contracts))
}

/// Reads the descriptions that a configuration names, and puts either all or none of them into force.
pub async fn adopt(contracts: &Contracts, config: &Config) -> Result<(), DescriptionsError> {
    let settings = config.contracts.clone();
    let backend = config.backend;
    // Reading blocks on files, and the thread of the decision loop must not wait for that.
    let read = tokio::task::spawn_blocking(move || contract::read(&settings, backend));
    let descriptions = read.await.map_err(DescriptionsError::Read)?;
    contracts
        .adopt(descriptions)
        .map_err(|cause| DescriptionsError::Rejected(cause.into()))
}
