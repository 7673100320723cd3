//! The request pipeline: one task, [`Core`], that takes requests from the fronts to their final answers.
//!
//! The life of a request, in the order of its stages:
//!
//! 1. [`request_queue`]: a front submits the request to the bounded queue; a full queue rejects it.
//! 2. [`admission`]: the core's next tick gives it ids, or rejects it where the limit on open requests is reached.
//! 3. [`request_table`]: holds the request, its parts and their results while it is open. The limit on open requests
//!    (`RequestTable::has_capacity_for`) stands here.
//! 4. [`router_driver`]: hands the tick's events to the router, which decides on attempts and answers.
//! 5. [`dispatch`]: passes the router's attempts, cancellations, health checks and timers to the pool and the timers.
//! 6. [`respond`]: builds the final answer and sends it to the front.
//!
//! The core runs on one thread and ticks at a fixed interval. All that arrived since the last tick is one call of the
//! router, so that a decision never misses an event that arrived before it.
#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

pub mod admission;
pub mod core;
pub mod dispatch;
pub mod request_queue;
pub mod request_table;
pub mod respond;
pub mod router_driver;
pub mod timer;

pub use self::core::{Core, CoreChannels};
