//! Send: carries the decisions' sends, cancels, probes and timers to the pool and the wheel. Sends of one tick
//! to one server leave together.

use super::book::Book;
use crate::pool::Pool;
use crate::tally::{Count, Tally};
use crate::wheel::{Due, Wheel};
use crate::words::{Attempt, Ended};
use cairnroad_types::{Action, Time};

pub fn carry(now: Time, action: &Action, book: &mut Book, pool: &mut Pool, wheel: &mut Wheel<Due>) {
    match *action {
        Action::Send {
            part,
            server,
            until,
        } => {
            if let Some(job) = book.job(now, part, until) {
                wheel.insert(until, Due::Attempt(job.attempt));
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
        Action::SetTimer(at) => wheel.insert(at, Due::Wake),
        // The watch asks by itself; finals are the relay's.
        Action::SubscribeEndpoints
        | Action::Answer { .. }
        | Action::Reject { .. }
        | Action::Fail { .. } => {}
    }
}

/// Sends what is staged; returns attempts that could not be sent at all.
pub fn flush(now: Time, pool: &mut Pool, wheel: &mut Wheel<Due>, tally: &mut Tally) -> Vec<Ended> {
    let (failed, dials) = pool.flush(now, tally);
    for (link, at) in dials {
        tally.add(Count::Dials);
        wheel.insert(at, Due::Dial(link));
    }
    failed
}
