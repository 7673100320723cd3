use super::*;
use cairnroad_types::{Class, Idempotency, Settings};
use quickcheck::{Gen, QuickCheck};
use serde_json::json;

fn class(aim: f64) -> Class {
    Class {
        latency_objective: aim,
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

fn free(_: ClassId) -> bool {
    false
}

#[test]
fn classes_keep_their_places_whatever_the_files_order() {
    let old = deployment(&[("a", 1.0), ("b", 2.0)]);
    let got = retune(
        &old,
        &deployment(&[("c", 3.0), ("b", 2.0), ("a", 1.0)]),
        free,
    )
    .unwrap();
    assert_eq!(got.deployment.class_names, ["a", "b", "c"]);
    assert_eq!(got.places, [ClassId(2), ClassId(1), ClassId(0)]);
    assert_eq!((got.renewed, got.waiting.len()), (vec![ClassId(2)], 0));
}

/// Guards against a request under way that finds another class, or a laxer effect, at its place.
#[test]
fn a_class_that_goes_or_changes_keeps_its_place_while_it_is_held() {
    let old = deployment(&[("a", 1.0), ("b", 2.0)]);
    let gone = retune(&old, &deployment(&[("b", 5.0)]), free)
        .unwrap()
        .deployment;
    assert_eq!(
        gone.class_names,
        ["", "", "b"],
        "the place of the old b is not given up and taken at once"
    );
    assert_eq!(gone.policy.classes[1], class(2.0));
    let next = deployment(&[("b", 5.0), ("c", 3.0)]);
    let held = retune(&gone, &next, |place| place == ClassId(0))
        .unwrap()
        .deployment;
    assert_eq!(held.class_names, ["", "c", "b"]);
    assert_eq!(
        (&held.policy.classes[0], &held.policy.classes[1]),
        (&class(1.0), &class(3.0))
    );
    let full = retune(&gone, &next, |_| true).unwrap().deployment;
    assert_eq!(full.class_names, ["", "", "b", "c"]);
}

#[test]
fn what_shapes_the_tables_waits_for_a_restart() {
    let old = deployment(&[("a", 1.0)]);
    let mut fresh = deployment(&[("a", 1.0)]);
    (
        fresh.policy.tick,
        fresh.policy.max_attempts,
        fresh.shards,
        fresh.max_in_flight,
    ) = (0.01, 2, 9, 7);
    let got = retune(&old, &fresh, free).unwrap();
    assert_eq!(got.waiting, ["tickS", "extra.shards"]);
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

/// A model: whatever files come in whatever order, every class of the file in force has a place of its own with
/// its own terms, no held place changes, and the tables stay bounded.
#[test]
fn every_class_has_its_terms_and_no_held_place_changes() {
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
            let holds = |place: ClassId| held.iter().any(|&at| u16::from(at % 16) == place.0);
            let Ok(got) = retune(&now, &fresh, holds) else {
                return false;
            };
            let kept = (0..now.policy.classes.len())
                .filter(|&place| holds(id(place)))
                .all(|place| got.deployment.policy.classes[place] == now.policy.classes[place]);
            let right = fresh
                .class_names
                .iter()
                .zip(&fresh.policy.classes)
                .zip(&got.places)
                .all(|((name, class), place)| {
                    got.deployment.class_index(name) == Some(usize::from(place.0))
                        && got.deployment.policy.classes[usize::from(place.0)] == *class
                });
            // Eight names in two files in a row, and sixteen places that may be held for good.
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
fn a_file_that_lacks_a_key_is_told_by_the_key() {
    let old = json!({"name": "n", "seed": "1", "settings": {"caps": {"a": 1},
        "classes": [{"name": "x", "aimS": 1, "odd": 1}, {"name": "y", "aimS": 1}]}});
    let lacking = |change: fn(&mut Value)| {
        let mut fresh = old.clone();
        change(&mut fresh);
        lacks(&old, &fresh)
    };
    assert_eq!(lacking(|_| {}), None);
    assert_eq!(
        lacking(|v| drop(v.as_object_mut().unwrap().remove("seed"))),
        None,
        "a start's own"
    );
    assert_eq!(
        lacking(|v| v["settings"]["classes"].as_array_mut().unwrap().truncate(1)),
        None
    );
    assert_eq!(
        lacking(|v| drop(v.as_object_mut().unwrap().remove("name"))).unwrap(),
        "name"
    );
    let caps = |v: &mut Value| drop(v["settings"]["caps"].as_object_mut().unwrap().remove("a"));
    assert_eq!(lacking(caps).unwrap(), "settings.caps.a");
    let row = |v: &mut Value| {
        drop(
            v["settings"]["classes"][1]
                .as_object_mut()
                .unwrap()
                .remove("aimS"),
        )
    };
    assert_eq!(lacking(row).unwrap(), "settings.classes[1].aimS");
    let odd = |v: &mut Value| {
        drop(
            v["settings"]["classes"][0]
                .as_object_mut()
                .unwrap()
                .remove("odd"),
        )
    };
    assert_eq!(lacking(odd), None, "not every row had it");
}
