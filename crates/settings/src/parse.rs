//! Converts the JSON text of the settings to a [`Deployment`]: parses, validates, converts.

use crate::json::{CapsJson, ClassJson, ExtraJson, ReportJson, SafetyJson, SettingsJson};
use crate::{Deployment, SettingsError};
use cairnroad_types::{Class, Idempotency, RetryBudgetLimits, Seconds, Settings};

/// Name of the value in a load report that health checks read: the server's requests in flight.
const HEALTH_CHECK_VALUE: &str = "inflight";
/// Longest `Retry-After` that clients honor if the deployment does not state it.
const DEFAULT_LONGEST_RETRY_AFTER: Seconds = 1.0;

/// Parses and validates a deployment's settings. Unknown keys are ignored, because the document also holds keys of
/// other programs.
///
/// # Errors
///
/// Returns the first fault found, with its key.
pub fn parse(text: &[u8]) -> Result<Deployment, SettingsError> {
    let json = parse_json(text)?;
    check_positive_numbers(&json)?;
    check_classes(&json.classes)?;
    let policy = convert_policy(&json)?;
    Ok(build_deployment(json, policy))
}

fn parse_json(text: &[u8]) -> Result<SettingsJson, SettingsError> {
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| SettingsError::Malformed {
        key: error.path().to_string(),
        cause: error.inner().to_string(),
    })
}

fn check_positive_numbers(json: &SettingsJson) -> Result<(), SettingsError> {
    check_positive("tickS", json.tick_s)?;
    check_positive("caps.dialTimeoutS", json.caps.dial_timeout_s)?;
    check_positive("caps.keepaliveS", json.caps.keepalive_s)?;
    check_positive("extra.positions", f64::from(json.extra.positions))?;
    if json.classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    check_positive("caps.attemptsCap", f64::from(json.caps.attempts_cap))
}

fn check_classes(classes: &[ClassJson]) -> Result<(), SettingsError> {
    for (index, class) in classes.iter().enumerate() {
        check_positive(&format!("classes[{index}].aimS"), class.aim_s)?;
        check_positive(&format!("classes[{index}].deadlineS"), class.deadline_s)?;
        let same_name = |other: &ClassJson| other.name == class.name && !class.name.is_empty();
        if classes[..index].iter().any(same_name) {
            return Err(SettingsError::DuplicateClass {
                index,
                name: class.name.clone(),
            });
        }
    }
    Ok(())
}

fn check_positive(key: &str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    Err(SettingsError::NotPositive {
        key: key.into(),
        value,
    })
}

/// Converts the settings that the router decides by.
fn convert_policy(json: &SettingsJson) -> Result<Settings, SettingsError> {
    let SettingsJson {
        extra,
        caps,
        safety,
        ..
    } = json;
    let classes = json
        .classes
        .iter()
        .enumerate()
        .map(|(index, class)| convert_class(index, class, extra));
    Ok(Settings {
        classes: classes.collect::<Result<_, SettingsError>>()?,
        coordinator_count: json.group_size,
        cells: extra.positions,
        cells_per_shard: extra.span,
        max_parts_per_call: extra.parts_a_call.max(1),
        tick: json.tick_s,
        max_attempts: caps.attempts_cap,
        in_flight_report_index: health_check_value(json.report.as_ref(), caps),
        cancellation_enabled: caps.cancel,
        hedging_enabled: caps.second_copies,
        max_retry_after: caps.max_retry_after_s.filter(|_| caps.retry_after),
        max_poll_interval: max_poll_interval(&json.registry_mode, safety)?,
        drain_grace: safety.stop_sending_within_s,
        slow_start_share: safety.cold_from,
        slow_start_duration: safety.warm_up_s,
        overload_multiple: safety.fall_multiple,
        overload_window: safety.fall_s,
        retry_budget: retry_budget(safety),
    })
}

fn convert_class(
    index: usize,
    class: &ClassJson,
    extra: &ExtraJson,
) -> Result<Class, SettingsError> {
    Ok(Class {
        latency_objective: class.aim_s,
        objective_per_work: class.aim_stretch.unwrap_or(0.0),
        deadline: class.deadline_s,
        priority_weight: class.value,
        late_answer_share: class.late_share,
        idempotency: idempotency(index, &class.effect)?,
        dedup_window: class.dedup_window_s.unwrap_or(0.0),
        complete_threshold: class_entry(&extra.need_by_class, "needByClass", index)?,
        minimum_share: class_entry(&extra.min_share, "minShare", index)?,
        partial_answer_share: class_entry(&extra.partial_earns, "partialEarns", index)?,
        second_step_parts: class_entry(&extra.fetch_parts, "fetchParts", index)?,
    })
}

/// Returns a class's entry in a list with one entry per class.
fn class_entry<T: Copy>(
    entries: &[T],
    key: &'static str,
    index: usize,
) -> Result<T, SettingsError> {
    let entry = entries.get(index).copied();
    entry.ok_or(SettingsError::MissingClassEntry { key, index })
}

fn idempotency(index: usize, effect: &str) -> Result<Idempotency, SettingsError> {
    match effect {
        "idempotent" => Ok(Idempotency::Idempotent),
        "deduplicated" => Ok(Idempotency::IdempotentWithKey),
        "at_most_once" => Ok(Idempotency::AtMostOnce),
        other => Err(SettingsError::UnknownKeyword {
            key: format!("classes[{index}].effect"),
            keyword: other.into(),
        }),
    }
}

/// Returns the index of the value that health checks read in a load report; `None` if health checks are not allowed or
/// the report lacks the value.
fn health_check_value(report: Option<&ReportJson>, caps: &CapsJson) -> Option<usize> {
    let allowed = caps.probes == Some(true);
    let names = &report.filter(|_| allowed)?.names;
    names.iter().position(|name| name == HEALTH_CHECK_VALUE)
}

/// Returns the longest time between two polls of the endpoint list; `None` if the list is pushed.
fn max_poll_interval(
    registry_mode: &str,
    safety: &SafetyJson,
) -> Result<Option<Seconds>, SettingsError> {
    match registry_mode {
        "pushed" => Ok(None),
        "on_request" => match safety.must_ask_in_s {
            Some(interval) => Ok(Some(interval)),
            None => Err(SettingsError::MissingKey {
                key: "safety.mustAskInS",
            }),
        },
        other => Err(SettingsError::UnknownKeyword {
            key: "registryMode".into(),
            keyword: other.into(),
        }),
    }
}

/// Returns the limits of the retry budget. `None` means no limit: the window or both allowances are not stated.
fn retry_budget(safety: &SafetyJson) -> Option<RetryBudgetLimits> {
    if safety.budget_free.is_none() && safety.resend_ratio.is_none() {
        return None;
    }
    Some(RetryBudgetLimits {
        always_allowed: safety.budget_free.unwrap_or(0.0),
        share_of_arrivals: safety.resend_ratio.unwrap_or(0.0),
        window: safety.look_back_s?,
    })
}

fn build_deployment(json: SettingsJson, policy: Settings) -> Deployment {
    let longest_retry_after = json
        .caps
        .max_retry_after_s
        .filter(|seconds| seconds.is_finite() && *seconds > 0.0)
        .unwrap_or(DEFAULT_LONGEST_RETRY_AFTER);
    let class_names = json.classes.into_iter().map(|class| class.name);
    Deployment {
        policy,
        class_names: class_names.collect(),
        report_names: json.report.map(|report| report.names).unwrap_or_default(),
        shards: json.extra.shards,
        max_in_flight: json.caps.open_cap,
        connect_timeout: json.caps.dial_timeout_s,
        idle_timeout: json.caps.keepalive_s,
        max_parts_per_connection: json.caps.streams_per_conn.max(1),
        longest_retry_after,
    }
}
