//! The deployment's JSON settings: the library's [`Settings`] and what else a host needs, read in one place.

mod fault;

pub use fault::Fault;

use cairnroad_types::{Class, Idempotency, RetryBudgetLimits, Settings};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Wire {
    classes: Vec<WireClass>,
    group_size: u32,
    registry_mode: String,
    report: Option<Report>,
    tick_s: f64,
    extra: Extra,
    caps: Caps,
    safety: Safety,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireClass {
    #[serde(default)]
    name: String,
    aim_s: f64,
    deadline_s: f64,
    effect: String,
    value: f64,
    late_share: f64,
    dedup_window_s: Option<f64>,
    aim_stretch: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Extra {
    positions: u32,
    span: u32,
    need_by_class: Vec<f64>,
    min_share: Vec<f64>,
    partial_earns: Vec<f64>,
    fetch_parts: Vec<u32>,
    #[serde(default = "many")]
    shards: u32,
    #[serde(default)]
    parts_a_call: u32,
}

#[derive(Deserialize)]
struct Report {
    names: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Caps {
    attempts_cap: u32,
    cancel: bool,
    probes: Option<bool>,
    second_copies: bool,
    retry_after: bool,
    max_retry_after_s: Option<f64>,
    #[serde(default = "most")]
    open_cap: usize,
    #[serde(default = "dial")]
    dial_timeout_s: f64,
    #[serde(default = "keepalive")]
    keepalive_s: f64,
    #[serde(default)]
    streams_per_conn: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Safety {
    must_ask_in_s: Option<f64>,
    budget_free: Option<f64>,
    resend_ratio: Option<f64>,
    look_back_s: Option<f64>,
    cold_from: f64,
    warm_up_s: f64,
    stop_sending_within_s: f64,
    fall_multiple: f64,
    fall_s: f64,
}

// Defaults of what older deployments leave out.
fn many() -> u32 {
    u32::MAX
}
fn most() -> usize {
    usize::MAX
}
fn dial() -> f64 {
    0.25
}
fn keepalive() -> f64 {
    15.0
}

/// All that one deployment states: the decisions' part, and what only a host on sockets needs.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// What the decisions go by.
    pub policy: Settings,
    /// The classes' names, in the order of `policy.classes`.
    pub class_names: Vec<String>,
    /// The names of the values in a load report, in order.
    pub report_names: Vec<String>,
    /// Number of shards, where it is told.
    pub shards: u32,
    /// Most queries and parts held at a time.
    pub open_cap: usize,
    /// Seconds after which a connection that is not up has failed.
    pub dial_timeout: f64,
    /// Seconds after which an idle connection is closed by its other side.
    pub keepalive: f64,
    /// Most parts out on one connection.
    pub streams: usize,
    /// The longest advice that clients heed, in seconds, whether or not the simulator passes advice on.
    pub longest_advice: f64,
}

impl Deployment {
    /// The place of a class that may be asked for. A place whose class is gone has no name.
    pub fn place(&self, name: &str) -> Option<usize> {
        self.class_names
            .iter()
            .position(|other| other == name && !name.is_empty())
    }

    /// The shortest aim of the classes that may be asked for, in seconds.
    pub fn shortest_aim(&self) -> f64 {
        self.offered()
            .map(|(.., class)| class.latency_objective)
            .reduce(f64::min)
            .unwrap_or(1.0)
    }

    /// The longest deadline of the classes that may be asked for, in seconds.
    pub fn longest_deadline(&self) -> f64 {
        self.offered()
            .map(|(.., class)| class.deadline)
            .fold(0.0, f64::max)
    }

    /// The classes that may be asked for, with their places and names.
    pub fn offered(&self) -> impl Iterator<Item = (usize, &str, &Class)> {
        let rows = self
            .class_names
            .iter()
            .zip(&self.policy.classes)
            .enumerate();
        rows.map(|(place, (name, class))| (place, name.as_str(), class))
            .filter(|(_, name, _)| !name.is_empty())
    }
}

/// Reads the settings; the error names what is missing or wrong.
pub fn parse(text: &[u8]) -> Result<Deployment, Fault> {
    let mut reader = serde_json::Deserializer::from_slice(text);
    let wire: Wire = serde_path_to_error::deserialize(&mut reader).map_err(|e| Fault::Form {
        key: e.path().to_string(),
        cause: e.inner().to_string(),
    })?;
    let positive = [
        ("tickS", wire.tick_s),
        ("caps.dialTimeoutS", wire.caps.dial_timeout_s),
        ("caps.keepaliveS", wire.caps.keepalive_s),
        ("extra.positions", f64::from(wire.extra.positions)),
    ];
    if let Some((key, value)) = positive
        .into_iter()
        .find(|(_, value)| !(value.is_finite() && *value > 0.0))
    {
        return Err(Fault::NotPositive {
            key: key.into(),
            value,
        });
    }
    if wire.classes.is_empty() {
        return Err(Fault::NoClasses);
    }
    if wire.caps.attempts_cap == 0 {
        return Err(Fault::NotPositive {
            key: "caps.attemptsCap".into(),
            value: 0.0,
        });
    }
    for (at, class) in wire.classes.iter().enumerate() {
        for (key, value) in [("aimS", class.aim_s), ("deadlineS", class.deadline_s)] {
            if !(value.is_finite() && value > 0.0) {
                return Err(Fault::NotPositive {
                    key: format!("classes[{at}].{key}"),
                    value,
                });
            }
        }
        let same = |other: &WireClass| other.name == class.name && !class.name.is_empty();
        if wire.classes[..at].iter().any(same) {
            return Err(Fault::Twice {
                at,
                name: class.name.clone(),
            });
        }
    }
    let extra = &wire.extra;
    let classes = wire.classes.iter().enumerate().map(|(at, class)| {
        let lacks = |key: &'static str| Fault::Lacks { key, at };
        Ok(Class {
            latency_objective: class.aim_s,
            objective_per_work: class.aim_stretch.unwrap_or(0.0),
            deadline: class.deadline_s,
            priority_weight: class.value,
            late_answer_share: class.late_share,
            idempotency: match class.effect.as_str() {
                "idempotent" => Idempotency::Idempotent,
                "deduplicated" => Idempotency::IdempotentWithKey,
                "at_most_once" => Idempotency::AtMostOnce,
                other => {
                    return Err(Fault::Unknown {
                        key: format!("classes[{at}].effect"),
                        word: other.into(),
                    })
                }
            },
            dedup_window: class.dedup_window_s.unwrap_or(0.0),
            complete_threshold: *extra
                .need_by_class
                .get(at)
                .ok_or_else(|| lacks("needByClass"))?,
            minimum_share: *extra.min_share.get(at).ok_or_else(|| lacks("minShare"))?,
            partial_answer_share: *extra
                .partial_earns
                .get(at)
                .ok_or_else(|| lacks("partialEarns"))?,
            second_step_parts: *extra
                .fetch_parts
                .get(at)
                .ok_or_else(|| lacks("fetchParts"))?,
        })
    });
    let (caps, safety) = (&wire.caps, &wire.safety);
    let budget = match (safety.budget_free, safety.resend_ratio, safety.look_back_s) {
        (free, Some(share), Some(window)) => Some(RetryBudgetLimits {
            always_allowed: free.unwrap_or(0.0),
            share_of_arrivals: share,
            window,
        }),
        (Some(free), None, Some(window)) => Some(RetryBudgetLimits {
            always_allowed: free,
            share_of_arrivals: 0.0,
            window,
        }),
        _ => None,
    };
    let policy = Settings {
        classes: classes.collect::<Result<_, Fault>>()?,
        group_size: wire.group_size,
        cells: extra.positions,
        cells_per_shard: extra.span,
        max_parts_per_call: extra.parts_a_call.max(1),
        tick: wire.tick_s,
        max_attempts: caps.attempts_cap,
        health_check_value: match &wire.report {
            Some(report) if caps.probes == Some(true) => {
                report.names.iter().position(|n| n == "inflight")
            }
            _ => None,
        },
        cancellation: caps.cancel,
        hedging: caps.second_copies,
        max_retry_after: caps.max_retry_after_s.filter(|_| caps.retry_after),
        max_poll_interval: match wire.registry_mode.as_str() {
            "pushed" => None,
            "on_request" => Some(safety.must_ask_in_s.ok_or(Fault::Missing {
                key: "safety.mustAskInS",
            })?),
            other => {
                return Err(Fault::Unknown {
                    key: "registryMode".into(),
                    word: other.into(),
                })
            }
        },
        drain_grace: safety.stop_sending_within_s,
        slow_start_share: safety.cold_from,
        slow_start_duration: safety.warm_up_s,
        overload_multiple: safety.fall_multiple,
        overload_window: safety.fall_s,
        retry_budget: budget,
    };
    Ok(Deployment {
        policy,
        class_names: wire
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect(),
        report_names: wire.report.map(|report| report.names).unwrap_or_default(),
        shards: extra.shards,
        open_cap: caps.open_cap,
        dial_timeout: caps.dial_timeout_s,
        keepalive: caps.keepalive_s,
        streams: caps.streams_per_conn.max(1),
        longest_advice: caps
            .max_retry_after_s
            .filter(|s| s.is_finite() && *s > 0.0)
            .unwrap_or(1.0),
    })
}

#[cfg(test)]
mod tests;
