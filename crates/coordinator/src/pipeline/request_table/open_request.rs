//! One open request and the results of its parts.

use crate::messages::{
    Answer, AttemptResult, ClientRequest, PartAnswer, PartFailure, PartValue, Request,
};
use cairnroad_types::{Outcome, RequestId, Time};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// An open request.
pub struct OpenRequest {
    request: Request,
    /// Where the final answer goes; closed when the client has left.
    pub reply: oneshot::Sender<Answer>,
    /// The parts' ids, in the request's order.
    part_ids: Vec<RequestId>,
    /// Each part's value or latest failure; absent until an attempt ends.
    results: BTreeMap<RequestId, Result<PartValue, PartFailure>>,
    any_attempt_ended: bool,
}

impl OpenRequest {
    /// A request of which no attempt was sent yet.
    pub fn new(client: ClientRequest, part_ids: Vec<RequestId>) -> Self {
        OpenRequest {
            request: client.request,
            reply: client.reply,
            part_ids,
            results: BTreeMap::new(),
            any_attempt_ended: false,
        }
    }

    /// The request as the front submitted it.
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// Index of the request's class in the deployment's class table.
    pub fn class(&self) -> usize {
        self.request.class
    }

    /// When the client stops waiting.
    pub fn deadline(&self) -> Time {
        self.request.deadline
    }

    /// The parts' ids, in the request's order.
    pub fn part_ids(&self) -> &[RequestId] {
        &self.part_ids
    }

    /// Each part's result, in the request's order.
    pub fn answers(&self) -> Vec<PartAnswer> {
        let parts = self.part_ids.iter().zip(&self.request.parts);
        let answers = parts.map(|(id, spec)| PartAnswer {
            shard: spec.shard,
            value: self.result(id),
        });
        answers.collect()
    }

    fn result(&self, part: &RequestId) -> Result<PartValue, PartFailure> {
        let result = self.results.get(part).cloned();
        result.unwrap_or(Err(PartFailure::TimedOut))
    }

    /// Whether no attempt of it has ended. A rejection then means that there was no capacity for it.
    pub fn no_attempt_ended(&self) -> bool {
        !self.any_attempt_ended
    }

    /// Records how an attempt ended. The first value of a part stands; before it, the latest failure.
    pub fn record_result(&mut self, ended: &AttemptResult) {
        self.any_attempt_ended = true;
        let result = part_result(ended);
        let known = self.results.get(&ended.attempt.part);
        if !matches!(known, Some(Ok(_))) {
            self.results.insert(ended.attempt.part, result);
        }
    }
}

fn part_result(ended: &AttemptResult) -> Result<PartValue, PartFailure> {
    match (ended.outcome, &ended.value) {
        (Outcome::Ok, Some(value)) => Ok(value.clone()),
        (Outcome::Rejected, _) => Err(PartFailure::Rejected),
        (Outcome::ConnectFailed | Outcome::NotSent, _) => Err(PartFailure::NoConnection),
        (Outcome::Reset, _) => Err(PartFailure::ConnectionLost),
        (Outcome::Timeout, _) => Err(PartFailure::TimedOut),
        _ => Err(PartFailure::ServerError),
    }
}
