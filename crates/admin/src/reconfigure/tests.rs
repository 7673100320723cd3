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
        classes: classes.iter().map(|(_, aim)| class(*aim)).collect(),
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
    let got = reconfigure(
        &old,
        &deployment(&[("c", 3.0), ("b", 2.0), ("a", 1.0)]),
        nothing_in_use,
    )
    .unwrap();
    assert_eq!(got.deployment.class_names, ["a", "b", "c"]);
    assert_eq!(got.class_ids, [ClassId(2), ClassId(1), ClassId(0)]);
    assert_eq!(
        (got.replaced_slots, got.requires_restart.len()),
        (vec![ClassId(2)], 0)
    );
}

/// Guards against a request in flight that finds another class, or a laxer idempotency, in its slot.
#[test]
fn a_removed_or_changed_class_keeps_its_slot_while_requests_hold_it() {
    let old = deployment(&[("a", 1.0), ("b", 2.0)]);
    let gone = reconfigure(&old, &deployment(&[("b", 5.0)]), nothing_in_use)
        .unwrap()
        .deployment;
    assert_eq!(
        gone.class_names,
        ["", "", "b"],
        "the slot of the old b is not freed and reused at once"
    );
    assert_eq!(gone.policy.classes[1], class(2.0));
    let next = deployment(&[("b", 5.0), ("c", 3.0)]);
    let held = reconfigure(&gone, &next, |slot| slot == ClassId(0))
        .unwrap()
        .deployment;
    assert_eq!(held.class_names, ["", "c", "b"]);
    assert_eq!(
        (&held.policy.classes[0], &held.policy.classes[1]),
        (&class(1.0), &class(3.0))
    );
    let full = reconfigure(&gone, &next, |_| true).unwrap().deployment;
    assert_eq!(full.class_names, ["", "", "b", "c"]);
}

#[test]
fn settings_that_shape_tables_require_a_restart() {
    let old = deployment(&[("a", 1.0)]);
    let mut fresh = deployment(&[("a", 1.0)]);
    (
        fresh.policy.tick,
        fresh.policy.max_attempts,
        fresh.shards,
        fresh.max_in_flight,
    ) = (0.01, 2, 9, 7);
    let got = reconfigure(&old, &fresh, nothing_in_use).unwrap();
    assert_eq!(got.requires_restart, ["tickS", "extra.shards"]);
    let now = got.deployment;
    assert_eq!(
        (
            now.policy.tick,
            now.shards,
            now.policy.max_attempts,
            now.max_in_flight
        ),
        (0.005, 0, 2, 7)
    );
}

/// Whatever files are loaded in whatever order, every class in force has a slot of its own with its own terms, no slot
/// in use changes, and the tables stay bounded.
#[test]
fn every_class_has_its_own_slot_and_no_slot_in_use_changes() {
    let one = |files: Vec<Vec<(u8, bool)>>, held: Vec<u8>| {
        let mut now = deployment(&[("a", 1.0)]);
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
                .map(|(name, aim)| (name.as_str(), *aim))
                .collect();
            let fresh = deployment(&rows);
            let in_use = |slot: ClassId| held.iter().any(|&at| u16::from(at % 16) == slot.0);
            let Ok(got) = reconfigure(&now, &fresh, in_use) else {
                return false;
            };
            let kept = (0..now.policy.classes.len())
                .filter(|&slot| in_use(class_slots::class_id(slot)))
                .all(|slot| got.deployment.policy.classes[slot] == now.policy.classes[slot]);
            let right = fresh
                .class_names
                .iter()
                .zip(&fresh.policy.classes)
                .zip(&got.class_ids)
                .all(|((name, class), slot)| {
                    got.deployment.class_index(name) == Some(usize::from(slot.0))
                        && got.deployment.policy.classes[usize::from(slot.0)] == *class
                });
            // Eight names in two files in a row, and sixteen slots that may stay in use.
            if !kept || !right || got.deployment.class_names.len() > 32 {
                return false;
            }
            now = got.deployment;
        }
        true
    };
    let fixed = Gen::from_size_and_seed(24, 11);
    let property = one as fn(Vec<Vec<(u8, bool)>>, Vec<u8>) -> bool;
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
        let mut fresh = old.clone();
        change(&mut fresh);
        first_missing_key(&old, &fresh)
    };
    assert_eq!(missing_after(|_| {}), None);
    assert_eq!(
        missing_after(|v| drop(v.as_object_mut().unwrap().remove("seed"))),
        None,
        "only needed at a start"
    );
    assert_eq!(
        missing_after(|v| v["settings"]["classes"].as_array_mut().unwrap().truncate(1)),
        None
    );
    assert_eq!(
        missing_after(|v| drop(v.as_object_mut().unwrap().remove("name"))).unwrap(),
        "name"
    );
    let caps = |v: &mut Value| drop(v["settings"]["caps"].as_object_mut().unwrap().remove("a"));
    assert_eq!(missing_after(caps).unwrap(), "settings.caps.a");
    let row = |v: &mut Value| {
        drop(
            v["settings"]["classes"][1]
                .as_object_mut()
                .unwrap()
                .remove("aimS"),
        )
    };
    assert_eq!(missing_after(row).unwrap(), "settings.classes[1].aimS");
    let odd = |v: &mut Value| {
        drop(
            v["settings"]["classes"][0]
                .as_object_mut()
                .unwrap()
                .remove("odd"),
        )
    };
    assert_eq!(missing_after(odd), None, "not every row had it");
}
