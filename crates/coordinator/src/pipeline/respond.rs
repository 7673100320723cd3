//! Relay: words the decisions' final answers and gives each to its front, once.

use super::request_table::RequestTable;
use crate::messages::Answer;
use crate::observability::metrics::{Counter, Metrics};
use cairnroad_types::{Action, Time};

/// Advice where the decisions give none, in seconds.
const DEFAULT_RETRY_AFTER: f64 = 1.0;

/// Whether an action ends a query.
pub fn is_final_answer(action: &Action) -> bool {
    matches!(
        action,
        Action::Answer { .. } | Action::Reject { .. } | Action::Fail { .. }
    )
}

pub fn respond(action: &Action, now: Time, requests: &mut RequestTable, metrics: &mut Metrics) {
    let id = match *action {
        Action::Answer { query, .. } | Action::Reject { query, .. } | Action::Fail { query } => {
            query
        }
        _ => return,
    };
    // An id that is no longer open was withdrawn in this very tick.
    let Some(open) = requests.close(id) else {
        return;
    };
    let answer = match *action {
        Action::Answer {
            complete: whole, ..
        } => Answer::Served {
            complete: whole,
            parts: open.answers(),
        },
        Action::Reject { retry_after, .. } => {
            if open.never_sent() {
                metrics.add(Counter::Unsent);
            }
            Answer::Rejected {
                retry_after: retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
                busy: open.never_sent(),
            }
        }
        _ => Answer::Failed {
            late: requests.is_late(now, &open),
        },
    };
    // A front that is gone has lost its client: nobody is left to tell.
    let _ = open.reply.send(answer);
}
