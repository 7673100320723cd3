//! Queries who is alive: to find members through seeds, to check whether this coordinator is heard, and to learn of a
//! newer process under its own name.

use super::config::Output;
use super::swim::SwimOutput;
use super::timing::{
    CONTACTS_PER_ATTEMPT, REACHABILITY_QUERIES, REACHABILITY_TIMEOUT, SEED_CONTACT_INTERVAL_ALONE,
    SEED_CONTACT_INTERVAL_PARTIAL,
};
use super::Membership;
use crate::datagram::ClusterMessage;
use crate::identity::{MemberId, NameHash};
use crate::local_health::HealthEvidence;
use crate::quorum::QuorumView;
use rand::RngExt;
use std::net::SocketAddr;

impl Membership {
    /// Asks seeds who they are: often while no member is live, now and then while some are missing.
    pub(super) fn contact_seeds(&mut self, out: &mut Vec<Output>) {
        let is_alone = self.live_members().next().is_none();
        let interval = if is_alone {
            SEED_CONTACT_INTERVAL_ALONE
        } else {
            SEED_CONTACT_INTERVAL_PARTIAL
        };
        self.schedule.seed_contact = self.clock.now() + interval;
        if self.quorum_view == QuorumView::Complete {
            return;
        }
        for _ in 0..CONTACTS_PER_ATTEMPT.min(self.config.seeds.len()) {
            let seed = self.config.seeds[self.random.random_range(0..self.config.seeds.len())];
            if seed != self.local.address {
                self.send_identity_query(seed, self.anyone(), out);
            }
        }
    }

    /// After a probe that was answered neither directly nor through others: finds out whether the probed member is at
    /// fault, or this coordinator is not heard.
    pub(super) fn query_reachability(&mut self, out: &mut Vec<Output>) {
        let others: Vec<SocketAddr> = self
            .live_members()
            .map(|member| member.id.address)
            .collect();
        if others.is_empty() || self.reachability_deadline.is_some() {
            return;
        }
        self.reachability_deadline = Some(self.clock.now() + REACHABILITY_TIMEOUT);
        for _ in 0..REACHABILITY_QUERIES {
            let to = others[self.random.random_range(0..others.len())];
            self.send_identity_query(to, self.anyone(), out);
        }
    }

    /// Counts a reachability check that no member answered in time.
    pub(super) fn check_reachability(&mut self) {
        let now = self.clock.now();
        if self
            .reachability_deadline
            .take_if(|deadline| now >= *deadline)
            .is_some()
        {
            self.health.record(HealthEvidence::Unreachable);
        }
    }

    /// Asks members and seeds who holds this coordinator's name.
    pub(super) fn query_own_name(&mut self, out: &mut Vec<Output>) {
        let mut addresses: Vec<SocketAddr> = self
            .members
            .values()
            .map(|member| member.id.address)
            .collect();
        addresses.extend(&self.config.seeds);
        for _ in 0..CONTACTS_PER_ATTEMPT.min(addresses.len()) {
            let to = addresses[self.random.random_range(0..addresses.len())];
            self.send_identity_query(to, self.local, out);
        }
    }

    /// Answers who is known under a name, unless the asker knows it already.
    pub(super) fn on_identity_query(
        &self,
        asker: MemberId,
        subject: NameHash,
        out: &mut Vec<Output>,
    ) {
        let known = if subject == self.local.name || subject == NameHash::ANY {
            (!self.ownership.is_replaced()).then_some(self.local)
        } else {
            self.members.get(&subject).map(|member| member.id)
        };
        let Some(known) = known.filter(|known| *known != asker) else {
            return;
        };
        let reply = ClusterMessage::IdentityReply {
            subject: known,
            from_subject: known.name == self.local.name,
        };
        self.send(asker.address, &reply, out);
    }

    /// A member says who it is, or who is known under a name.
    pub(super) fn on_identity_reply(
        &mut self,
        subject: MemberId,
        from_subject: bool,
        out: &mut Vec<Output>,
    ) {
        if subject.name != self.local.name {
            self.on_other_identity(subject, from_subject, out);
        } else if subject.supersedes(&self.local) {
            // Only the rival's own reply settles the challenge; another member's may be about one that has ended.
            if from_subject && self.ownership.awaits_answer() {
                self.yield_name(subject, out);
            } else {
                self.filter.borrow_mut().newer_process = Some(subject);
            }
        }
    }

    fn on_other_identity(&mut self, subject: MemberId, from_subject: bool, out: &mut Vec<Output>) {
        if from_subject {
            // Whoever answers hears this coordinator.
            self.reachability_deadline = None;
        }
        if !self.ownership.is_replaced() && !self.is_live(&subject) {
            let mut swim_output = SwimOutput::default();
            // An announcement that can't be sent is one that was lost.
            let _ = self.swim.announce(subject, &mut swim_output);
            self.apply(swim_output, out);
        }
    }

    fn anyone(&self) -> MemberId {
        MemberId {
            name: NameHash::ANY,
            ..self.local
        }
    }

    fn send_identity_query(&self, to: SocketAddr, subject: MemberId, out: &mut Vec<Output>) {
        let query = ClusterMessage::IdentityQuery {
            from: self.local,
            subject,
        };
        self.send(to, &query, out);
    }
}
