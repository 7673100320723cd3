//! The types that the coordinator's subsystems exchange: requests and answers, attempts, connection events, messages to
//! the core, endpoint lists, the serving phase and the served configuration.
//!
//! These types are plain data: they do no I/O and depend on no other module of the program. The pipeline, the
//! connection pool, the backends, the fronts and discovery can therefore each be understood on their own.

mod answer;
mod attempt;
mod client_liveness;
mod connection_event;
mod core_message;
mod endpoint_list;
mod idempotency_key;
mod request;
mod served_configuration;
mod serving_phase;

pub use answer::{Answer, PartAnswer, PartFailure, PartValue};
pub use attempt::{AttemptId, AttemptResult, OutboundAttempt};
pub use client_liveness::ClientLiveness;
pub use connection_event::{ConnectionEvent, ConnectionId, ConnectionReport};
pub use core_message::{CoreMessage, LocalOutliers};
pub use endpoint_list::{EndpointEntry, EndpointListUpdate};
pub use idempotency_key::{IdempotencyKey, MalformedIdempotencyKey};
pub use request::{ClientRequest, ContractsInForce, PartSpec, Payload, Request};
pub use served_configuration::{SearchIndex, ServedConfiguration};
pub use serving_phase::ServingPhase;
