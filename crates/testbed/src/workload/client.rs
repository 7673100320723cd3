//! Clients that send their queries at the scheduled times and retry.

use super::answer_check::check_answer;
use super::classes::{
    ConfirmEffect, DEADLINES, LATENCY_OBJECTIVE, LATE_ANSWER_SHARE, PRIORITY_WEIGHTS,
};
use super::http_client::{send_query, Connection};
use super::{Fronts, QueryArrival};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time that clients wait for an answer after their deadline. By the platform's rules, an answer within this time earns
/// nothing, and one that comes later or never counts as lost.
pub const LISTEN_AFTER_DEADLINE: Duration = Duration::from_millis(500);
/// Minimum time left to the deadline for a client to send a query.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// How a query ended for its client.
#[derive(Clone, Debug)]
pub struct QueryOutcome {
    /// Time at which the query was due, in seconds since the start of the run.
    pub due_at: f64,
    /// Index of the query's class.
    pub class: usize,
    /// Seconds from when the query was due until it ended, including retries.
    pub latency: f64,
    /// How the query ended.
    pub ending: Ending,
    /// What was wrong with the answer; `None` if it was correct or there was none.
    pub answer_fault: Option<String>,
}

/// The ways in which a query ends for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// Answered before the deadline.
    Served,
    /// Rejected (status 429 or 503); a retry is safe.
    Rejected,
    /// Answered with an error.
    Failed,
    /// Answered after the deadline, while the client was still waiting.
    Late,
    /// Not answered while the client was waiting, or not sent for lack of time.
    Unanswered,
    /// The connection ended without an answer.
    Disconnected,
}

/// Returns the value that a query earns: its priority weight if served within the latency objective, a fixed share of that
/// until the deadline, and nothing otherwise.
pub fn earned_value(outcome: &QueryOutcome) -> f64 {
    let weight = PRIORITY_WEIGHTS[outcome.class];
    match outcome.ending {
        Ending::Served if outcome.latency <= LATENCY_OBJECTIVE => weight,
        Ending::Served => LATE_ANSWER_SHARE * weight,
        _ => 0.0,
    }
}

/// The pool of idle connections to the fronts.
#[derive(Clone, Default)]
pub struct IdleConnections(Rc<RefCell<Vec<(SocketAddr, Connection)>>>);

impl IdleConnections {
    pub(super) fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.0.borrow_mut();
        let index = idle.iter().position(|(front, _)| *front == address)?;
        Some(idle.swap_remove(index).1)
    }

    pub(super) fn put(&self, address: SocketAddr, connection: Connection) {
        self.0.borrow_mut().push((address, connection));
    }
}

/// How clients behave.
#[derive(Clone)]
pub struct ClientOptions {
    /// The fronts that the clients send queries to.
    pub fronts: Fronts,
    /// Start of the run, to which arrival times are relative.
    pub start: Instant,
    /// Maximum number of client retries of a query.
    pub retries: u32,
    /// Whether clients send confirms with an idempotency key.
    pub confirm_effect: ConfirmEffect,
    /// Time to wait after the deadline, to distinguish a late answer from none.
    pub listen_after_deadline: Duration,
}

/// Plays all arrivals, each in a separate task so that none waits for another, and appends the outcomes as queries end.
pub async fn play(
    arrivals: Vec<QueryArrival>,
    options: ClientOptions,
    outcomes: Rc<RefCell<Vec<QueryOutcome>>>,
) {
    let idle = IdleConnections::default();
    let mut clients = Vec::new();
    for arrival in arrivals {
        tokio::time::sleep_until(options.start + Duration::from_secs_f64(arrival.due_at)).await;
        let options = options.clone();
        let idle = idle.clone();
        let outcomes = outcomes.clone();
        clients.push(tokio::task::spawn_local(async move {
            let outcome = run_client(arrival, options, idle).await;
            outcomes.borrow_mut().push(outcome);
        }));
    }
    for client in clients {
        let _ = client.await;
    }
}

/// Plays one client. To the coordinator, each of its tries is a separate query.
pub async fn run_client(
    arrival: QueryArrival,
    options: ClientOptions,
    idle: IdleConnections,
) -> QueryOutcome {
    let due = options.start + Duration::from_secs_f64(arrival.due_at);
    let deadline = due + Duration::from_secs_f64(DEADLINES[arrival.class]);
    let mut ending = Ending::Unanswered;
    let mut answer_fault = None;
    let mut client_try = 0;
    while client_try <= options.retries {
        let time_left = deadline.saturating_duration_since(Instant::now());
        if time_left < MIN_TIME_LEFT {
            break;
        }
        client_try += 1;
        let left = time_left.as_secs_f64();
        let asked = send_query(&arrival, client_try, &options, left, &idle);
        let listening_ends = deadline + options.listen_after_deadline;
        (ending, answer_fault) = match tokio::time::timeout_at(listening_ends, asked).await {
            Err(_) => (Ending::Unanswered, None),
            Ok(Err(_)) => (Ending::Disconnected, None),
            Ok(Ok(response)) => {
                let checked = check_answer(&arrival, response.status, &response.body);
                let is_late = Instant::now() > deadline;
                let ending = if is_late {
                    Ending::Late
                } else {
                    checked.ending
                };
                if ending == Ending::Rejected && client_try <= options.retries {
                    tokio::time::sleep(Duration::from_secs_f64(response.retry_after)).await;
                }
                (ending, checked.fault)
            }
        };
        if matches!(ending, Ending::Served | Ending::Late) {
            break;
        }
    }
    QueryOutcome {
        due_at: arrival.due_at,
        class: arrival.class,
        latency: due.elapsed().as_secs_f64(),
        ending,
        answer_fault,
    }
}
