//! Time values of the API, such as `500ms`.

use super::error::QueryError;
use cairnroad_types::Seconds;

/// Parses the time value of the parameter or clause `name`. `None` for -1, which sets no limit.
pub fn parse(name: &str, value: &str) -> Result<Option<Seconds>, QueryError> {
    if value == "-1" {
        return Ok(None);
    }
    let malformed = || QueryError::NotATimeValue {
        name: name.into(),
        value: value.into(),
    };
    let without_digits = value.trim_start_matches(|c: char| c.is_ascii_digit());
    let (count, unit) = value.split_at(value.len() - without_digits.len());
    let unit = match unit {
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
    Ok(Some(count * unit))
}

/// Lowers `timeout` to `other`, if that is shorter.
pub fn limit_to_shorter(timeout: &mut Option<Seconds>, other: Option<Seconds>) {
    if let Some(other) = other {
        *timeout = Some(timeout.map_or(other, |timeout| timeout.min(other)));
    }
}
