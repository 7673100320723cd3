//! Settings that change in service: whether a file may be taken at all, and which place each class gets.
//!
//! A class's place is its number in all tables. Requests hold theirs until they end, so a class that is gone or
//! changed keeps its place, without its name, until no request holds it.

use cairnroad_routing::ClassId;
use cairnroad_settings::Deployment;
use serde_json::Value;

/// Most places. Classes that change often while requests of the old ones are open must not grow the tables for good.
const MOST_PLACES: usize = 256;
/// Keys that belong to a start and need not stand in a later file.
const STARTS: [&str; 2] = ["known", "seed"];

/// What other settings make of those in force.
#[derive(Debug)]
pub struct Retuned {
    /// What is in force from now on.
    pub deployment: Deployment,
    /// The place of each class of the new file, in its order.
    pub places: Vec<ClassId>,
    /// Of these, the ones that hold another class than before.
    pub renewed: Vec<ClassId>,
    /// What differs and takes a restart.
    pub waiting: Vec<&'static str>,
}

/// What new settings make of those in force. `held` says whether a request holds a place.
pub fn retune(
    in_force: &Deployment,
    fresh: &Deployment,
    held: impl Fn(ClassId) -> bool,
) -> Result<Retuned, String> {
    let mut names = vec![String::new(); in_force.class_names.len()];
    let mut classes = in_force.policy.classes.clone();
    let mut places = vec![None; fresh.class_names.len()];
    let stated = || fresh.class_names.iter().zip(&fresh.policy.classes).enumerate();
    // Who is the same stays where it was, whatever the order of the file.
    for (at, (name, class)) in stated() {
        let same = in_force.place(name).filter(|&place| in_force.policy.classes[place] == *class);
        if let Some(place) = same.filter(|&place| names[place].is_empty()) {
            names[place] = name.clone();
            places[at] = Some(place);
        }
    }
    let mut renewed = Vec::new();
    for (at, (name, class)) in stated() {
        if places[at].is_some() {
            continue;
        }
        // A place that was given up just now may be held by a request that is on its way here.
        let free = (0..in_force.class_names.len()).find(|&place| {
            in_force.class_names[place].is_empty() && names[place].is_empty() && !held(id(place))
        });
        let place = free.unwrap_or(classes.len());
        if place == classes.len() {
            if place >= MOST_PLACES {
                return Err(format!("settings: requests hold all {MOST_PLACES} places for classes"));
            }
            classes.push(class.clone());
            names.push(String::new());
        }
        classes[place] = class.clone();
        names[place] = name.clone();
        places[at] = Some(place);
        renewed.push(id(place));
    }
    let (old, new) = (in_force, fresh);
    let waits = [
        ("tickS", old.policy.tick != new.policy.tick),
        ("extra.positions", old.policy.cells != new.policy.cells),
        ("extra.span", old.policy.reach != new.policy.reach),
        ("extra.shards", old.shards != new.shards),
        ("extra.partsACall", old.policy.parts_a_call != new.policy.parts_a_call),
        ("report.names", old.report_names != new.report_names || old.policy.probes != new.policy.probes),
        ("registryMode", old.policy.must_ask != new.policy.must_ask),
        ("caps.dialTimeoutS", old.dial_timeout != new.dial_timeout),
        ("caps.keepaliveS", old.keepalive != new.keepalive),
        ("caps.streamsPerConn", old.streams != new.streams),
    ];
    let mut policy = new.policy.clone();
    policy.classes = classes;
    policy.tick = old.policy.tick;
    (policy.cells, policy.reach) = (old.policy.cells, old.policy.reach);
    (policy.parts_a_call, policy.probes) = (old.policy.parts_a_call, old.policy.probes);
    policy.must_ask = old.policy.must_ask;
    let deployment = Deployment {
        policy,
        class_names: names,
        open_cap: new.open_cap,
        longest_advice: new.longest_advice,
        ..old.clone()
    };
    Ok(Retuned {
        deployment,
        places: places.into_iter().flatten().map(id).collect(),
        renewed,
        waiting: waits.into_iter().filter_map(|(key, differs)| differs.then_some(key)).collect(),
    })
}

fn id(place: usize) -> ClassId {
    ClassId(place as u16)
}

/// The first key that the file in force has and another lacks, as a path. Guards against a file that was cut or
/// written badly and is sound all the same because a key has a default.
pub fn lacks(in_force: &Value, fresh: &Value) -> Option<String> {
    let Value::Object(keys) = in_force else { return missing(in_force, fresh) };
    let lasting = keys.iter().filter(|(key, _)| !STARTS.contains(&key.as_str()));
    lasting.map(|(key, value)| (key, value, fresh.get(key))).find_map(|(key, value, other)| match other {
        None => Some(key.clone()),
        Some(other) => missing(value, other).map(|path| join(key, &path)),
    })
}

fn join(key: &str, path: &str) -> String {
    match path.starts_with('[') {
        true => format!("{key}{path}"),
        false => format!("{key}.{path}"),
    }
}

fn missing(old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(keys), Value::Object(others)) => {
            keys.iter().find_map(|(key, value)| match others.get(key) {
                None => Some(key.clone()),
                Some(other) => missing(value, other).map(|path| join(key, &path)),
            })
        }
        // Rows may come and go; each has what all rows had.
        (Value::Array(rows), Value::Array(others)) => {
            let first = rows.first()?.as_object()?;
            let common = |key: &&String| rows.iter().all(|row| row.get(key.as_str()).is_some());
            let keys: Vec<_> = first.keys().filter(common).collect();
            others.iter().enumerate().find_map(|(at, other)| {
                let lost = keys.iter().find(|key| other.get(key.as_str()).is_none())?;
                Some(format!("[{at}].{lost}"))
            })
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use cairnroad_routing::{Class, Effect, Settings};
    use quickcheck::{Gen, QuickCheck};
    use serde_json::json;

    fn class(aim: f64) -> Class {
        Class {
            aim,
            aim_stretch: 0.0,
            deadline: 2.0,
            worth: 1.0,
            late_share: 0.0,
            effect: Effect::Safe,
            window: 0.0,
            need: 1.0,
            floor: 1.0,
            partial: 0.0,
            fetch: 0,
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
        Deployment { policy, class_names, ..Deployment::default() }
    }

    fn free(_: ClassId) -> bool {
        false
    }

    #[test]
    fn classes_keep_their_places_whatever_the_files_order() {
        let old = deployment(&[("a", 1.0), ("b", 2.0)]);
        let got = retune(&old, &deployment(&[("c", 3.0), ("b", 2.0), ("a", 1.0)]), free).unwrap();
        assert_eq!(got.deployment.class_names, ["a", "b", "c"]);
        assert_eq!(got.places, [ClassId(2), ClassId(1), ClassId(0)]);
        assert_eq!((got.renewed, got.waiting.len()), (vec![ClassId(2)], 0));
    }

    /// Guards against a request under way that finds another class, or a laxer effect, at its place.
    #[test]
    fn a_class_that_goes_or_changes_keeps_its_place_while_it_is_held() {
        let old = deployment(&[("a", 1.0), ("b", 2.0)]);
        let gone = retune(&old, &deployment(&[("b", 5.0)]), free).unwrap().deployment;
        assert_eq!(
            gone.class_names,
            ["", "", "b"],
            "the place of the old b is not given up and taken at once"
        );
        assert_eq!(gone.policy.classes[1], class(2.0));
        let next = deployment(&[("b", 5.0), ("c", 3.0)]);
        let held = retune(&gone, &next, |place| place == ClassId(0)).unwrap().deployment;
        assert_eq!(held.class_names, ["", "c", "b"]);
        assert_eq!((&held.policy.classes[0], &held.policy.classes[1]), (&class(1.0), &class(3.0)));
        let full = retune(&gone, &next, |_| true).unwrap().deployment;
        assert_eq!(full.class_names, ["", "", "b", "c"]);
    }

    #[test]
    fn what_shapes_the_tables_waits_for_a_restart() {
        let old = deployment(&[("a", 1.0)]);
        let mut fresh = deployment(&[("a", 1.0)]);
        (fresh.policy.tick, fresh.policy.max_attempts, fresh.shards, fresh.open_cap) = (0.01, 2, 9, 7);
        let got = retune(&old, &fresh, free).unwrap();
        assert_eq!(got.waiting, ["tickS", "extra.shards"]);
        let now = got.deployment;
        assert_eq!((now.policy.tick, now.shards, now.policy.max_attempts, now.open_cap), (0.005, 0, 2, 7));
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
                let rows: Vec<_> = rows.iter().map(|(name, aim)| (name.as_str(), *aim)).collect();
                let fresh = deployment(&rows);
                let holds = |place: ClassId| held.iter().any(|&at| u16::from(at % 16) == place.0);
                let Ok(got) = retune(&now, &fresh, holds) else { return false };
                let kept = (0..now.policy.classes.len())
                    .filter(|&place| holds(id(place)))
                    .all(|place| got.deployment.policy.classes[place] == now.policy.classes[place]);
                let right = fresh.class_names.iter().zip(&fresh.policy.classes).zip(&got.places).all(
                    |((name, class), place)| {
                        got.deployment.place(name) == Some(usize::from(place.0))
                            && got.deployment.policy.classes[usize::from(place.0)] == *class
                    },
                );
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
        QuickCheck::new().rng(fixed).tests(1_000).quickcheck(property);
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
        assert_eq!(lacking(|v| drop(v.as_object_mut().unwrap().remove("seed"))), None, "a start's own");
        assert_eq!(lacking(|v| v["settings"]["classes"].as_array_mut().unwrap().truncate(1)), None);
        assert_eq!(lacking(|v| drop(v.as_object_mut().unwrap().remove("name"))).unwrap(), "name");
        let caps = |v: &mut Value| drop(v["settings"]["caps"].as_object_mut().unwrap().remove("a"));
        assert_eq!(lacking(caps).unwrap(), "settings.caps.a");
        let row = |v: &mut Value| drop(v["settings"]["classes"][1].as_object_mut().unwrap().remove("aimS"));
        assert_eq!(lacking(row).unwrap(), "settings.classes[1].aimS");
        let odd = |v: &mut Value| drop(v["settings"]["classes"][0].as_object_mut().unwrap().remove("odd"));
        assert_eq!(lacking(odd), None, "not every row had it");
    }
}
