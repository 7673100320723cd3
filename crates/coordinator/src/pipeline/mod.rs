//! The request pipeline: a single task, [`Core`], processes each request from its submission by a front to its final
//! answer.
//!
//! A request passes through these stages:
//!
//! 1. [`request_queue`]: a front submits the request to a bounded queue. If the queue is full, the request is rejected.
//! 2. [`admission`]: at the next tick, the core assigns ids to the request, or rejects it if the limit on open requests
//!    is reached.
//! 3. [`request_table`]: stores the request, its parts and their results while the request is open, and enforces the
//!    limit on open requests (`RequestTable::has_capacity_for`).
//! 4. [`router_driver`]: passes the tick's events to the router, which decides on attempts and answers.
//! 5. [`dispatch`]: passes the router's attempts, cancellations, health checks and timers to the pool and the timers.
//! 6. [`respond`]: builds the final answer and sends it to the front.
//!
//! The core runs on one thread and ticks at a fixed interval. All events that arrived since the last tick are passed to
//! the router in one call, so that every decision takes into account all events that arrived before it.

pub mod admission;
pub mod core;
pub mod dispatch;
pub mod request_queue;
pub mod request_table;
pub mod respond;
pub mod router_driver;
pub mod timer;

pub use self::core::{Core, CoreChannels};
