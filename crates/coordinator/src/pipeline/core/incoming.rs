//! The first steps of a tick: processing messages from other tasks, then firing timers.

use super::Core;
use crate::connections::pool::PoolEvent;
use crate::messages::{AttemptId, AttemptResult, ConnectionReport, CoreMessage};
use crate::observability::metrics::Counter;
use crate::pipeline::timer::Timer;
use cairnroad_types::{Event, Outcome, Time};

impl Core {
    /// Processes all queued messages.
    pub(super) fn process_messages(&mut self, now: Time) {
        while let Ok(message) = self.messages.try_recv() {
            self.process_message(now, message);
        }
    }

    fn process_message(&mut self, now: Time, message: CoreMessage) {
        match message {
            CoreMessage::Endpoints(update) => self.on_endpoint_update(&update, false),
            CoreMessage::Connection(report) => self.on_connection_report(now, report),
            // Replying fails if the caller has stopped waiting; the reply is then discarded.
            CoreMessage::Admin { request, reply } => {
                let _ = reply.send(self.handle_admin_request(now, request));
            }
            CoreMessage::OutlierAdvice(ids) => self.on_outlier_advice(&ids),
            CoreMessage::LimitDeadlines(deadline) => self.router.limit_deadlines(deadline),
            CoreMessage::Reconfigure {
                configuration,
                reply,
            } => {
                let _ = reply.send(self.reconfigure(*configuration));
            }
        }
    }

    fn on_connection_report(&mut self, now: Time, report: ConnectionReport) {
        match self.pool.on_connection_event(now, report) {
            Some(PoolEvent::AttemptEnded(result)) => self.on_attempt_ended(result),
            Some(PoolEvent::AnswerRetracted(attempt)) => self.requests.retract_value(attempt),
            Some(PoolEvent::HealthCheckEnded {
                server,
                outcome,
                report,
            }) => self.router.push(Event::HealthCheckEnded {
                server,
                outcome,
                report,
            }),
            Some(PoolEvent::DialFailed) => self.metrics.increment(Counter::DialFailures),
            None => {}
        }
    }

    /// Handles all timers that are due.
    pub(super) fn fire_timers(&mut self, now: Time) {
        for timer in self.timers.advance(now) {
            self.fire_timer(now, timer);
        }
    }

    fn fire_timer(&mut self, now: Time, timer: Timer) {
        match timer {
            Timer::RouterWakeUp => self.router.push(Event::TimerFired),
            Timer::AttemptDeadline(attempt) => self.on_attempt_deadline(attempt),
            Timer::DialDeadline(connection) => self.pool.on_dial_deadline(connection),
            Timer::ConnectionSweep => self.sweep_connections(now),
            Timer::SuspensionPoll => self.poll_suspensions(now),
            Timer::OutlierPublication => self.publish_outliers(now),
        }
    }

    /// Ends an attempt as timed out if it is still in flight.
    fn on_attempt_deadline(&mut self, attempt: AttemptId) {
        if self.pool.time_out(attempt) {
            self.on_attempt_ended(AttemptResult {
                attempt,
                outcome: Outcome::Timeout,
                value: None,
            });
        }
    }

    fn sweep_connections(&mut self, now: Time) {
        self.pool.sweep(now);
        self.timers
            .insert(now + self.sweep_interval, Timer::ConnectionSweep);
    }
}
