//! The page of `GET /v1/peers`: the cluster as this coordinator sees it, as JSON.

use cairnroad_cluster::quorum::ClusterAction;
use cairnroad_cluster::view::{ClusterView, Member};
use cairnroad_cluster::Membership;
use cairnroad_types::{Seconds, Time};
use serde_json::{json, Map, Value};

/// Renders the page. `name` is this coordinator's name, `now` the time from which the ages of members' states are
/// computed.
pub fn render(membership: &Membership, name: &str, now: Time) -> String {
    let view = membership.view();
    let members: Vec<Value> = view
        .members
        .iter()
        .map(|member| member_object(membership, member, now))
        .collect();
    json!({
        "name": name,
        "address": view.local.address.to_string(),
        "generation": view.local.generation,
        "returns": view.local.rejoins,
        "standing": view.quorum_view,
        "epoch": view.epoch,
        "digest": format!("{:016x}", view.digest),
        "doubt": view.health_score,
        "there": view.live_count(),
        "agree": view.agreeing_count,
        "differ": view.differing_count,
        "replaced_by": view.replaced_by.map(|id| id.address.to_string()),
        "may": allowed_actions(&view),
        "doubted": membership.outlier_reports(),
        "members": members,
        "dropped": drop_counts(membership),
    })
    .to_string()
}

fn member_object(membership: &Membership, member: &Member, now: Time) -> Value {
    let gossip = membership.member_gossip(&member.id);
    let description = gossip.description.as_ref();
    json!({
        "name": description.map(|description| &description.name),
        "room": description.map(|description| &description.room),
        "offers": description.map(|description| &description.offers),
        "state": member.state,
        "for_s": round_to_tenths(now - member.since),
        "phase": gossip.phase,
        "address": member.id.address.to_string(),
        "generation": member.id.generation,
        "returns": member.id.rejoins,
        "incarnation": member.incarnation,
    })
}

fn round_to_tenths(seconds: Seconds) -> Seconds {
    (seconds * 10.0).round() / 10.0
}

fn allowed_actions(view: &ClusterView) -> Map<String, Value> {
    ClusterAction::ALL
        .into_iter()
        .map(|action| (action.key().to_string(), json!(view.allows(action))))
        .collect()
}

fn drop_counts(membership: &Membership) -> Map<String, Value> {
    membership
        .drop_counts()
        .map(|drops| (drops.cause.to_string(), json!(drops.count)))
        .collect()
}

#[cfg(test)]
mod tests;
