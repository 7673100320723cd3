//! What a membership reports to its owner.

use super::Membership;
use crate::datagram_error::DropCount;
use crate::gossip_entry::{MemberDescription, MemberPhase};
use crate::identity::MemberId;
use crate::quorum::{is_allowed, ClusterAction};
use crate::view::ClusterView;
use std::collections::BTreeMap;

/// What a member published about itself, as far as it has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberGossip {
    /// Its description.
    pub description: Option<MemberDescription>,
    /// Its last phase in the generation asked about.
    pub phase: Option<MemberPhase>,
}

impl Membership {
    /// What this coordinator sees.
    pub fn view(&self) -> ClusterView {
        let agreeing_count = self
            .peer_digests
            .values()
            .filter(|digest| **digest == self.version.digest())
            .count();
        ClusterView {
            epoch: self.version.epoch(),
            digest: self.version.digest(),
            local: self.local,
            quorum_view: self.quorum_view,
            health_score: self.health.score(),
            replaced_by: self.ownership.replaced_by(),
            agreeing_count,
            differing_count: self.peer_digests.len() - agreeing_count,
            members: self.members.values().cloned().collect(),
        }
    }

    /// For each data node that other members report as an outlier, how many do. Empty where advice may not be used.
    pub fn outlier_reports(&self) -> BTreeMap<String, usize> {
        if !is_allowed(self.quorum_view, ClusterAction::UseAdvice) {
            return BTreeMap::new();
        }
        let gossip = self.gossip.borrow();
        let reports = gossip.outlier_reports(self.clock.now(), self.local.name);
        reports
            .into_iter()
            .map(|(server, count)| (server.to_string(), count))
            .collect()
    }

    /// What a member published about itself.
    pub fn member_gossip(&self, id: &MemberId) -> MemberGossip {
        let gossip = self.gossip.borrow();
        MemberGossip {
            description: gossip.description(id.name).cloned(),
            phase: gossip.phase(id.name, id.generation),
        }
    }

    /// How many datagrams were dropped, by cause.
    pub fn drop_counts(&self) -> impl Iterator<Item = DropCount> {
        self.drops.iter()
    }
}
