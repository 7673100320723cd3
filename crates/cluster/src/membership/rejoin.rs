//! Coming back: after a pause, after other members declared this coordinator failed, or under a later generation.

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

/// Recent rejoins: several in quick succession came to nothing.
pub(super) struct RejoinHistory {
    last: Time,
    futile: u32,
}

impl RejoinHistory {
    pub(super) fn new(now: Time) -> RejoinHistory {
        RejoinHistory {
            last: now,
            futile: 0,
        }
    }

    fn record(&mut self, now: Time) {
        let was_futile = now - self.last < FUTILE_REJOIN_WINDOW;
        self.futile = if was_futile { self.futile + 1 } else { 0 };
        self.last = now;
    }

    /// Whether too many rejoins in a row were futile; the count starts anew then.
    pub(super) fn take_futile_streak(&mut self) -> bool {
        let is_streak = self.futile >= MAX_FUTILE_REJOINS;
        if is_streak {
            self.futile = 0;
        }
        is_streak
    }
}

impl Membership {
    /// The process was stopped or starved: its clock leaves the gap out, and it trusts itself less.
    pub(super) fn on_pause(&mut self, gap: Seconds, out: &mut Vec<Output>) {
        self.clock.skip_pause(gap);
        self.health.record(HealthEvidence::Paused);
        out.push(Output::Paused(gap));
        let is_declared_failed = gap > declared_failed_after(self.config.member_names.len());
        if is_declared_failed && !self.ownership.is_replaced() {
            self.restart(self.local.renew(), out);
        }
    }

    /// The SWIM library renewed this coordinator's identity.
    pub(super) fn on_rejoined(&mut self, out: &mut Vec<Output>) {
        self.adopt_identity(*self.swim.identity());
        self.rejoins.record(self.clock.now());
        out.push(Output::Rejoined);
    }

    /// Goes on as if this process had started with that generation.
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
        self.version.toggle(&self.local);
        self.version.toggle(&identity);
        self.local = identity;
        self.filter.borrow_mut().local = identity;
        self.version.advance();
    }

    /// Starts anew with no live member known, and contacts those that were. Without an identity to go on under, the
    /// next generation begins.
    fn restart(&mut self, identity: Option<MemberId>, out: &mut Vec<Output>) {
        let identity = identity.unwrap_or(MemberId {
            generation: self.local.generation + 1,
            rejoins: 0,
            ..self.local
        });
        self.adopt_identity(identity);
        let known: Vec<MemberId> = self.live_members().map(|member| member.id).collect();
        self.swim = self.new_swim();
        self.forget_members(&known);
        out.push(Output::Rejoined);
        let mut swim_output = SwimOutput::default();
        for _ in 0..CONTACTS_PER_ATTEMPT.min(known.len()) {
            let contact = known[self.random.random_range(0..known.len())];
            // An announcement that can't be sent is one that was lost.
            let _ = self.swim.announce(contact, &mut swim_output);
        }
        self.apply(swim_output, out);
        self.schedule.seed_contact = self.clock.now();
        for value in self.published.clone().into_values() {
            self.publish_entry(value);
        }
    }

    fn forget_members(&mut self, known: &[MemberId]) {
        self.timers.clear();
        self.members.clear();
        self.peer_digests.clear();
        self.version.reset_digest(&self.local);
        self.last_incarnation = 0;
        self.awaits_confirmation = self.voters.len() > 1;
        let now = self.clock.now();
        let mut gossip = self.gossip.borrow_mut();
        for id in known {
            gossip.mark_absent(now, id.name);
        }
    }

    fn new_swim(&mut self) -> Swim {
        let parts = SwimParts {
            codec: FilteringCodec(self.filter.clone()),
            gossip: self.gossip.clone(),
            now: self.clock.shared(),
            random: StdRng::seed_from_u64(self.random.random()),
        };
        new_swim(self.local, self.config.member_names.len(), parts)
    }
}
