//! Update of this coordinator's own status after each input: health, ownership of its name, and quorum view.

use super::config::Output;
use super::name_ownership::{AddressChallenge, NameOwnership};
use super::Membership;
use crate::local_health::HealthEvidence;
use crate::quorum::QuorumView;

impl Membership {
    /// Updates the status after an input was handled.
    pub(super) fn update_status(&mut self, out: &mut Vec<Output>) {
        self.update_health();
        self.detect_newer_process();
        // The other members keep declaring this coordinator failed, possibly because a newer process runs, or ran,
        // under its name.
        if self.rejoin_history.take_futile_streak() {
            self.query_own_name(out);
        }
        let quorum_view = self.evaluate_quorum();
        if quorum_view != self.quorum_view {
            self.quorum_view = quorum_view;
            out.push(Output::QuorumChanged(quorum_view));
        }
    }

    fn update_health(&mut self) {
        let mut filter = self.filter.borrow_mut();
        if filter.local_incarnation > self.last_incarnation {
            self.health.record(HealthEvidence::Suspected);
        }
        self.last_incarnation = filter.local_incarnation;
        for _ in 0..std::mem::take(&mut filter.probe_acks) {
            self.health.record(HealthEvidence::ProbeAnswered);
        }
    }

    fn detect_newer_process(&mut self) {
        let reported = self.filter.borrow_mut().newer_process.take();
        let Some(newer_process) = reported.filter(|id| id.supersedes(&self.local)) else {
            return;
        };
        if self.name_ownership.is_held() {
            let challenge = AddressChallenge::new(newer_process, self.clock.now());
            self.name_ownership = NameOwnership::Challenged(challenge);
        }
    }

    /// Returns how much of the configured group this coordinator sees, limited by its trust in its own view.
    pub(super) fn evaluate_quorum(&self) -> QuorumView {
        if self.name_ownership.is_replaced() || self.awaits_confirmation {
            return QuorumView::Isolated;
        }
        let local_count = usize::from(self.voter_names.contains(&self.local.name));
        let other_count = self
            .live_members()
            .filter(|member| self.voter_names.contains(&member.id.name))
            .count();
        let quorum_view =
            QuorumView::from_counts(local_count + other_count, self.voter_names.len());
        if self.health.is_degraded() {
            return quorum_view.min(QuorumView::Minority);
        }
        quorum_view
    }
}
