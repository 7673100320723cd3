//! Clients that ask their queries when these are due, and retry.

use super::answer_check::check_answer;
use super::classes::{DEADLINES, LATENCY_OBJECTIVE, LATE_ANSWER_SHARE, PRIORITY_WEIGHTS};
use super::http_client::{send_query, Connection};
use super::{Fronts, QueryArrival};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long clients listen after their deadline: by the platform's rules an answer within that time earns nothing, and
/// one that comes later, or never, is lost.
pub const LISTEN_AFTER_DEADLINE: Duration = Duration::from_millis(500);
/// A client with less time than this asks no more.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// How a query ended for its client.
#[derive(Clone, Debug)]
pub struct QueryOutcome {
    /// When it was due, in seconds from the run's start.
    pub due_at: f64,
    /// Its class's index.
    pub class: usize,
    /// Seconds from when it was due.
    pub latency: f64,
    /// How it ended.
    pub ending: Ending,
    /// What was wrong with its answer, if anything.
    pub answer_fault: Option<String>,
}

/// The ways in which a query ends for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// Answered in time.
    Served,
    /// Rejected: a retry is harmless.
    Rejected,
    /// Failed.
    Failed,
    /// Answered after the deadline, while the client still listened.
    Late,
    /// Not answered while the client listened.
    Unanswered,
    /// The connection ended without an answer.
    Disconnected,
}

/// Returns what a query's ending earns: its priority weight within the latency objective, less of it until the deadline.
pub fn earned_value(outcome: &QueryOutcome) -> f64 {
    let weight = PRIORITY_WEIGHTS[outcome.class];
    match outcome.ending {
        Ending::Served if outcome.latency <= LATENCY_OBJECTIVE => weight,
        Ending::Served => LATE_ANSWER_SHARE * weight,
        _ => 0.0,
    }
}

/// Connections that idle between two requests, by front.
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
    /// Where they ask.
    pub fronts: Fronts,
    /// The run's start, from which arrivals count.
    pub start: Instant,
    /// Their own retries of a query.
    pub retries: u32,
    /// How long they listen after their deadline, to distinguish a late answer from none.
    pub listen_after_deadline: Duration,
}

/// Plays all arrivals; each is a task of its own, so that none waits for another. Outcomes are appended as they come.
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

/// Plays one client; each of its tries is a query of its own to the coordinator.
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
        let asked = send_query(&arrival, client_try, options.fronts, left, &idle);
        let listens_until = deadline + options.listen_after_deadline;
        (ending, answer_fault) = match tokio::time::timeout_at(listens_until, asked).await {
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
