//! Identity queries. They discover members through seeds, check whether this coordinator is reachable, and detect newer
//! processes under its own name.

use super::config::Output;
use super::swim::SwimOutput;
use super::timing::{
    CONTACTS_PER_ATTEMPT, REACHABILITY_QUERIES, REACHABILITY_TIMEOUT,
    SEED_CONTACT_INTERVAL_INCOMPLETE, SEED_CONTACT_INTERVAL_ISOLATED,
};
use super::Membership;
use crate::datagram::ClusterMessage;
use crate::identity::{MemberId, NameHash};
use crate::local_health::HealthEvidence;
use crate::quorum::QuorumView;
use rand::RngExt;
use std::net::SocketAddr;

impl Membership {
    /// Sends identity queries to random seeds: often while no other member is live, rarely while some are missing.
    pub(super) fn contact_seeds(&mut self, out: &mut Vec<Output>) {
        let is_isolated = self.live_members().next().is_none();
        let interval = if is_isolated {
            SEED_CONTACT_INTERVAL_ISOLATED
        } else {
            SEED_CONTACT_INTERVAL_INCOMPLETE
        };
        self.schedule.seed_contact = self.clock.now() + interval;
        if self.quorum_view == QuorumView::Complete {
            return;
        }
        for _ in 0..CONTACTS_PER_ATTEMPT.min(self.config.seeds.len()) {
            let seed = self.config.seeds[self.rng.random_range(0..self.config.seeds.len())];
            if seed != self.local.address {
                self.send_identity_query(seed, self.any_member(), out);
            }
        }
    }

    /// Starts a reachability check after a probe failed both directly and through other members. It shows whether the
    /// probed member failed or this coordinator is unreachable.
    pub(super) fn query_reachability(&mut self, out: &mut Vec<Output>) {
        let live_addresses: Vec<SocketAddr> = self
            .live_members()
            .map(|member| member.id.address)
            .collect();
        if live_addresses.is_empty() || self.reachability_deadline.is_some() {
            return;
        }
        self.reachability_deadline = Some(self.clock.now() + REACHABILITY_TIMEOUT);
        for _ in 0..REACHABILITY_QUERIES {
            let to = live_addresses[self.rng.random_range(0..live_addresses.len())];
            self.send_identity_query(to, self.any_member(), out);
        }
    }

    /// Records poor health if no member answered the reachability check in time.
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

    /// Asks random members and seeds which process holds this coordinator's name.
    pub(super) fn query_own_name(&mut self, out: &mut Vec<Output>) {
        let mut addresses: Vec<SocketAddr> = self
            .members
            .values()
            .map(|member| member.id.address)
            .collect();
        addresses.extend(&self.config.seeds);
        for _ in 0..CONTACTS_PER_ATTEMPT.min(addresses.len()) {
            let to = addresses[self.rng.random_range(0..addresses.len())];
            self.send_identity_query(to, self.local, out);
        }
    }

    /// Replies with the process that is known under a name, unless it is the sender of the query itself.
    pub(super) fn on_identity_query(
        &self,
        sender: MemberId,
        subject: NameHash,
        out: &mut Vec<Output>,
    ) {
        let known_id = if subject == self.local.name || subject == NameHash::ANY {
            (!self.name_ownership.is_replaced()).then_some(self.local)
        } else {
            self.members.get(&subject).map(|member| member.id)
        };
        let Some(known_id) = known_id.filter(|id| *id != sender) else {
            return;
        };
        let reply = ClusterMessage::IdentityReply {
            subject: known_id,
            from_subject: known_id.name == self.local.name,
        };
        self.send(sender.address, &reply, out);
    }

    /// Handles a member's reply with its own identity or with the process that it knows under a name.
    pub(super) fn on_identity_reply(
        &mut self,
        subject: MemberId,
        from_subject: bool,
        out: &mut Vec<Output>,
    ) {
        if subject.name != self.local.name {
            self.on_other_identity(subject, from_subject, out);
        } else if subject.supersedes(&self.local) {
            // Only a reply of the newer process itself decides the challenge; the process that another member knows may
            // have ended.
            if from_subject && self.name_ownership.awaits_answer() {
                self.yield_name(subject, out);
            } else {
                self.filter.borrow_mut().newer_process = Some(subject);
            }
        }
    }

    fn on_other_identity(&mut self, subject: MemberId, from_subject: bool, out: &mut Vec<Output>) {
        if from_subject {
            // The reply proves that this coordinator is reachable.
            self.reachability_deadline = None;
        }
        if !self.name_ownership.is_replaced() && !self.is_live(&subject) {
            let mut swim_output = SwimOutput::default();
            // An announcement that can't be sent is treated like a lost datagram.
            let _ = self.swim.announce(subject, &mut swim_output);
            self.apply(swim_output, out);
        }
    }

    /// Returns the subject of a query about its receiver.
    fn any_member(&self) -> MemberId {
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
