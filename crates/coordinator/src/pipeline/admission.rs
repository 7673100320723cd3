//! Admission: opens a request in the request table, or answers it immediately if it can't be served.

use super::request_table::RequestTable;
use super::router_driver::RouterDriver;
use crate::messages::{Answer, ClientRequest, PartSpec};
use crate::observability::metrics::{Counter, Metrics};
use cairnroad_types::{ClassId, Event, RequestId, Time};

/// Retry-After of a request that is rejected at the limit on open requests, as a multiple of its class's latency
/// objective.
const RETRY_AFTER_OBJECTIVES: f64 = 0.5;

/// Admits a request, or sends its final answer immediately if it can't be admitted.
pub fn admit(
    now: Time,
    client: ClientRequest,
    requests: &mut RequestTable,
    router: &mut RouterDriver,
    metrics: &mut Metrics,
) {
    metrics.increment(if client.request.client_retry {
        Counter::ClientRetries
    } else {
        Counter::Requests
    });
    if client.reply.is_closed() {
        return; // The client disconnected before its request was admitted.
    }
    if let Some(answer) = immediate_answer(now, &client, requests, router, metrics) {
        // Sending fails only if the client has disconnected.
        let _ = client.reply.send(answer);
        return;
    }
    open(client, requests, router);
}

/// Returns the final answer of a request that can't be admitted. If it can be admitted, takes its external id and returns
/// `None`.
fn immediate_answer(
    now: Time,
    client: &ClientRequest,
    requests: &mut RequestTable,
    router: &RouterDriver,
    metrics: &mut Metrics,
) -> Option<Answer> {
    let request = &client.request;
    // Servers identify parts by the request's external id. Two requests with the same id could receive each other's
    // values, even if the first has already ended: a server may still answer one of its abandoned parts.
    let is_named = request.is_named_by_client;
    let ids = requests.external_ids();
    if is_named && ids.is_recent(now, &request.external_id) {
        return Some(Answer::DuplicateExternalId);
    }
    let is_rememberable = !is_named || ids.has_room(now);
    let rejection = || Answer::Rejected {
        retry_after: RETRY_AFTER_OBJECTIVES * router.latency_objective(request.class),
        over_capacity: true,
    };
    if !is_rememberable || !requests.has_capacity_for(request.parts.len()) {
        metrics.increment(Counter::OverCapacity);
        return Some(rejection());
    }
    // Nothing has been sent yet, so the client may safely retry if it is still there.
    if !request.client.is_confirmed(now) {
        return Some(rejection());
    }
    if request.deadline <= now {
        return Some(Answer::Failed { timed_out: true });
    }
    // Nothing may keep the request from being opened after this.
    let is_first = !is_named || requests.external_ids().take(now, &request.external_id);
    (!is_first).then_some(Answer::DuplicateExternalId)
}

/// Opens a request in the request table and queues its events for the router.
fn open(client: ClientRequest, requests: &mut RequestTable, router: &mut RouterDriver) {
    let class = ClassId(client.request.class as u16);
    let deadline = client.request.deadline;
    let expected_work = client.request.expected_work;
    let client_retry = client.request.client_retry;
    let (id, parts) = requests.open(client);
    router.push(Event::Query {
        id,
        class,
        number: id.0,
        deadline,
        expected_work,
        is_client_retry: client_retry,
    });
    for (part, spec) in parts {
        router.push(part_event(id, part, &spec));
    }
}

fn part_event(request: RequestId, part: RequestId, spec: &PartSpec) -> Event {
    Event::Part {
        id: part,
        query_number: request.0,
        shard: spec.shard,
        weight: spec.weight,
    }
}
