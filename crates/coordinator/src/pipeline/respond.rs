//! Builds final answers from the router's decisions and sends each to its front, exactly once.

use super::request_table::{OpenRequest, RequestTable};
use crate::messages::Answer;
use crate::observability::metrics::{Counter, Metrics};
use cairnroad_types::{Action, RequestId, Seconds, Time};

/// Retry-After where the router states none, in seconds.
const DEFAULT_RETRY_AFTER: Seconds = 1.0;

/// The request that an action ends; `None` where the action is not a final answer.
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
    // An id that is no longer open was withdrawn in this very tick.
    let Some(open) = requests.close(id) else {
        return;
    };
    let answer = final_answer(action, now, &open, requests, metrics);
    // A front that dropped the other end has lost its client: nobody is left to answer.
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
            timed_out: requests.is_late(now, open),
        },
    }
}
