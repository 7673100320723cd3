//! Graceful shutdown at SIGTERM.
//!
//! In order: a shared listening socket is left to the other process; no request gets longer than up to the final
//! moment; then, as [`GracefulShutdown`] times it, idle connections are closed, listeners are closed, half-sent requests
//! are rejected, and the program ends once everything is answered.

use super::context::Context;
use super::listeners::ClientListeners;
use crate::messages::{CoreMessage, ServingPhase};
use cairnroad_admin::shutdown::{GracefulShutdown, ShutdownPhase};
use std::time::Duration;

/// How often the next phase is decided.
const SHUTDOWN_TICK: Duration = Duration::from_millis(5);

/// Carries the shutdown out, up to the last answer.
pub async fn shut_down(context: &Context, listeners: &ClientListeners) {
    listeners.hand_over();
    let longest_deadline = context.served.borrow().deployment.longest_deadline();
    let mut shutdown = GracefulShutdown::new(context.clock.now(), longest_deadline);
    context
        .connections
        .set_answer_deadline(shutdown.answer_deadline());
    // Requests that are in flight already may have a later deadline.
    let finish = CoreMessage::LimitDeadlines(shutdown.answer_deadline());
    // A decision loop that is gone has no request in flight.
    let _ = context.messages.send(finish).await;
    loop {
        let step = shutdown.advance(
            context.clock.now(),
            context.connections.shutdown_observation(),
        );
        set_phase(context, phase_of(step));
        if step >= ShutdownPhase::ListenerClosed {
            context.listeners_closed.send_replace(true);
        }
        if step == ShutdownPhase::Finished {
            return;
        }
        tokio::time::sleep(SHUTDOWN_TICK).await;
    }
}

fn phase_of(step: ShutdownPhase) -> ServingPhase {
    match step {
        ShutdownPhase::Serving => ServingPhase::ShuttingDown,
        ShutdownPhase::IdleConnectionsClosed | ShutdownPhase::ListenerClosed => {
            ServingPhase::IdleConnectionsClosing
        }
        ShutdownPhase::Rejecting | ShutdownPhase::Finished => ServingPhase::PartialRequestsRejected,
    }
}

/// Wakes the watchers of the phase only where it changes.
fn set_phase(context: &Context, next: ServingPhase) {
    context
        .phase
        .send_if_modified(|phase| std::mem::replace(phase, next) != next);
}
