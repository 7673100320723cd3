//! Admit: lets a request in, with ids of its own, or refuses it at once where the coordinator holds all it may.

use super::{book::Book, route::Route};
use crate::tally::{Count, Tally};
use crate::words::{Answer, Ask};
use cairnroad_types::{ClassId, Event, Time};

/// Advice for a request that finds the coordinator full, as a share of its class's aim.
const FULL_ADVICE: f64 = 0.5;

pub fn admit(now: Time, ask: Ask, book: &mut Book, route: &mut Route, tally: &mut Tally) {
    tally.add(if ask.request.repeat {
        Count::Repeats
    } else {
        Count::Queries
    });
    if ask.reply.is_closed() {
        return; // its client left before it was taken in
    }
    // Servers tell parts apart by their request's name: two of one name could swap their values, also where the
    // first has just ended and a part of it that was given up is still to be answered.
    if book.knows(&ask.request.name) {
        let _ = ask.reply.send(Answer::Repeated);
        return;
    }
    if !book.has_room(ask.request.parts.len()) {
        tally.add(Count::Full);
        let retry_after = FULL_ADVICE * route.aim(ask.request.class);
        let _ = ask.reply.send(Answer::Refused {
            retry_after,
            busy: true,
        });
        return;
    }
    if ask.request.due <= now {
        let _ = ask.reply.send(Answer::Failed { late: true });
        return;
    }
    let (class, due) = (ClassId(ask.request.class as u16), ask.request.due);
    let (work, repeat) = (ask.request.work, ask.request.repeat);
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
