//! Counters, budgets and schedules for routing decisions.
//!
//! The package holds a timer queue, sliding windows, the retry budget, the schedule of health checks, the
//! backoff of endpoint-list polls, weighted round robin, an estimate of server throughput and a seeded random
//! number generator. It reads no clock: every call takes the current time. It makes no decision
//! about a request.

#![warn(clippy::too_many_lines, clippy::wildcard_imports)]

mod health_check_schedule;
mod poll_backoff;
mod random;
mod retry_budget;
mod sliding_window;
mod throughput_estimate;
mod timer_queue;
mod weighted_round_robin;

pub use health_check_schedule::HealthCheckSchedule;
pub use poll_backoff::PollBackoff;
pub use random::Random;
pub use retry_budget::RetryBudget;
pub use sliding_window::SlidingWindow;
pub use throughput_estimate::{ServerThroughput, ThroughputEstimate};
pub use timer_queue::TimerQueue;
pub use weighted_round_robin::{weighted_round_robin, RotationEntry};
