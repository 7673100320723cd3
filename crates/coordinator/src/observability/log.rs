//! The log: events with fields, written to standard error as lines of text or JSON.
//!
//! The rate of lines is limited, so that a repeating fault can't overload the machine. The first line after a
//! suppression is preceded by the number of suppressed lines.

use serde::Deserialize;
use std::fmt;
use std::sync::Mutex;
use std::time::Instant;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::{Format, FormatEvent, FormatFields, JsonFields, Writer};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::registry::LookupSpan;

/// Sustained rate of lines per second.
const LINES_PER_SECOND: f64 = 5.0;
/// Number of lines that may be written in a burst.
const BURST_LINES: f64 = 40.0;

/// The format of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LineFormat {
    /// Text with `field=value` pairs.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// The lowest severity that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Errors only.
    Error,
    /// Warnings and above.
    Warn,
    /// State changes and above.
    #[default]
    Info,
    /// Details and above.
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

/// A token bucket that limits the rate of lines and counts suppressed lines.
struct TokenBucket {
    /// Lines that may be written now, up to [`BURST_LINES`]; fractions accumulate.
    tokens: f64,
    /// Time of the last refill; `None` before the first line.
    refilled_at: Option<Instant>,
    /// Lines suppressed since the last written line.
    suppressed: u64,
}

impl TokenBucket {
    const FULL: TokenBucket = TokenBucket {
        tokens: BURST_LINES,
        refilled_at: None,
        suppressed: 0,
    };

    /// Takes a token for a line. Returns the number of lines suppressed since the last written line, or `None` if this
    /// line is suppressed too.
    fn admit(&mut self, now: Instant) -> Option<u64> {
        let refill = self
            .refilled_at
            .map_or(0.0, |at| (now - at).as_secs_f64() * LINES_PER_SECOND);
        self.tokens = (self.tokens + refill).min(BURST_LINES);
        self.refilled_at = Some(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Some(std::mem::take(&mut self.suppressed));
        }
        self.suppressed += 1;
        None
    }
}

/// An event format that limits the rate of lines.
struct RateLimited<F> {
    inner: F,
    line_format: LineFormat,
    bucket: Mutex<TokenBucket>,
}

impl<F> RateLimited<F> {
    fn new(inner: F, line_format: LineFormat) -> RateLimited<F> {
        RateLimited {
            inner,
            line_format,
            bucket: Mutex::new(TokenBucket::FULL),
        }
    }

    fn admit(&self) -> Option<u64> {
        // Only a panic poisons the lock, and a panic ends the program.
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
        match self.line_format {
            _ if suppressed == 0 => {}
            LineFormat::Text => writeln!(
                writer,
                "held_back={suppressed} log lines suppressed by the rate limit"
            )?,
            LineFormat::Json => {
                writeln!(writer, "{{\"level\":\"WARN\",\"held_back\":{suppressed}}}")?
            }
        }
        self.inner.format_event(context, writer, event)
    }
}

/// Installs the global log subscriber. Events before this call are discarded.
pub fn init(level: Level, line_format: LineFormat) {
    let builder = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(tracing::Level::from(level))
        .with_ansi(false);
    let event_format = Format::default().with_target(false).with_ansi(false);
    // The subscriber can be set once per process: later calls, as in tests, change nothing.
    let _ = match line_format {
        LineFormat::Text => {
            let limited = RateLimited::new(event_format, line_format);
            tracing::subscriber::set_global_default(builder.event_format(limited).finish())
        }
        LineFormat::Json => {
            let limited = RateLimited::new(event_format.json().flatten_event(true), line_format);
            let builder = builder.fmt_fields(JsonFields::new());
            tracing::subscriber::set_global_default(builder.event_format(limited).finish())
        }
    };
}

#[cfg(test)]
mod tests;
