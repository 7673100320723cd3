//! Reloading the deployment's settings (SIGHUP): whether a file is accepted, and what changes with it.
//!
//! A rejected file changes nothing. [`first_missing_key`] rejects a file that lost a key; [`reconfigure`] assigns the
//! new classes to slots and keeps every setting that only a restart may change.

mod class_slots;
mod missing_key;

pub use missing_key::first_missing_key;

use cairnroad_settings::Deployment;
use cairnroad_types::{ClassId, Settings};
use class_slots::{ClassSlots, ClassTables};

/// Upper limit of class slots. Classes that change often while requests of the old ones are in flight must not grow
/// the tables without bound.
const MAX_CLASS_SLOTS: usize = 256;

/// Why a deployment that is valid by itself can't replace the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReconfigureError {
    /// In-flight requests hold every slot that a new or changed class could take.
    #[error("settings: requests in flight hold all {limit} class slots; reload again once they have completed")]
    NoFreeClassSlot {
        /// The upper limit of slots.
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
    /// The slots among `class_ids` that hold another class than before.
    pub replaced_slots: Vec<ClassId>,
    /// Keys that differ in the new file and keep their old value until a restart.
    pub requires_restart: Vec<&'static str>,
}

/// Returns what the deployment `new` changes of the one in force.
///
/// `is_in_use` says whether a request in flight holds a class's slot.
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

/// Returns the new policy with the old values of what only a restart may change.
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

/// Returns the keys that differ and that [`live_policy`] and [`reconfigure`] leave as they were.
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
