//! Conversion between TOML date-times and Unix seconds, on the proleptic Gregorian calendar.

use toml::value::{Datetime, Offset};

/// A time in seconds since 1970-01-01T00:00:00Z, with fractions.
pub type UnixSeconds = f64;

const SECONDS_PER_DAY: i64 = 86_400;
const MILLISECONDS_PER_DAY: i64 = SECONDS_PER_DAY * 1000;
/// Days in 400 years, after which the calendar repeats.
const DAYS_PER_ERA: i64 = 146_097;
/// Days from 0000-03-01, where eras begin, to 1970-01-01.
const ERA_TO_UNIX_DAYS: i64 = 719_468;

/// Converts a date-time to Unix seconds; `None` if it has no date, time or offset.
pub fn unix_seconds(datetime: &Datetime) -> Option<UnixSeconds> {
    let date = datetime.date?;
    let time = datetime.time?;
    let offset_minutes = match datetime.offset? {
        Offset::Z => 0,
        Offset::Custom { minutes } => i64::from(minutes),
    };
    let days = days_since_unix_epoch(
        i64::from(date.year),
        i64::from(date.month),
        i64::from(date.day),
    );
    let seconds = days * SECONDS_PER_DAY
        + i64::from(time.hour) * 3_600
        + i64::from(time.minute) * 60
        + i64::from(time.second.unwrap_or(0))
        - offset_minutes * 60;
    Some(seconds as f64 + f64::from(time.nanosecond.unwrap_or(0)) / 1e9)
}

/// Returns the number of days from 1970-01-01 to a date. Years are counted from March, so that leap days come last.
fn days_since_unix_epoch(year: i64, month: i64, day: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    era * DAYS_PER_ERA + year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year
        - ERA_TO_UNIX_DAYS
}

/// Formats a time as a TOML date-time in UTC, to the millisecond.
pub fn format_timestamp(at: UnixSeconds) -> String {
    let milliseconds = (at * 1000.0).round() as i64;
    let days = milliseconds.div_euclid(MILLISECONDS_PER_DAY);
    let milliseconds_of_day = milliseconds.rem_euclid(MILLISECONDS_PER_DAY);
    let (year, month, day) = date_of(days);
    let seconds = milliseconds_of_day / 1000;
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{:03}Z",
        seconds / 3600,
        seconds / 60 % 60,
        seconds % 60,
        milliseconds_of_day % 1000
    )
}

/// Returns the year, month and day of the date `days` days after 1970-01-01.
fn date_of(days: i64) -> (i64, i64, i64) {
    let shifted = days + ERA_TO_UNIX_DAYS;
    let era = shifted.div_euclid(DAYS_PER_ERA);
    let day_of_era = shifted.rem_euclid(DAYS_PER_ERA);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let months_since_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * months_since_march + 2) / 5 + 1;
    let month = if months_since_march < 10 {
        months_since_march + 3
    } else {
        months_since_march - 9
    };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    (year, month, day)
}
