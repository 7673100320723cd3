//! The log: events with fields, as text or JSON lines on standard error. At most a few lines a second are written, so
//! that a fault that repeats cannot drown the machine; what was held back is counted on the next line.

use serde::Deserialize;
use std::fmt;
use std::sync::Mutex;
use std::time::Instant;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::{Format, FormatEvent, FormatFields, JsonFields, Writer};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::registry::LookupSpan;

/// Lines a second, and how many may come at once.
const RATE: f64 = 5.0;
const BURST: f64 = 40.0;

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LineFormat {
    #[default]
    Text,
    Json,
}

/// The least weight of what is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    Error,
    Warn,
    #[default]
    Info,
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

/// How many lines may still be written, as of when, and how many were held back since the last one.
struct Bucket {
    left: f64,
    at: Option<Instant>,
    held: u64,
}

impl Bucket {
    const FULL: Bucket = Bucket {
        left: BURST,
        at: None,
        held: 0,
    };

    /// Whether a line may be written now, and how many were held back since the last one.
    fn admit(&mut self, now: Instant) -> Option<u64> {
        let earned = self.at.map_or(0.0, |at| (now - at).as_secs_f64() * RATE);
        self.left = (self.left + earned).min(BURST);
        self.at = Some(now);
        if self.left >= 1.0 {
            self.left -= 1.0;
            return Some(std::mem::take(&mut self.held));
        }
        self.held += 1;
        None
    }
}

/// A format whose lines are limited in rate.
struct Limited<F> {
    inner: F,
    form: LineFormat,
    bucket: Mutex<Bucket>,
}

impl<S, N, F> FormatEvent<S, N> for Limited<F>
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
        // A panic while the bucket was held would have ended the program.
        let admitted = self
            .bucket
            .lock()
            .ok()
            .and_then(|mut bucket| bucket.admit(Instant::now()));
        match (admitted, self.form) {
            (None, _) => return Ok(()),
            (Some(0), _) => {}
            (Some(held), LineFormat::Text) => {
                writeln!(writer, "held_back={held} lines before the next one")?
            }
            (Some(held), LineFormat::Json) => {
                writeln!(writer, "{{\"level\":\"WARN\",\"held_back\":{held}}}")?
            }
        }
        self.inner.format_event(context, writer, event)
    }
}

/// Sets the log up for the program's life. Events before this are written nowhere.
pub fn start(level: Level, form: LineFormat) {
    let bucket = || Mutex::new(Bucket::FULL);
    let build = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(tracing::Level::from(level))
        .with_ansi(false);
    // A second log in one process, as in tests, is none.
    let _ = match form {
        LineFormat::Text => {
            let inner = Format::default().with_target(false).with_ansi(false);
            tracing::subscriber::set_global_default(
                build
                    .event_format(Limited {
                        inner,
                        form,
                        bucket: bucket(),
                    })
                    .finish(),
            )
        }
        LineFormat::Json => {
            let inner = Format::default()
                .json()
                .flatten_event(true)
                .with_target(false);
            let build = build.fmt_fields(JsonFields::new());
            tracing::subscriber::set_global_default(
                build
                    .event_format(Limited {
                        inner,
                        form,
                        bucket: bucket(),
                    })
                    .finish(),
            )
        }
    };
}

#[cfg(test)]
mod tests;
