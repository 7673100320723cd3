//! The log: events with fields, as text or JSON lines on standard error.
//!
//! Lines are limited in rate, so that a repeating fault can't overload the machine; a line that follows suppressed ones
//! says how many they were.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

use serde::Deserialize;
use std::fmt;
use std::sync::Mutex;
use std::time::Instant;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::{Format, FormatEvent, FormatFields, JsonFields, Writer};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::registry::LookupSpan;

/// Lines a second in the long run.
const LINES_PER_SECOND: f64 = 5.0;
/// Lines that may be written at once.
const BURST_LINES: f64 = 40.0;

/// The form of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LineFormat {
    /// Text with `field=value` pairs.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// The least severity that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Errors only.
    Error,
    /// Warnings, too.
    Warn,
    /// Changes of state, too.
    #[default]
    Info,
    /// Details, too.
    Debug,
}

impl From<Level> for tracing::Level {
    fn from(level: Level) -> tracing::Level {
        match level {
            Level::Error => tracing::Level::ERROR,
            Level::Warn => tracing::Level::WARN,
            Level::Info => tracing::Level::INFO,
            Level::Debug => tracing::Level::DEBUG,
        }
    }
}

/// A token bucket that limits the rate of lines and counts the suppressed ones.
struct TokenBucket {
    tokens: f64,
    /// When tokens were last added.
    refilled_at: Option<Instant>,
    /// Lines suppressed since the last one that was written.
    suppressed: u64,
}

impl TokenBucket {
    const FULL: TokenBucket = TokenBucket {
        tokens: BURST_LINES,
        refilled_at: None,
        suppressed: 0,
    };

    /// Takes a token for a line, and returns how many lines were suppressed since the last one; `None`: this line is
    /// suppressed, too.
    fn admit(&mut self, now: Instant) -> Option<u64> {
        let earned = self
            .refilled_at
            .map_or(0.0, |at| (now - at).as_secs_f64() * LINES_PER_SECOND);
        self.tokens = (self.tokens + earned).min(BURST_LINES);
        self.refilled_at = Some(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Some(std::mem::take(&mut self.suppressed));
        }
        self.suppressed += 1;
        None
    }
}

/// A format whose lines are limited in rate.
struct RateLimited<F> {
    inner: F,
    form: LineFormat,
    bucket: Mutex<TokenBucket>,
}

impl<F> RateLimited<F> {
    fn new(inner: F, form: LineFormat) -> RateLimited<F> {
        RateLimited {
            inner,
            form,
            bucket: Mutex::new(TokenBucket::FULL),
        }
    }

    fn admit(&self) -> Option<u64> {
        // The lock is poisoned only by a panic, which ends the program.
        let mut bucket = self.bucket.lock().ok()?;
        bucket.admit(Instant::now())
    }
}

impl<S, N, F> FormatEvent<S, N> for RateLimited<F>
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
    F: FormatEvent<S, N>,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let Some(suppressed) = self.admit() else {
            return Ok(());
        };
        match self.form {
            _ if suppressed == 0 => {}
            LineFormat::Text => {
                writeln!(writer, "held_back={suppressed} lines before the next one")?
            }
            LineFormat::Json => {
                writeln!(writer, "{{\"level\":\"WARN\",\"held_back\":{suppressed}}}")?
            }
        }
        self.inner.format_event(context, writer, event)
    }
}

/// Starts the log for the program's life. Events before this are dropped.
pub fn init(level: Level, form: LineFormat) {
    let build = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(tracing::Level::from(level))
        .with_ansi(false);
    let format = Format::default().with_target(false).with_ansi(false);
    // A process has one log: a second start, as in tests, changes nothing.
    let _ = match form {
        LineFormat::Text => {
            let limited = RateLimited::new(format, form);
            tracing::subscriber::set_global_default(build.event_format(limited).finish())
        }
        LineFormat::Json => {
            let limited = RateLimited::new(format.json().flatten_event(true), form);
            let build = build.fmt_fields(JsonFields::new());
            tracing::subscriber::set_global_default(build.event_format(limited).finish())
        }
    };
}

#[cfg(test)]
mod tests;
