//! Applies a reloaded configuration, between two ticks and whole or not at all.

use super::Core;
use crate::messages::{Index, ReconfigurationError, ServedConfiguration};
use cairnroad_admin::reconfigure::{self, Reconfiguration};
use cairnroad_types::ClassId;
use std::sync::Arc;

impl Core {
    /// Applies `fresh` and returns the configuration that is in force afterwards.
    pub(super) fn reconfigure(
        &mut self,
        fresh: ServedConfiguration,
    ) -> Result<Arc<ServedConfiguration>, ReconfigurationError> {
        let in_force = self.served_configuration.borrow().clone();
        let in_use = |class: ClassId| self.requests.has_request_of_class(usize::from(class.0));
        let Reconfiguration {
            deployment,
            places,
            renewed,
            waiting,
        } = reconfigure::retune(&in_force.deployment, &fresh.deployment, in_use)
            .map_err(ReconfigurationError::Rejected)?;
        if !waiting.is_empty() {
            tracing::warn!(
                keys = waiting.join(", "),
                "reload: settings that take a restart stay as they were"
            );
        }
        self.requests.reconfigure(&deployment);
        self.pool.reconfigure(&deployment);
        self.router.reconfigure(&deployment, &renewed, &places);
        self.slow_start_duration = deployment.policy.slow_start_duration;
        let served = Arc::new(ServedConfiguration {
            indices: renumber_classes(fresh.indices, &places),
            deployment,
        });
        self.served_configuration.send_replace(served.clone());
        Ok(served)
    }
}

/// The indices with their classes' places in the table in force; `places` maps the reloaded file's class numbers.
fn renumber_classes(indices: Vec<Index>, places: &[ClassId]) -> Vec<Index> {
    let renumbered = indices.into_iter().filter_map(|index| {
        let place = places.get(index.class)?;
        Some(Index {
            class: usize::from(place.0),
            ..index
        })
    });
    renumbered.collect()
}
