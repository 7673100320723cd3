//! Send: carries the decisions' sends, cancels, probes and timers to the pool and the wheel. Sends of one tick
//! to one server leave together.

use super::request_table::RequestTable;
use crate::connections::pool::Pool;
use crate::messages::{Attempt, AttemptResult};
use crate::observability::metrics::{Counter, Metrics};
use crate::timer_wheel::{Timer, TimerWheel};
use cairnroad_types::{Action, Time};

pub fn carry(
    now: Time,
    action: &Action,
    book: &mut RequestTable,
    pool: &mut Pool,
    wheel: &mut TimerWheel<Timer>,
) {
    match *action {
        Action::Send {
            part,
            server,
            until,
        } => {
            if let Some(job) = book.job(now, part, until) {
                wheel.insert(until, Timer::Attempt(job.attempt));
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
        Action::HealthCheck(server) => pool.request_health_check(server),
        Action::SetTimer(at) => wheel.insert(at, Timer::Wake),
        // The watch asks by itself; finals are the relay's.
        Action::SubscribeEndpoints
        | Action::Answer { .. }
        | Action::Reject { .. }
        | Action::Fail { .. } => {}
    }
}

/// Sends what is staged; returns attempts that could not be sent at all.
pub fn flush(
    now: Time,
    pool: &mut Pool,
    wheel: &mut TimerWheel<Timer>,
    tally: &mut Metrics,
) -> Vec<AttemptResult> {
    let flushed = pool.flush(now, tally);
    for dial in flushed.dials {
        tally.add(Counter::Dials);
        wheel.insert(dial.deadline, Timer::Dial(dial.connection));
    }
    flushed.unsent
}
