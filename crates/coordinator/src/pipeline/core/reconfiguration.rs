//! Applies a reloaded configuration, between two ticks and whole or not at all.

use super::Core;
use crate::messages::{SearchIndex, ServedConfiguration};
use cairnroad_admin::reconfigure::{self, Reconfiguration, ReconfigureError};
use cairnroad_types::ClassId;
use std::sync::Arc;

impl Core {
    /// Applies `fresh` and returns the configuration that is in force afterwards.
    pub(super) fn reconfigure(
        &mut self,
        fresh: ServedConfiguration,
    ) -> Result<Arc<ServedConfiguration>, ReconfigureError> {
        let in_force = self.served_configuration.borrow().clone();
        let in_use = |class: ClassId| self.requests.has_request_of_class(usize::from(class.0));
        let Reconfiguration {
            deployment,
            class_ids,
            replaced_slots,
            requires_restart,
        } = reconfigure::reconfigure(&in_force.deployment, &fresh.deployment, in_use)?;
        if !requires_restart.is_empty() {
            tracing::warn!(
                keys = requires_restart.join(", "),
                "reload: settings that take a restart stay as they were"
            );
        }
        self.requests.reconfigure(&deployment);
        self.pool.reconfigure(&deployment);
        self.router
            .reconfigure(&deployment, &replaced_slots, &class_ids);
        self.slow_start_duration = deployment.policy.slow_start_duration;
        let served = Arc::new(ServedConfiguration {
            indices: renumber_classes(fresh.indices, &class_ids),
            deployment,
        });
        self.served_configuration.send_replace(served.clone());
        Ok(served)
    }
}

/// The indices with their classes' slots in the table in force; `class_ids` maps the reloaded file's class numbers.
fn renumber_classes(indices: Vec<SearchIndex>, class_ids: &[ClassId]) -> Vec<SearchIndex> {
    let renumbered = indices.into_iter().filter_map(|index| {
        let class_id = class_ids.get(index.class)?;
        Some(SearchIndex {
            class: usize::from(class_id.0),
            ..index
        })
    });
    renumbered.collect()
}
