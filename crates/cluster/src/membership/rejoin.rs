//! Rejoining the cluster after a pause, after other members declared this coordinator failed, or under a later
//! generation.

use super::config::Output;
use super::swim::{new_swim, Swim, SwimOutput, SwimParts};
use super::timing::{
    declared_failed_after, CONTACTS_PER_ATTEMPT, FUTILE_REJOIN_WINDOW, MAX_FUTILE_REJOINS,
};
use super::Membership;
use crate::identity::MemberId;
use crate::local_health::HealthEvidence;
use crate::message_filter::FilteringCodec;
use cairnroad_types::{Seconds, Time};
use foca::Identity;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Record of recent rejoins. A rejoin shortly after another one shows that the earlier one was futile.
pub(super) struct RejoinHistory {
    last_rejoin: Time,
    /// Number of futile rejoins in a row.
    futile_count: u32,
}

impl RejoinHistory {
    pub(super) fn new(now: Time) -> RejoinHistory {
        RejoinHistory {
            last_rejoin: now,
            futile_count: 0,
        }
    }

    fn record(&mut self, now: Time) {
        let was_futile = now - self.last_rejoin < FUTILE_REJOIN_WINDOW;
        self.futile_count = if was_futile { self.futile_count + 1 } else { 0 };
        self.last_rejoin = now;
    }

    /// Returns whether too many rejoins in a row were futile, and if so resets their count.
    pub(super) fn take_futile_streak(&mut self) -> bool {
        let is_streak = self.futile_count >= MAX_FUTILE_REJOINS;
        if is_streak {
            self.futile_count = 0;
        }
        is_streak
    }
}

impl Membership {
    /// Handles a pause of the process: excludes it from the membership time, lowers the health, and rejoins if the
    /// other members must have declared this coordinator failed.
    pub(super) fn on_pause(&mut self, gap: Seconds, out: &mut Vec<Output>) {
        self.clock.skip_pause(gap);
        self.health.record(HealthEvidence::Paused);
        out.push(Output::Paused(gap));
        let is_declared_failed = gap > declared_failed_after(self.config.member_names.len());
        if is_declared_failed && !self.name_ownership.is_replaced() {
            self.restart(self.local.renew(), out);
        }
    }

    /// Adopts the identity under which the SWIM library rejoined.
    pub(super) fn on_rejoined(&mut self, out: &mut Vec<Output>) {
        self.adopt_identity(*self.swim.identity());
        self.rejoin_history.record(self.clock.now());
        out.push(Output::Rejoined);
    }

    /// Restarts the membership as if the process had started with the given generation.
    pub(super) fn begin_generation(&mut self, generation: u64, out: &mut Vec<Output>) {
        self.last_entry_version = 0;
        let identity = MemberId {
            generation,
            rejoins: 0,
            ..self.local
        };
        self.restart(Some(identity), out);
    }

    fn adopt_identity(&mut self, identity: MemberId) {
        self.view_version.toggle(&self.local);
        self.view_version.toggle(&identity);
        self.local = identity;
        self.filter.borrow_mut().local = identity;
        self.view_version.advance();
    }

    /// Restarts the membership without any live member, and contacts members that were live. If no identity is given,
    /// the next generation is used.
    fn restart(&mut self, identity: Option<MemberId>, out: &mut Vec<Output>) {
        let identity = identity.unwrap_or(MemberId {
            generation: self.local.generation + 1,
            rejoins: 0,
            ..self.local
        });
        self.adopt_identity(identity);
        let previously_live: Vec<MemberId> = self.live_members().map(|member| member.id).collect();
        self.swim = self.new_swim();
        self.reset_members(&previously_live);
        out.push(Output::Rejoined);
        let mut swim_output = SwimOutput::default();
        for _ in 0..CONTACTS_PER_ATTEMPT.min(previously_live.len()) {
            let contact = previously_live[self.rng.random_range(0..previously_live.len())];
            // An announcement that can't be sent is treated like a lost datagram.
            let _ = self.swim.announce(contact, &mut swim_output);
        }
        self.apply(swim_output, out);
        self.schedule.seed_contact = self.clock.now();
        for value in self.published_values.clone().into_values() {
            self.publish_entry(value);
        }
    }

    fn reset_members(&mut self, previously_live: &[MemberId]) {
        self.timers.clear();
        self.members.clear();
        self.peer_digests.clear();
        self.view_version.reset_digest(&self.local);
        self.last_incarnation = 0;
        self.awaits_confirmation = self.voter_names.len() > 1;
        let now = self.clock.now();
        let mut gossip = self.gossip.borrow_mut();
        for id in previously_live {
            gossip.mark_absent(now, id.name);
        }
    }

    fn new_swim(&mut self) -> Swim {
        let parts = SwimParts {
            codec: FilteringCodec(self.filter.clone()),
            gossip: self.gossip.clone(),
            now: self.clock.shared_now(),
            rng: StdRng::seed_from_u64(self.rng.random()),
        };
        new_swim(self.local, self.config.member_names.len(), parts)
    }
}
