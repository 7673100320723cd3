//! Tests of the metrics line in the text format of the log.

use super::*;
use std::io;
use std::sync::{Arc, Mutex};
use tracing_subscriber::fmt::format::Format;

/// A log writer that stores its output.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the line that `snapshot` writes to a text log, without time and level.
fn log_line(snapshot: &MetricsSnapshot) -> String {
    let buffer = LogBuffer::default();
    let writer = buffer.clone();
    let format = Format::default().without_time().with_level(false);
    let subscriber = tracing_subscriber::fmt()
        .with_writer(move || writer.clone())
        .event_format(format.with_target(false).with_ansi(false))
        .finish();
    tracing::subscriber::with_default(subscriber, || snapshot.log());
    let bytes = buffer.0.lock().unwrap().clone();
    String::from_utf8(bytes).unwrap()
}

#[test]
fn a_line_holds_what_was_counted_since_the_last_one() {
    let start = Time::from_secs(10.0);
    let mut metrics = Metrics::new(5.0, start);
    metrics.increment(Counter::Dials);
    metrics.record_outcome(Outcome::Reset);
    metrics.record_outcome(Outcome::Reset);
    metrics.add(Counter::ShedForMemory, 3);
    let health = || HealthSummary {
        ready: 3,
        outliers: 1,
        ..HealthSummary::default()
    };
    assert!(
        metrics.take_due(start + 4.9, 2, health).is_none(),
        "the interval has not passed"
    );
    let snapshot = metrics.take_due(start + 5.0, 2, health).unwrap();
    assert_eq!(
        log_line(&snapshot),
        "request_metrics dials=1 resets=2 shed_for_memory=3 connections=2 ready=3 outliers=1 overdue=0 warming_up=0 typical_latency_ms=[]\n"
    );
    assert!(
        metrics.take_due(start + 20.0, 2, health).is_none(),
        "nothing was counted in the interval"
    );
    assert!(
        Metrics::new(0.0, start)
            .take_due(start + 99.0, 0, health)
            .is_none(),
        "an interval of 0 disables the line"
    );
}
