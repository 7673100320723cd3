//! Dispatch of parts to servers.

use crate::attempt::{Attempt, AttemptId};
use crate::router::RequestRouter;
use crate::timer::Timer;
use crate::tuning::HEDGE_DELAY_SHARE;
use cairnroad_types::{Action, Idempotency, RequestId, Seconds, ServerId, Time};

impl RequestRouter {
    /// Sends a part to a server, as the part's first attempt, a hedged request or a retry.
    pub(crate) fn send(
        &mut self,
        now: Time,
        part_id: RequestId,
        server_id: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let Some(part) = self.parts.get_mut(&part_id) else {
            return;
        };
        let Some(query) = self.queries.get(&part.query) else {
            return;
        };
        let Some(server) = self.servers.get_mut(&server_id) else {
            return;
        };
        let class = query.class;
        let hedge_delay = self.settings.classes[class].latency_objective * HEDGE_DELAY_SHARE;
        let overdue_at = now + self.class_latency[class].typical.min(hedge_delay);
        let is_first_send = part.first_sent.is_none();
        let id = AttemptId {
            part: part_id,
            number: part.start_attempt(now, server_id),
        };
        let attempt = Attempt {
            server: server_id,
            class,
            sent_at: now,
            overdue_at,
        };
        self.turn_count += 1;
        server.on_send(now, self.turn_count, attempt.in_flight_entry(id));
        self.attempts.insert(id, attempt);
        actions.push(Action::Send {
            part: part_id,
            server: server_id,
            deadline: query.finish_at,
        });
        if is_first_send {
            self.on_first_send(now, part_id, class, hedge_delay);
        }
        if id.number > 0 {
            self.retry_budget.on_retry(now, self.settings.retry_budget);
        }
    }

    /// Records a part's first send and sets its hedge timer.
    fn on_first_send(&mut self, now: Time, part: RequestId, class: usize, hedge_delay: Seconds) {
        self.part_sends.push(now, self.long_recent_window());
        self.health_checks.add_credit(self.servers.len() as f64);
        let idempotency = self.settings.classes[class].idempotency;
        if idempotency != Idempotency::AtMostOnce && self.settings.hedging_enabled {
            self.timers.insert(now + hedge_delay, Timer::Hedge(part));
        }
    }
}
