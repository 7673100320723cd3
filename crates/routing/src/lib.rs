//! Sans-I/O decisions for a client library that reads many shards for one request.
//!
//! An [`Aggregator`] is told what happened ([`Event`]) and says what to do ([`Action`]): which replica gets
//! each part of a query, when a part gets its one hedge, when to cancel, retry, answer, refuse or fail. It
//! keeps no clock, opens no socket and shares nothing; the caller does both and feeds the outcomes back.
//!
//! ```
//! use cairnroad_routing::*;
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         aim: 1.0, aim_stretch: 0.0, deadline: 3.0, worth: 1.0, late_share: 0.0, effect: Effect::Safe,
//!         window: 0.0, need: 1.0, floor: 1.0, partial: 0.0, fetch: 0,
//!     }],
//!     group_size: 1, cells: 2, reach: 2, parts_a_call: 1, tick: 0.005, max_attempts: 3, probes: None, cancel: true,
//!     second_copies: true, retry_after: Some(0.5), must_ask: None, drain_grace: 1.0, cold_from: 0.2, warm_up: 10.0,
//!     fall_multiple: 2.0, fall_window: 2.0, budget: None,
//! };
//! let mut aggregator = Aggregator::new(settings, 7);
//! let server = |id, cell| Listed {
//!     server: ServerId(id), cell, zone: 0, state: ServerState::Ready, size: 1.0, weight: 1.0, generation: 0,
//!     ready_at: None,
//! };
//! let now = Time::from_secs(100.0);
//! let events = [
//!     Event::List(ListNews::Full(vec![server(1, 0), server(2, 1)])),
//!     Event::Query {
//!         id: RequestId(1), class: ClassId(0), number: 1, due: now + 3.0, work: None, repeat: false,
//!     },
//!     Event::Part { id: RequestId(2), number: 1, shard: 0, weight: 1.0 },
//! ];
//! let mut actions = Vec::new();
//! aggregator.handle(now, &events, &mut actions);
//! assert!(matches!(actions[0], Action::Send { part: RequestId(2), .. }));
//!
//! actions.clear();
//! let answer = Event::Done { id: RequestId(2), attempt: 0, outcome: Outcome::Ok };
//! aggregator.handle(now + 0.1, &[answer], &mut actions);
//! assert_eq!(actions[0], Action::Answer { query: RequestId(1), whole: true });
//! ```

#![forbid(unsafe_code)]

mod policy;

pub use cairnroad_types::*;
pub use policy::Aggregator;
