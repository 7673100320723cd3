//! Reload of the deployment's settings (SIGHUP): whether a file is accepted, and what it changes.
//!
//! A rejected file changes nothing. [`first_missing_key`] detects a file that lost a key; [`reconfigure`] assigns the
//! new classes to slots and keeps the old value of every setting that only a restart may change.

mod class_slots;
mod missing_key;

pub use missing_key::first_missing_key;

use cairnroad_settings::Deployment;
use cairnroad_types::{ClassId, Settings};
use class_slots::{ClassSlots, ClassTables};

/// Upper limit on class slots. Frequent reloads while requests of the replaced classes are in flight must not grow the
/// tables without bound.
const MAX_CLASS_SLOTS: usize = 256;

/// The reason why a deployment that is valid on its own can't replace the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReconfigureError {
    /// Requests in flight hold every slot that a new or changed class could take.
    #[error("settings: requests in flight hold all {limit} class slots; reload again once they have completed")]
    NoFreeClassSlot {
        /// The maximum number of class slots.
        limit: usize,
    },
}

/// An accepted reload.
#[derive(Debug)]
pub struct Reconfiguration {
    /// The deployment in force from now on.
    pub deployment: Deployment,
    /// The slot of each class of the new file, in the file's order.
    pub class_ids: Vec<ClassId>,
    /// The slots among `class_ids` whose class is new or changed.
    pub replaced_slots: Vec<ClassId>,
    /// Keys that differ in the new file and keep their old value until a restart.
    pub requires_restart: Vec<&'static str>,
}

/// Computes the deployment that results from loading `new` over the one in force.
///
/// `is_in_use` returns whether a request in flight holds a slot.
pub fn reconfigure(
    in_force: &Deployment,
    new: &Deployment,
    is_in_use: impl Fn(ClassId) -> bool,
) -> Result<Reconfiguration, ReconfigureError> {
    let mut slots = ClassSlots::new(in_force, new.class_names.len());
    slots.keep_unchanged_classes(new);
    slots.assign_other_classes(new, is_in_use)?;
    let requires_restart = keys_that_require_restart(in_force, new);
    let class_ids = slots.class_ids();
    let ClassTables {
        classes,
        class_names,
        replaced_slots,
    } = slots.into_tables();
    let policy = Settings {
        classes,
        ..live_policy(&in_force.policy, &new.policy)
    };
    let deployment = Deployment {
        policy,
        class_names,
        max_in_flight: new.max_in_flight,
        longest_retry_after: new.longest_retry_after,
        ..in_force.clone()
    };
    Ok(Reconfiguration {
        deployment,
        class_ids,
        replaced_slots,
        requires_restart,
    })
}

/// Returns the new policy with the old values of the settings that only a restart may change.
fn live_policy(in_force: &Settings, new: &Settings) -> Settings {
    Settings {
        tick: in_force.tick,
        cells: in_force.cells,
        cells_per_shard: in_force.cells_per_shard,
        max_parts_per_call: in_force.max_parts_per_call,
        in_flight_report_index: in_force.in_flight_report_index,
        max_poll_interval: in_force.max_poll_interval,
        ..new.clone()
    }
}

/// Returns the keys that differ but keep their old value in [`live_policy`] and [`reconfigure`].
fn keys_that_require_restart(in_force: &Deployment, new: &Deployment) -> Vec<&'static str> {
    let old_policy = &in_force.policy;
    let new_policy = &new.policy;
    let report_differs = in_force.report_names != new.report_names
        || old_policy.in_flight_report_index != new_policy.in_flight_report_index;
    let differences = [
        ("tickS", old_policy.tick != new_policy.tick),
        ("extra.positions", old_policy.cells != new_policy.cells),
        (
            "extra.span",
            old_policy.cells_per_shard != new_policy.cells_per_shard,
        ),
        ("extra.shards", in_force.shards != new.shards),
        (
            "extra.partsACall",
            old_policy.max_parts_per_call != new_policy.max_parts_per_call,
        ),
        ("report.names", report_differs),
        (
            "registryMode",
            old_policy.max_poll_interval != new_policy.max_poll_interval,
        ),
        (
            "caps.dialTimeoutS",
            in_force.connect_timeout != new.connect_timeout,
        ),
        ("caps.keepaliveS", in_force.idle_timeout != new.idle_timeout),
        (
            "caps.streamsPerConn",
            in_force.max_parts_per_connection != new.max_parts_per_connection,
        ),
    ];
    differences
        .into_iter()
        .filter_map(|(key, differs)| differs.then_some(key))
        .collect()
}

#[cfg(test)]
mod tests;
