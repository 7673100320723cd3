//! Assigns the classes of a reloaded deployment to slots.
//!
//! A class's slot is its index in all tables, and requests hold the slot until they complete. So a class that was
//! removed or changed keeps its slot, without its name, until no request holds the slot.

use super::{ReconfigureError, MAX_CLASS_SLOTS};
use cairnroad_settings::Deployment;
use cairnroad_types::{Class, ClassId};

/// The class tables of an accepted reload, indexed by slot.
pub(super) struct ClassTables {
    pub(super) classes: Vec<Class>,
    /// The class name in each slot; empty for a slot whose class can't be requested.
    pub(super) class_names: Vec<String>,
    /// The slots whose class is new or changed.
    pub(super) replaced_slots: Vec<ClassId>,
}

/// The class tables of a reload in progress.
pub(super) struct ClassSlots<'d> {
    in_force: &'d Deployment,
    /// The class name in each slot; empty if the slot is free or its class was removed.
    names: Vec<String>,
    classes: Vec<Class>,
    /// The slot of each class of the new file; `None` until it is assigned.
    assigned: Vec<Option<usize>>,
    replaced_slots: Vec<ClassId>,
}

impl<'d> ClassSlots<'d> {
    /// Returns tables that hold the classes in force, without their names, for a file with `new_class_count` classes.
    pub(super) fn new(in_force: &'d Deployment, new_class_count: usize) -> ClassSlots<'d> {
        ClassSlots {
            in_force,
            names: vec![String::new(); in_force.class_names.len()],
            classes: in_force.policy.classes.clone(),
            assigned: vec![None; new_class_count],
            replaced_slots: Vec::new(),
        }
    }

    /// Keeps unchanged classes in their slots, regardless of their order in the new file.
    pub(super) fn keep_unchanged_classes(&mut self, new: &Deployment) {
        for (index, (name, class)) in classes_of(new).enumerate() {
            let unchanged = self
                .in_force
                .class_index(name)
                .filter(|&slot| self.in_force.policy.classes[slot] == *class)
                .filter(|&slot| self.names[slot].is_empty());
            if let Some(slot) = unchanged {
                self.names[slot] = name.clone();
                self.assigned[index] = Some(slot);
            }
        }
    }

    /// Assigns a free slot to every new or changed class, or appends a slot if none is free.
    pub(super) fn assign_other_classes(
        &mut self,
        new: &Deployment,
        is_in_use: impl Fn(ClassId) -> bool,
    ) -> Result<(), ReconfigureError> {
        for (index, (name, class)) in classes_of(new).enumerate() {
            if self.assigned[index].is_some() {
                continue;
            }
            let slot = match self.free_slot(&is_in_use) {
                Some(slot) => slot,
                None => self.append_slot(class)?,
            };
            self.classes[slot] = class.clone();
            self.names[slot] = name.clone();
            self.assigned[index] = Some(slot);
            self.replaced_slots.push(class_id(slot));
        }
        Ok(())
    }

    /// Returns a slot that was already free before this reload. A slot that this reload frees is not reused, because a
    /// request that was accepted but not yet counted may hold it.
    fn free_slot(&self, is_in_use: &impl Fn(ClassId) -> bool) -> Option<usize> {
        (0..self.in_force.class_names.len()).find(|&slot| {
            self.in_force.class_names[slot].is_empty()
                && self.names[slot].is_empty()
                && !is_in_use(class_id(slot))
        })
    }

    fn append_slot(&mut self, class: &Class) -> Result<usize, ReconfigureError> {
        let slot = self.classes.len();
        if slot >= MAX_CLASS_SLOTS {
            return Err(ReconfigureError::NoFreeClassSlot {
                limit: MAX_CLASS_SLOTS,
            });
        }
        self.classes.push(class.clone());
        self.names.push(String::new());
        Ok(slot)
    }

    /// Returns the slot of each class of the new file, in the file's order.
    pub(super) fn class_ids(&self) -> Vec<ClassId> {
        self.assigned
            .iter()
            .flatten()
            .map(|&slot| class_id(slot))
            .collect()
    }

    /// Returns the finished tables.
    pub(super) fn into_tables(self) -> ClassTables {
        ClassTables {
            classes: self.classes,
            class_names: self.names,
            replaced_slots: self.replaced_slots,
        }
    }
}

fn classes_of(deployment: &Deployment) -> impl Iterator<Item = (&String, &Class)> {
    deployment
        .class_names
        .iter()
        .zip(&deployment.policy.classes)
}

/// Returns the id of a slot. Slots are below [`MAX_CLASS_SLOTS`], so the cast is lossless.
pub(super) fn class_id(slot: usize) -> ClassId {
    ClassId(slot as u16)
}
