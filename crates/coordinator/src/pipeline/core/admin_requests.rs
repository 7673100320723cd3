//! Admin requests that change the core: suspending and resuming data nodes, draining and activating the coordinator.

use super::Core;
use crate::messages::ServingPhase;
use cairnroad_admin::request::{AdminRequest, AdminResponse, UnavailableReason};
use cairnroad_admin::suspensions::Suspension;
use cairnroad_types::Time;

impl Core {
    /// Executes an operator's request and returns the response for it.
    pub(super) fn handle_admin_request(
        &mut self,
        now: Time,
        request: AdminRequest,
    ) -> AdminResponse {
        let response = match &request {
            // The admin API answers these requests without the core.
            AdminRequest::Readiness | AdminRequest::ClusterMembers => AdminResponse::Done,
            AdminRequest::Suspend(id) => self.suspend(now, id),
            AdminRequest::Resume(id) => self.resume(now, id),
            AdminRequest::Drain => self.drain(),
            AdminRequest::Activate => self.activate(),
        };
        tracing::info!(?request, ?response, "admin request handled");
        response
    }

    fn suspend(&mut self, now: Time, id: &str) -> AdminResponse {
        if !self.suspensions.is_known(id) {
            return AdminResponse::UnknownNode;
        }
        if !self.suspensions.has_capacity_for(id) {
            return AdminResponse::TooManySuspensions;
        }
        self.apply_suspension(id, self.suspensions.plan_suspension(id, now));
        AdminResponse::Done
    }

    fn resume(&mut self, now: Time, id: &str) -> AdminResponse {
        if !self.suspensions.is_known(id) {
            return AdminResponse::UnknownNode;
        }
        if let Some(suspension) = self.suspensions.plan_resumption(id, now) {
            self.apply_suspension(id, suspension);
        }
        AdminResponse::Done
    }

    /// Applies and stores a suspension or a resumption.
    fn apply_suspension(&mut self, id: &str, suspension: Suspension) {
        if !self.suspensions.apply(id, suspension) {
            return;
        }
        if let Some(store) = &mut self.suspension_store {
            store.save(id, suspension);
        }
        self.republish_endpoints(&[id.to_string()]);
    }

    fn drain(&self) -> AdminResponse {
        self.change_phase(|phase| match phase {
            ServingPhase::Starting | ServingPhase::Serving => Some(ServingPhase::DrainedByOperator),
            _ => None,
        })
    }

    /// Ends a drain. The process serves again once `update_readiness`, which runs at the end of this tick, finds it
    /// ready.
    fn activate(&self) -> AdminResponse {
        self.change_phase(|phase| {
            (phase == ServingPhase::DrainedByOperator).then_some(ServingPhase::Starting)
        })
    }

    /// Changes the serving phase to the one that `next` returns for the current phase; `None` leaves it unchanged.
    /// Fails while the process shuts down.
    fn change_phase(&self, next: impl Fn(ServingPhase) -> Option<ServingPhase>) -> AdminResponse {
        let current = *self.phase.borrow();
        if current.is_shutting_down() {
            return AdminResponse::Unavailable(UnavailableReason::ShuttingDown);
        }
        if let Some(phase) = next(current) {
            self.phase.send_replace(phase);
        }
        AdminResponse::Done
    }
}
