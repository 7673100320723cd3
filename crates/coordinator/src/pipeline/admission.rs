//! Admit: lets a request in, with ids of its own, or refuses it at once where the coordinator holds all it may.

use super::{request_table::RequestTable, router_driver::RouterDriver};
use crate::messages::{Answer, ClientRequest};
use crate::observability::metrics::{Counter, Metrics};
use cairnroad_types::{ClassId, Event, Time};

/// Advice for a request that finds the coordinator full, as a share of its class's aim.
const RETRY_AFTER_OBJECTIVES: f64 = 0.5;

pub fn admit(
    now: Time,
    client: ClientRequest,
    requests: &mut RequestTable,
    router: &mut RouterDriver,
    metrics: &mut Metrics,
) {
    metrics.add(if client.request.client_retry {
        Counter::Repeats
    } else {
        Counter::Queries
    });
    if client.reply.is_closed() {
        return; // its client left before it was taken in
    }
    // Servers tell parts apart by their request's name: two of one name could swap their values, also where the
    // first has just ended and a part of it that was given up is still to be answered.
    if requests.is_recent_name(&client.request.name) {
        let _ = client.reply.send(Answer::DuplicateName);
        return;
    }
    if !requests.has_capacity_for(client.request.parts.len()) {
        metrics.add(Counter::Full);
        let retry_after = RETRY_AFTER_OBJECTIVES * router.latency_objective(client.request.class);
        let _ = client.reply.send(Answer::Rejected {
            retry_after,
            busy: true,
        });
        return;
    }
    if client.request.deadline <= now {
        let _ = client.reply.send(Answer::Failed { late: true });
        return;
    }
    let (class, due) = (
        ClassId(client.request.class as u16),
        client.request.deadline,
    );
    let (work, repeat) = (client.request.expected_work, client.request.client_retry);
    let (id, parts) = requests.open(now, client);
    router.push(Event::Query {
        id,
        class,
        number: id.0,
        due,
        work,
        client_retry: repeat,
    });
    for (part, spec) in parts {
        router.push(Event::Part {
            id: part,
            number: id.0,
            shard: spec.shard,
            weight: spec.weight,
        });
    }
}
