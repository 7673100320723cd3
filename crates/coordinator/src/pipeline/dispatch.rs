//! Send: carries the decisions' sends, cancels, probes and timers to the pool and the timers. Sends of one tick
//! to one server leave together.

use super::request_table::RequestTable;
use crate::connections::pool::Pool;
use crate::messages::{Attempt, AttemptResult};
use crate::observability::metrics::{Counter, Metrics};
use crate::timer_wheel::{Timer, TimerWheel};
use cairnroad_types::{Action, Time};

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
            until,
        } => {
            if let Some(job) = requests.next_attempt(now, part, until) {
                timers.insert(until, Timer::AttemptDeadline(job.attempt));
                pool.stage(server, job);
            }
        }
        Action::Cancel { part, attempt } => pool.cancel(
            now,
            Attempt {
                part,
                number: attempt,
            },
        ),
        Action::HealthCheck(server) => pool.probe(server),
        Action::SetTimer(at) => timers.insert(at, Timer::RouterWakeUp),
        // The watch asks by itself; finals are the relay's.
        Action::SubscribeEndpoints
        | Action::Answer { .. }
        | Action::Reject { .. }
        | Action::Fail { .. } => {}
    }
}

/// Sends what is staged; returns attempts that could not be sent at all.
pub fn flush_calls(
    now: Time,
    pool: &mut Pool,
    timers: &mut TimerWheel<Timer>,
    metrics: &mut Metrics,
) -> Vec<AttemptResult> {
    let (failed, dials) = pool.flush(now, metrics);
    for (link, at) in dials {
        metrics.add(Counter::Dials);
        timers.insert(at, Timer::DialDeadline(link));
    }
    failed
}
