//! Applies a reloaded configuration atomically, between two ticks.

use super::Core;
use crate::messages::{SearchIndex, ServedConfiguration};
use cairnroad_admin::reconfigure::{self, Reconfiguration, ReconfigureError};
use cairnroad_types::ClassId;
use std::sync::Arc;

impl Core {
    /// Applies the `reloaded` configuration and returns the configuration that is active afterwards. On an error
    /// nothing changes.
    pub(super) fn reconfigure(
        &mut self,
        reloaded: ServedConfiguration,
    ) -> Result<Arc<ServedConfiguration>, ReconfigureError> {
        let active = self.served_configuration.borrow().clone();
        let in_use = |class: ClassId| self.requests.has_request_of_class(usize::from(class.0));
        let Reconfiguration {
            deployment,
            class_ids,
            replaced_slots,
            requires_restart,
        } = reconfigure::reconfigure(&active.deployment, &reloaded.deployment, in_use)?;
        if !requires_restart.is_empty() {
            tracing::warn!(
                keys = requires_restart.join(", "),
                "reload: changed settings that require a restart keep their previous values"
            );
        }
        self.requests.reconfigure(&deployment);
        self.pool.reconfigure(&deployment);
        self.router
            .reconfigure(&deployment, &replaced_slots, &class_ids);
        self.slow_start_duration = deployment.policy.slow_start_duration;
        let served = Arc::new(ServedConfiguration {
            indices: renumber_classes(reloaded.indices, &class_ids),
            deployment,
        });
        self.served_configuration.send_replace(served.clone());
        Ok(served)
    }
}

/// Returns the indices with their classes renumbered to the slots of the active class table. `class_ids` maps class
/// numbers of the reloaded configuration to these slots.
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
