//! Admit: lets a request in, with ids of its own, or refuses it at once where the coordinator holds all it may.

use super::{request_table::RequestTable, routing::RoutingStage};
use crate::messages::{Answer, ClientRequest};
use crate::observability::metrics::{Counter, Metrics};
use cairnroad_types::{ClassId, Event, Time};

/// Advice for a request that finds the coordinator full, as a share of its class's aim.
const FULL_ADVICE: f64 = 0.5;

pub fn admit(
    now: Time,
    ask: ClientRequest,
    book: &mut RequestTable,
    route: &mut RoutingStage,
    tally: &mut Metrics,
) {
    tally.add(if ask.request.client_retry {
        Counter::Repeats
    } else {
        Counter::Queries
    });
    if ask.reply.is_closed() {
        return; // its client left before it was taken in
    }
    // Servers tell parts apart by their request's name: two of one name could swap their values, also where the
    // first has just ended and a part of it that was given up is still to be answered.
    if book.knows(&ask.request.name) {
        let _ = ask.reply.send(Answer::DuplicateName);
        return;
    }
    if !book.has_room(ask.request.parts.len()) {
        tally.add(Counter::Full);
        let retry_after = FULL_ADVICE * route.aim(ask.request.class);
        let _ = ask.reply.send(Answer::Rejected {
            retry_after,
            busy: true,
        });
        return;
    }
    if ask.request.deadline <= now {
        let _ = ask.reply.send(Answer::Failed { late: true });
        return;
    }
    let (class, due) = (ClassId(ask.request.class as u16), ask.request.deadline);
    let (work, repeat) = (ask.request.expected_work, ask.request.client_retry);
    let (id, parts) = book.open(now, ask);
    route.push(Event::Query {
        id,
        class,
        number: id.0,
        due,
        work,
        client_retry: repeat,
    });
    for (part, spec) in parts {
        route.push(Event::Part {
            id: part,
            number: id.0,
            shard: spec.shard,
            weight: spec.weight,
        });
    }
}
