//! Read access to the state of a membership.

use super::Membership;
use crate::datagram_error::DropCount;
use crate::gossip_entry::{MemberDescription, MemberPhase};
use crate::identity::MemberId;
use crate::quorum::{is_allowed, ClusterAction};
use crate::view::ClusterView;
use std::collections::BTreeMap;

/// Information that a member published about itself, as far as it has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberGossip {
    /// The member's description, if it has arrived.
    pub description: Option<MemberDescription>,
    /// The last phase that the member published in the requested generation, if any has arrived.
    pub phase: Option<MemberPhase>,
}

impl Membership {
    /// Returns a snapshot of the cluster as this coordinator sees it.
    pub fn view(&self) -> ClusterView {
        let agreeing_count = self
            .peer_digests
            .values()
            .filter(|digest| **digest == self.view_version.digest())
            .count();
        ClusterView {
            epoch: self.view_version.epoch(),
            digest: self.view_version.digest(),
            local: self.local,
            quorum_view: self.quorum_view,
            health_score: self.health.score(),
            replaced_by: self.name_ownership.replaced_by(),
            agreeing_count,
            differing_count: self.peer_digests.len() - agreeing_count,
            members: self.members.values().cloned().collect(),
        }
    }

    /// Returns, for each data node that other members report as an outlier, the number of those members. The map is
    /// empty if the quorum view does not allow the use of advice.
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

    /// Returns the information that a member published about itself.
    pub fn member_gossip(&self, id: &MemberId) -> MemberGossip {
        let gossip = self.gossip.borrow();
        MemberGossip {
            description: gossip.description(id.name).cloned(),
            phase: gossip.phase(id.name, id.generation),
        }
    }

    /// Returns the numbers of dropped datagrams, by cause.
    pub fn drop_counts(&self) -> impl Iterator<Item = DropCount> {
        self.drop_counts.iter()
    }
}
