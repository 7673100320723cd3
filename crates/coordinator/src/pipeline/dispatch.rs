//! Dispatch: passes the router's attempts, cancellations, health checks and timers to the connection pool and the timer
//! wheel. Attempts to the same server within one tick are sent together.

use super::request_table::RequestTable;
use super::timer::Timer;
use crate::connections::pool::Pool;
use crate::messages::{AttemptId, AttemptResult};
use crate::observability::metrics::{Counter, Metrics};
use crate::timer_wheel::TimerWheel;
use cairnroad_types::{Action, Time};

/// Executes an action of the router that is not a final answer. Attempts are staged until [`flush_calls`] sends them.
pub fn dispatch(
    now: Time,
    action: &Action,
    requests: &mut RequestTable,
    pool: &mut Pool,
    timers: &mut TimerWheel<Timer>,
) {
    match *action {
        Action::Send {
            part,
            server,
            deadline,
        } => {
            if let Some(outbound) = requests.next_attempt(now, part, deadline) {
                timers.insert(deadline, Timer::AttemptDeadline(outbound.attempt));
                pool.stage(server, outbound);
            }
        }
        Action::Cancel { part, attempt } => {
            let number = attempt;
            pool.cancel(now, AttemptId { part, number });
        }
        Action::HealthCheck(server) => pool.request_health_check(server),
        Action::SetTimer(at) => timers.insert(at, Timer::RouterWakeUp),
        // Discovery subscribes on its own, and `respond` sends the final answers.
        Action::SubscribeEndpoints
        | Action::Answer { .. }
        | Action::Reject { .. }
        | Action::Fail { .. } => {}
    }
}

/// Sends the staged attempts, grouped into calls of several parts. Returns the results of the attempts that could not
/// be sent.
pub fn flush_calls(
    now: Time,
    pool: &mut Pool,
    timers: &mut TimerWheel<Timer>,
    metrics: &mut Metrics,
) -> Vec<AttemptResult> {
    let flushed = pool.flush(now, metrics);
    for dial in flushed.dials {
        metrics.increment(Counter::Dials);
        timers.insert(dial.deadline, Timer::DialDeadline(dial.connection));
    }
    flushed.unsent
}

/// Counts an attempt by kind before it is dispatched: a further attempt of its part, a hedge, or an attempt at a server
/// in slow start. Does nothing if metrics are not logged, which saves the lookups.
pub fn count_attempt(
    now: Time,
    action: &Action,
    requests: &RequestTable,
    pool: &Pool,
    slow_start_duration: f64,
    metrics: &mut Metrics,
) {
    let Action::Send { part, server, .. } = *action else {
        return;
    };
    if !metrics.is_enabled() {
        return;
    }
    let earlier_attempts = requests.attempt_count(part);
    if earlier_attempts > 0 {
        metrics.increment(Counter::FurtherAttempts);
    }
    let in_flight = |number| pool.is_in_flight(AttemptId { part, number });
    if (0..earlier_attempts).any(in_flight) {
        metrics.increment(Counter::Hedges);
    }
    if pool.is_in_slow_start(now, server, slow_start_duration) {
        metrics.increment(Counter::SlowStartAttempts);
    }
}
