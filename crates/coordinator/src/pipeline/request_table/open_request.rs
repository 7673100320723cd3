//! An open request and the results of its parts.

use crate::memory::MemoryReservation;
use crate::messages::{
    Answer, AttemptId, AttemptResult, ClientRequest, PartAnswer, PartFailure, PartValue, Request,
};
use cairnroad_types::{Outcome, RequestId, Time};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// The value or the latest failure of a part.
struct PartResult {
    /// The attempt that gave it.
    attempt: AttemptId,
    value: Result<PartValue, PartFailure>,
}

/// An open request: a request that has not received its final answer.
pub struct OpenRequest {
    request: Request,
    /// The channel for the final answer; closed once the client has disconnected.
    pub reply: oneshot::Sender<Answer>,
    /// The ids of the parts, in the order of the request.
    part_ids: Vec<RequestId>,
    /// The result of each part; absent until an attempt of the part ends.
    results: BTreeMap<RequestId, PartResult>,
    has_retracted_value: bool,
    any_attempt_ended: bool,
    /// The memory of the values in `results`.
    value_memory: MemoryReservation,
    /// Whether the router takes the client for connected.
    is_client_confirmed: bool,
}

impl OpenRequest {
    /// Creates an open request for which no attempt has been sent yet.
    pub fn new(
        client: ClientRequest,
        part_ids: Vec<RequestId>,
        value_memory: MemoryReservation,
    ) -> Self {
        OpenRequest {
            request: client.request,
            reply: client.reply,
            part_ids,
            results: BTreeMap::new(),
            has_retracted_value: false,
            any_attempt_ended: false,
            value_memory,
            is_client_confirmed: true,
        }
    }

    /// Returns the request as the front submitted it.
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// Returns whether the client is confirmed to be connected, if that has changed since the last call.
    pub fn client_liveness_change(&mut self, now: Time) -> Option<bool> {
        let is_confirmed = self.request.client.is_confirmed(now);
        let was_confirmed = std::mem::replace(&mut self.is_client_confirmed, is_confirmed);
        (is_confirmed != was_confirmed).then_some(is_confirmed)
    }

    /// Returns the index of the request's class in the deployment's class table.
    pub fn class(&self) -> usize {
        self.request.class
    }

    /// Returns the time at which the client stops waiting.
    pub fn deadline(&self) -> Time {
        self.request.deadline
    }

    /// Returns the ids of the parts, in the order of the request.
    pub fn part_ids(&self) -> &[RequestId] {
        &self.part_ids
    }

    /// Returns the results of all parts, in the order of the request.
    pub fn answers(&self) -> Vec<PartAnswer> {
        let parts = self.part_ids.iter().zip(&self.request.parts);
        let answers = parts.map(|(id, spec)| PartAnswer {
            shard: spec.shard,
            value: self.result(id),
        });
        answers.collect()
    }

    /// Returns the result of a part; a part without any ended attempt counts as timed out.
    fn result(&self, part: &RequestId) -> Result<PartValue, PartFailure> {
        let result = self.results.get(part);
        result.map_or(Err(PartFailure::TimedOut), |result| result.value.clone())
    }

    /// Returns whether no attempt of the request has ended. If such a request is rejected, the reason is a lack of
    /// capacity.
    pub fn no_attempt_ended(&self) -> bool {
        !self.any_attempt_ended
    }

    /// Records the result of an attempt. The first value of a part is kept; until there is one, the latest failure.
    ///
    /// A value for which too little memory is left is dropped, and the request can't be answered with values then.
    pub fn record_result(&mut self, ended: &AttemptResult) {
        self.any_attempt_ended = true;
        let known = self.results.get(&ended.attempt.part);
        if known.is_some_and(|known| known.value.is_ok()) {
            return;
        }
        let mut value = part_value(ended);
        let size = value.as_ref().map_or(0, PartValue::size);
        if !self.value_memory.resize(self.value_memory.bytes() + size) {
            value = Err(PartFailure::ServerError);
            self.has_retracted_value = true;
        }
        let attempt = ended.attempt;
        self.results
            .insert(attempt.part, PartResult { attempt, value });
    }

    /// Removes the value of an attempt, if it is the value of its part.
    pub fn retract_value(&mut self, attempt: AttemptId) {
        let Some(result) = self.results.get_mut(&attempt.part) else {
            return;
        };
        if result.attempt == attempt && result.value.is_ok() {
            result.value = Err(PartFailure::ServerError);
            self.has_retracted_value = true;
        }
    }

    /// Returns whether a value was removed that the router has counted. The request can't be answered with values then.
    pub fn has_retracted_value(&self) -> bool {
        self.has_retracted_value
    }
}

fn part_value(ended: &AttemptResult) -> Result<PartValue, PartFailure> {
    match (ended.outcome, &ended.value) {
        (Outcome::Ok, Some(value)) => Ok(value.clone()),
        (Outcome::Rejected, _) => Err(PartFailure::Rejected),
        (Outcome::ConnectFailed | Outcome::NotSent, _) => Err(PartFailure::NoConnection),
        (Outcome::Reset, _) => Err(PartFailure::ConnectionLost),
        (Outcome::Timeout, _) => Err(PartFailure::TimedOut),
        _ => Err(PartFailure::ServerError),
    }
}
