//! Routing decisions for a coordinator that reads many shards to answer one request.
//!
//! A [`RequestRouter`] takes events ([`Event`](cairnroad_types::Event)) and returns actions
//! ([`Action`](cairnroad_types::Action)): which replica gets each part of a query, when a part gets its one
//! hedged request, and when to cancel, retry, answer, reject or fail. The router reads no clock, opens no socket
//! and shares no state. The caller passes in the time, does the I/O and reports the outcomes.
//!
//! | question | module |
//! | --- | --- |
//! | in which order are events handled? | `event_loop` |
//! | is a query admitted? | `admission`, `load_shedding` |
//! | which server gets a part? | `replica_selection`, `slow_start` |
//! | when is a part sent again? | `hedging`, `retry` |
//! | which servers are avoided? | `endpoints` (draining), `outlier_detection`, `health_checks`, `zone_recovery` |
//! | how does a query end? | `completion` |
//!
//! The state is defined in `router`, `server`, `query`, `part` and `attempt`, and the constants that several
//! decisions share in `tuning`.
//!
//! ```
//! use cairnroad_routing::RequestRouter;
//! use cairnroad_types::*;
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         latency_objective: 1.0, objective_per_work: 0.0, deadline: 3.0, priority_weight: 1.0, late_answer_share: 0.0,
//!         idempotency: Idempotency::Idempotent,
//!         dedup_window: 0.0, complete_threshold: 1.0, minimum_share: 1.0, partial_answer_share: 0.0, second_step_parts: 0,
//!     }],
//!     coordinator_count: 1, cells: 2, cells_per_shard: 2, max_parts_per_call: 1, tick: 0.005, max_attempts: 3,
//!     in_flight_report_index: None, cancellation_enabled: true,
//!     hedging_enabled: true, max_retry_after: Some(0.5), max_poll_interval: None, drain_grace: 1.0, slow_start_share: 0.2,
//!     slow_start_duration: 10.0,
//!     overload_multiple: 2.0, overload_window: 2.0, retry_budget: None,
//! };
//! let mut router = RequestRouter::new(settings, 7);
//! let server = |id, cell| Endpoint {
//!     server: ServerId(id), cell, zone: 0, state: ServerState::Ready, relative_capacity: 1.0, weight: 1.0, generation: 0,
//!     ready_at: None,
//! };
//! let now = Time::from_secs(100.0);
//! let events = [
//!     Event::Endpoints(EndpointUpdate::Snapshot(vec![server(1, 0), server(2, 1)])),
//!     Event::Query {
//!         id: RequestId(1), class: ClassId(0), number: 1, deadline: now + 3.0, expected_work: None, is_client_retry: false,
//!     },
//!     Event::Part { id: RequestId(2), query_number: 1, shard: 0, weight: 1.0 },
//! ];
//! let mut actions = Vec::new();
//! router.handle(now, &events, &mut actions);
//! assert!(matches!(actions[0], Action::Send { part: RequestId(2), .. }));
//!
//! actions.clear();
//! let answer = Event::AttemptEnded { part: RequestId(2), attempt: 0, outcome: Outcome::Ok };
//! router.handle(now + 0.1, &[answer], &mut actions);
//! assert_eq!(actions[0], Action::Answer { query: RequestId(1), is_complete: true });
//! ```

#![forbid(unsafe_code)]
#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

mod admission;
mod arrivals;
mod attempt;
mod attempt_outcome;
mod client_liveness;
mod completion;
mod dispatch;
mod endpoints;
mod event_loop;
mod health_checks;
mod health_summary;
mod hedging;
mod load_shedding;
mod outlier_detection;
mod part;
mod query;
mod reconfigure;
mod replica_selection;
mod retry;
mod router;
mod server;
mod slow_start;
mod timer;
mod tuning;
mod zone_recovery;

pub use router::RequestRouter;
