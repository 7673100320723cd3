//! This coordinator's own status after each input: health, ownership of its name, and quorum view.

use super::config::Output;
use super::name_ownership::{AddressChallenge, NameOwnership};
use super::Membership;
use crate::local_health::HealthEvidence;
use crate::quorum::QuorumView;

impl Membership {
    /// Updates the status once an input has been handled.
    pub(super) fn update_status(&mut self, out: &mut Vec<Output>) {
        self.update_health();
        self.detect_rival();
        // Others keep declaring this coordinator failed: a newer process may bear its name, or have borne it.
        if self.rejoins.take_futile_streak() {
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

    fn detect_rival(&mut self) {
        let newer_process = self.filter.borrow_mut().newer_process.take();
        let Some(rival) = newer_process.filter(|rival| rival.supersedes(&self.local)) else {
            return;
        };
        if self.ownership.is_held() {
            let challenge = AddressChallenge::new(rival, self.clock.now());
            self.ownership = NameOwnership::Challenged(challenge);
        }
    }

    /// How much of the configured group is seen, and can be trusted.
    pub(super) fn evaluate_quorum(&self) -> QuorumView {
        if self.ownership.is_replaced() || self.awaits_confirmation {
            return QuorumView::Isolated;
        }
        let local = usize::from(self.voters.contains(&self.local.name));
        let others = self
            .live_members()
            .filter(|member| self.voters.contains(&member.id.name))
            .count();
        let quorum_view = QuorumView::from_counts(local + others, self.voters.len());
        if self.health.is_degraded() {
            return quorum_view.min(QuorumView::Minority);
        }
        quorum_view
    }
}
