use super::{class_slots, first_missing_key, reconfigure};
use cairnroad_settings::Deployment;
use cairnroad_types::{Class, ClassId, Idempotency, Settings};
use quickcheck::{Gen, QuickCheck};
use serde_json::{json, Value};

fn class(latency_objective: f64) -> Class {
    Class {
        latency_objective,
        objective_per_work: 0.0,
        deadline: 2.0,
        priority_weight: 1.0,
        late_answer_share: 0.0,
        idempotency: Idempotency::Idempotent,
        dedup_window: 0.0,
        complete_threshold: 1.0,
        minimum_share: 1.0,
        partial_answer_share: 0.0,
        second_step_parts: 0,
    }
}

fn deployment(classes: &[(&str, f64)]) -> Deployment {
    let policy = Settings {
        classes: classes
            .iter()
            .map(|(_, latency_objective)| class(*latency_objective))
            .collect(),
        max_attempts: 3,
        tick: 0.005,
        ..Settings::default()
    };
    let class_names = classes.iter().map(|(name, _)| name.to_string()).collect();
    Deployment {
        policy,
        class_names,
        ..Deployment::default()
    }
}

fn nothing_in_use(_: ClassId) -> bool {
    false
}

#[test]
fn unchanged_classes_keep_their_slots_whatever_the_order_of_the_file() {
    let old = deployment(&[("a", 1.0), ("b", 2.0)]);
    let reloaded = reconfigure(
        &old,
        &deployment(&[("c", 3.0), ("b", 2.0), ("a", 1.0)]),
        nothing_in_use,
    )
    .unwrap();
    assert_eq!(reloaded.deployment.class_names, ["a", "b", "c"]);
    assert_eq!(reloaded.class_ids, [ClassId(2), ClassId(1), ClassId(0)]);
    assert_eq!(
        (reloaded.replaced_slots, reloaded.requires_restart.len()),
        (vec![ClassId(2)], 0)
    );
}

/// Guards against a reload that puts another class, or a laxer idempotency, into the slot of a request in flight.
#[test]
fn a_removed_or_changed_class_keeps_its_slot_while_requests_hold_it() {
    let old = deployment(&[("a", 1.0), ("b", 2.0)]);
    let after_removal = reconfigure(&old, &deployment(&[("b", 5.0)]), nothing_in_use)
        .unwrap()
        .deployment;
    assert_eq!(
        after_removal.class_names,
        ["", "", "b"],
        "the slot of the old b is not freed and reused at once"
    );
    assert_eq!(after_removal.policy.classes[1], class(2.0));
    let next = deployment(&[("b", 5.0), ("c", 3.0)]);
    let first_in_use = reconfigure(&after_removal, &next, |slot| slot == ClassId(0))
        .unwrap()
        .deployment;
    assert_eq!(first_in_use.class_names, ["", "c", "b"]);
    assert_eq!(
        (
            &first_in_use.policy.classes[0],
            &first_in_use.policy.classes[1]
        ),
        (&class(1.0), &class(3.0))
    );
    let all_in_use = reconfigure(&after_removal, &next, |_| true)
        .unwrap()
        .deployment;
    assert_eq!(all_in_use.class_names, ["", "", "b", "c"]);
}

#[test]
fn settings_that_shape_tables_require_a_restart() {
    let old = deployment(&[("a", 1.0)]);
    let mut new = deployment(&[("a", 1.0)]);
    (
        new.policy.tick,
        new.policy.max_attempts,
        new.shards,
        new.max_in_flight,
    ) = (0.01, 2, 9, 7);
    let reloaded = reconfigure(&old, &new, nothing_in_use).unwrap();
    assert_eq!(reloaded.requires_restart, ["tickS", "extra.shards"]);
    let in_force = reloaded.deployment;
    assert_eq!(
        (
            in_force.policy.tick,
            in_force.shards,
            in_force.policy.max_attempts,
            in_force.max_in_flight
        ),
        (0.005, 0, 2, 7)
    );
}

/// Checks that, whatever files are loaded in whatever order, every class in force has its own slot with its own
/// settings, no slot in use changes, and the tables stay bounded.
#[test]
fn every_class_has_its_own_slot_and_no_slot_in_use_changes() {
    let slots_are_consistent = |files: Vec<Vec<(u8, bool)>>, held: Vec<u8>| {
        let mut in_force = deployment(&[("a", 1.0)]);
        for file in files {
            let mut rows: Vec<(String, f64)> = Vec::new();
            for (name, long) in file.into_iter().take(12) {
                let name = format!("c{}", name % 8);
                if rows.iter().all(|(other, _)| *other != name) {
                    rows.push((name, if long { 2.0 } else { 1.0 }));
                }
            }
            let rows: Vec<_> = rows
                .iter()
                .map(|(name, latency_objective)| (name.as_str(), *latency_objective))
                .collect();
            let new = deployment(&rows);
            let in_use = |slot: ClassId| held.iter().any(|&at| u16::from(at % 16) == slot.0);
            let Ok(reloaded) = reconfigure(&in_force, &new, in_use) else {
                return false;
            };
            let slots_in_use_unchanged = (0..in_force.policy.classes.len())
                .filter(|&slot| in_use(class_slots::class_id(slot)))
                .all(|slot| {
                    reloaded.deployment.policy.classes[slot] == in_force.policy.classes[slot]
                });
            let classes_have_their_slots = new
                .class_names
                .iter()
                .zip(&new.policy.classes)
                .zip(&reloaded.class_ids)
                .all(|((name, class), slot)| {
                    reloaded.deployment.class_index(name) == Some(usize::from(slot.0))
                        && reloaded.deployment.policy.classes[usize::from(slot.0)] == *class
                });
            // Two consecutive files have up to 8 names each, and up to 16 slots may stay in use.
            if !slots_in_use_unchanged
                || !classes_have_their_slots
                || reloaded.deployment.class_names.len() > 32
            {
                return false;
            }
            in_force = reloaded.deployment;
        }
        true
    };
    let fixed = Gen::from_size_and_seed(24, 11);
    let property = slots_are_consistent as fn(Vec<Vec<(u8, bool)>>, Vec<u8>) -> bool;
    QuickCheck::new()
        .rng(fixed)
        .tests(1_000)
        .quickcheck(property);
}

#[test]
fn the_first_missing_key_is_reported_by_its_path() {
    let old = json!({"name": "n", "seed": "1", "settings": {"caps": {"a": 1},
        "classes": [{"name": "x", "aimS": 1, "odd": 1}, {"name": "y", "aimS": 1}]}});
    let missing_after = |change: fn(&mut Value)| {
        let mut new = old.clone();
        change(&mut new);
        first_missing_key(&old, &new)
    };
    assert_eq!(missing_after(|_| {}), None);
    assert_eq!(
        missing_after(|v| drop(v.as_object_mut().unwrap().remove("seed"))),
        None,
        "only used at startup"
    );
    assert_eq!(
        missing_after(|v| v["settings"]["classes"].as_array_mut().unwrap().truncate(1)),
        None
    );
    assert_eq!(
        missing_after(|v| drop(v.as_object_mut().unwrap().remove("name"))).unwrap(),
        "name"
    );
    let remove_cap =
        |v: &mut Value| drop(v["settings"]["caps"].as_object_mut().unwrap().remove("a"));
    assert_eq!(missing_after(remove_cap).unwrap(), "settings.caps.a");
    let remove_row_key = |v: &mut Value| {
        drop(
            v["settings"]["classes"][1]
                .as_object_mut()
                .unwrap()
                .remove("aimS"),
        )
    };
    assert_eq!(
        missing_after(remove_row_key).unwrap(),
        "settings.classes[1].aimS"
    );
    let remove_optional_key = |v: &mut Value| {
        drop(
            v["settings"]["classes"][0]
                .as_object_mut()
                .unwrap()
                .remove("odd"),
        )
    };
    assert_eq!(
        missing_after(remove_optional_key),
        None,
        "not every row in force has the key"
    );
}
