//! Settings that change in service: whether a file may be taken at all, and which place each class gets.
//!
//! A class's place is its number in all tables. Requests hold theirs until they end, so a class that is gone or
//! changed keeps its place, without its name, until no request holds it.

use cairnroad_settings::Deployment;
use cairnroad_types::ClassId;
use serde_json::Value;

/// Most places. Classes that change often while requests of the old ones are open must not grow the tables for good.
const MOST_PLACES: usize = 256;
/// Keys that belong to a start and need not stand in a later file.
const STARTS: [&str; 2] = ["known", "seed"];

/// What other settings make of those in force.
#[derive(Debug)]
pub struct Reconfiguration {
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
) -> Result<Reconfiguration, String> {
    let mut names = vec![String::new(); in_force.class_names.len()];
    let mut classes = in_force.policy.classes.clone();
    let mut places = vec![None; fresh.class_names.len()];
    let stated = || {
        fresh
            .class_names
            .iter()
            .zip(&fresh.policy.classes)
            .enumerate()
    };
    // Who is the same stays where it was, whatever the order of the file.
    for (at, (name, class)) in stated() {
        let same = in_force
            .class_index(name)
            .filter(|&place| in_force.policy.classes[place] == *class);
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
                return Err(format!(
                    "settings: requests hold all {MOST_PLACES} places for classes"
                ));
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
        (
            "extra.span",
            old.policy.cells_per_shard != new.policy.cells_per_shard,
        ),
        ("extra.shards", old.shards != new.shards),
        (
            "extra.partsACall",
            old.policy.max_parts_per_call != new.policy.max_parts_per_call,
        ),
        (
            "report.names",
            old.report_names != new.report_names
                || old.policy.health_check_value != new.policy.health_check_value,
        ),
        (
            "registryMode",
            old.policy.max_poll_interval != new.policy.max_poll_interval,
        ),
        (
            "caps.dialTimeoutS",
            old.connect_timeout != new.connect_timeout,
        ),
        ("caps.keepaliveS", old.idle_timeout != new.idle_timeout),
        (
            "caps.streamsPerConn",
            old.max_parts_per_connection != new.max_parts_per_connection,
        ),
    ];
    let mut policy = new.policy.clone();
    policy.classes = classes;
    policy.tick = old.policy.tick;
    (policy.cells, policy.cells_per_shard) = (old.policy.cells, old.policy.cells_per_shard);
    (policy.max_parts_per_call, policy.health_check_value) =
        (old.policy.max_parts_per_call, old.policy.health_check_value);
    policy.max_poll_interval = old.policy.max_poll_interval;
    let deployment = Deployment {
        policy,
        class_names: names,
        max_in_flight: new.max_in_flight,
        longest_retry_after: new.longest_retry_after,
        ..old.clone()
    };
    Ok(Reconfiguration {
        deployment,
        places: places.into_iter().flatten().map(id).collect(),
        renewed,
        waiting: waits
            .into_iter()
            .filter_map(|(key, differs)| differs.then_some(key))
            .collect(),
    })
}

fn id(place: usize) -> ClassId {
    ClassId(place as u16)
}

/// The first key that the file in force has and another lacks, as a path. Guards against a file that was cut or
/// written badly and is sound all the same because a key has a default.
pub fn lacks(in_force: &Value, fresh: &Value) -> Option<String> {
    let Value::Object(keys) = in_force else {
        return missing(in_force, fresh);
    };
    let lasting = keys
        .iter()
        .filter(|(key, _)| !STARTS.contains(&key.as_str()));
    lasting
        .map(|(key, value)| (key, value, fresh.get(key)))
        .find_map(|(key, value, other)| match other {
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
mod tests;
