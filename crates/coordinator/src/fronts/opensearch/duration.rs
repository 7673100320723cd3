//! Parses time values of the API, such as `500ms`.

use super::error::QueryError;
use cairnroad_types::Seconds;

/// Parses the time value of the parameter or clause `name`. Returns `None` for -1, which means no limit.
pub fn parse(name: &str, value: &str) -> Result<Option<Seconds>, QueryError> {
    if value == "-1" {
        return Ok(None);
    }
    let malformed = || QueryError::NotATimeValue {
        name: name.into(),
        value: value.into(),
    };
    let unit = value.trim_start_matches(|c: char| c.is_ascii_digit());
    let (count, unit) = value.split_at(value.len() - unit.len());
    let unit_seconds = match unit {
        "nanos" => 1e-9,
        "micros" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        "d" => 86400.0,
        _ => return Err(malformed()),
    };
    let count: f64 = count.parse().map_err(|_| malformed())?;
    Ok(Some(count * unit_seconds))
}

/// Sets `timeout` to `other` if `timeout` is `None` or longer.
pub fn limit_to_shorter(timeout: &mut Option<Seconds>, other: Option<Seconds>) {
    if let Some(other) = other {
        *timeout = Some(timeout.map_or(other, |timeout| timeout.min(other)));
    }
}
