//! Graceful shutdown at SIGTERM.
//!
//! First, a shared listening socket is left to the other process, and the deadline of every request is limited to the
//! answer deadline. Then, at the times that [`GracefulShutdown`] decides, idle connections are closed, listeners are
//! closed, partially received requests are rejected, and the program ends once every request is answered.

use super::context::Context;
use super::listeners::ClientListeners;
use crate::messages::{CoreMessage, ServingPhase};
use cairnroad_admin::shutdown::{GracefulShutdown, ShutdownPhase};
use std::time::Duration;

/// Interval at which the phase is updated.
const SHUTDOWN_TICK: Duration = Duration::from_millis(5);

/// Carries out the shutdown; returns once every request is answered.
pub async fn shut_down(context: &Context, listeners: &ClientListeners) {
    listeners.hand_over();
    let longest_deadline = context
        .served_configuration
        .borrow()
        .deployment
        .longest_deadline();
    let mut shutdown = GracefulShutdown::new(context.clock.now(), longest_deadline);
    context
        .connections
        .set_answer_deadline(shutdown.answer_deadline());
    // Requests that are in flight already may have a later deadline.
    let finish = CoreMessage::LimitDeadlines(shutdown.answer_deadline());
    // The send fails only if the decision loop has ended, which then has no request in flight.
    let _ = context.messages.send(finish).await;
    loop {
        let shutdown_phase = shutdown.advance(
            context.clock.now(),
            context.connections.shutdown_observation(),
        );
        set_phase(context, phase_of(shutdown_phase));
        if shutdown_phase >= ShutdownPhase::ListenerClosed {
            context.listeners_closed.send_replace(true);
        }
        if shutdown_phase == ShutdownPhase::Finished {
            return;
        }
        tokio::time::sleep(SHUTDOWN_TICK).await;
    }
}

fn phase_of(shutdown_phase: ShutdownPhase) -> ServingPhase {
    match shutdown_phase {
        ShutdownPhase::Serving => ServingPhase::ShuttingDown,
        ShutdownPhase::IdleConnectionsClosed | ShutdownPhase::ListenerClosed => {
            ServingPhase::IdleConnectionsClosing
        }
        ShutdownPhase::Rejecting | ShutdownPhase::Finished => ServingPhase::PartialRequestsRejected,
    }
}

/// Sets the phase. Its watchers are notified only if it changes.
fn set_phase(context: &Context, next: ServingPhase) {
    context
        .phase
        .send_if_modified(|phase| std::mem::replace(phase, next) != next);
}
