//! Builds the final answers from the router's decisions and sends each to its front exactly once.

use super::request_table::{OpenRequest, RequestTable};
use crate::messages::Answer;
use crate::observability::metrics::{Counter, Metrics};
use cairnroad_types::{Action, RequestId, Seconds, Time};

/// Retry-After of a rejection for which the router states none, in seconds.
const DEFAULT_RETRY_AFTER: Seconds = 1.0;

/// Returns the request that an action ends; `None` if the action is not a final answer.
pub fn ended_request(action: &Action) -> Option<RequestId> {
    match *action {
        Action::Answer { query, .. } | Action::Reject { query, .. } | Action::Fail { query } => {
            Some(query)
        }
        _ => None,
    }
}

/// Closes the request that `action` ends and sends its final answer.
pub fn respond(
    id: RequestId,
    action: &Action,
    now: Time,
    requests: &mut RequestTable,
    metrics: &mut Metrics,
) {
    // A request that is no longer open was withdrawn earlier in this tick.
    let Some(open) = requests.close(id) else {
        return;
    };
    let answer = final_answer(action, now, &open, requests, metrics);
    // Sending fails if the front dropped the receiver because its client disconnected; the answer is then discarded.
    let _ = open.reply.send(answer);
}

fn final_answer(
    action: &Action,
    now: Time,
    open: &OpenRequest,
    requests: &RequestTable,
    metrics: &mut Metrics,
) -> Answer {
    match *action {
        Action::Answer { .. } if open.has_retracted_value() => Answer::Failed { timed_out: false },
        Action::Answer { is_complete, .. } => Answer::Served {
            complete: is_complete,
            parts: open.answers(),
        },
        Action::Reject { retry_after, .. } => {
            if open.no_attempt_ended() {
                metrics.increment(Counter::RejectedUnsent);
            }
            Answer::Rejected {
                retry_after: retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
                over_capacity: open.no_attempt_ended(),
            }
        }
        _ => Answer::Failed {
            timed_out: requests.counts_as_timed_out(now, open),
        },
    }
}
