//! Handling of the SWIM library's output: timers, messages and state changes of members.

use super::config::Output;
use super::swim::{SwimEvent, SwimMessage, SwimOutput, TimerRequest};
use super::timing::ANTI_ENTROPY_DELAY_AFTER_JOIN;
use super::Membership;
use crate::datagram::ClusterMessage;
use crate::identity::MemberId;
use crate::view::{Member, MemberState};
use foca::Timer;

impl Membership {
    /// Carries out the requests and handles the events of one call of the library.
    pub(super) fn apply(&mut self, swim_output: SwimOutput, out: &mut Vec<Output>) {
        for request in swim_output.timers {
            self.schedule_timer(request);
        }
        for event in swim_output.events {
            self.on_swim_event(event, out);
        }
        for message in swim_output.sends {
            self.send_swim(message, out);
        }
    }

    /// Sets a timer. Poor local health extends only the timers that lead to declaring other members failed.
    fn schedule_timer(&mut self, request: TimerRequest) {
        let multiplier = match request.timer {
            Timer::SendIndirectProbe { .. }
            | Timer::ProbeRandomMember(_)
            | Timer::ChangeSuspectToDown { .. } => self.health.timeout_multiplier(),
            _ => 1,
        };
        let delay = request.after.as_secs_f64() * f64::from(multiplier);
        self.timers
            .schedule(self.clock.now() + delay, request.timer);
    }

    fn send_swim(&mut self, message: SwimMessage, out: &mut Vec<Output>) {
        let datagram = ClusterMessage::Swim {
            epoch: self.view_version.epoch(),
            digest: self.view_version.digest(),
            from: self.local.name,
            bytes: message.bytes,
        };
        self.send(message.to.address, &datagram, out);
    }

    fn on_swim_event(&mut self, event: SwimEvent, out: &mut Vec<Output>) {
        match event {
            SwimEvent::MemberUp(id) => self.set_member_state(id, MemberState::Alive, out),
            SwimEvent::MemberDown(id) => {
                let has_left = self.gossip.borrow().has_left(id.name, id.generation);
                let state = if has_left {
                    MemberState::Left
                } else {
                    MemberState::Failed
                };
                self.set_member_state(id, state, out);
            }
            SwimEvent::IdentityChanged { earlier, later } => {
                self.on_identity_changed(earlier, later, out);
            }
            SwimEvent::Active => {
                self.awaits_confirmation = false;
                self.schedule.anti_entropy = self.clock.now() + ANTI_ENTROPY_DELAY_AFTER_JOIN;
            }
            SwimEvent::Idle => self.schedule.seed_contact = self.clock.now(),
            SwimEvent::Rejoined => self.on_rejoined(out),
            SwimEvent::Defunct if self.has_left => {}
            // The library can't renew the identity if its number of rejoins has reached the maximum.
            SwimEvent::Defunct => self.begin_generation(self.local.generation + 1, out),
            SwimEvent::ProbeFailed => self.query_reachability(out),
        }
    }

    fn on_identity_changed(&mut self, earlier: MemberId, later: MemberId, out: &mut Vec<Output>) {
        if let Some(member) = self.members.get_mut(&later.name) {
            if member.state.is_live() {
                // The library sends no further event when a live member continues under a new identity.
                self.view_version.toggle(&member.id);
                self.view_version.toggle(&later);
                self.view_version.advance();
            }
            member.id = later;
        }
        if later.is_another_process(&earlier) {
            out.push(Output::MemberReplaced { earlier, later });
        }
    }

    fn set_member_state(&mut self, id: MemberId, state: MemberState, out: &mut Vec<Output>) {
        if id.name == self.local.name {
            return;
        }
        let now = self.clock.now();
        let member = Member {
            id,
            state,
            since: now,
            incarnation: 0,
        };
        let earlier = self.members.insert(id.name, member);
        if let Some(earlier) = earlier.filter(|earlier| earlier.state.is_live()) {
            self.view_version.toggle(&earlier.id);
        }
        if state.is_live() {
            self.view_version.toggle(&id);
            self.gossip.borrow_mut().mark_present(id.name);
        } else {
            self.gossip.borrow_mut().mark_absent(now, id.name);
            self.peer_digests.remove(&id.name);
        }
        self.view_version.advance();
        let name = self.gossip.borrow().name(id.name);
        out.push(Output::MemberChanged { id, name, state });
    }

    /// Scans members for changes that the library does not report, and removes expired gossip entries.
    pub(super) fn scan_members(&mut self, out: &mut Vec<Output>) {
        self.detect_suspicions(out);
        self.detect_late_departures(out);
        self.gossip.borrow_mut().remove_expired(self.clock.now());
    }

    /// Detects suspicions and their refutations, neither of which the library reports.
    fn detect_suspicions(&mut self, out: &mut Vec<Output>) {
        let now = self.clock.now();
        let gossip = self.gossip.borrow();
        for observed in self.swim.iter_members() {
            let Some(member) = self.members.get_mut(&observed.id().name) else {
                continue;
            };
            member.incarnation = observed.incarnation();
            let state = match observed.state() {
                foca::State::Suspect => MemberState::Suspected,
                _ => MemberState::Alive,
            };
            if member.state.is_live() && member.state != state {
                member.state = state;
                member.since = now;
                out.push(Output::MemberChanged {
                    id: member.id,
                    name: gossip.name(member.id.name),
                    state,
                });
            }
        }
    }

    /// Detects announcements of departure that arrived after the member had been declared failed.
    fn detect_late_departures(&mut self, out: &mut Vec<Output>) {
        let gossip = self.gossip.borrow();
        for member in self.members.values_mut() {
            let is_failed = member.state == MemberState::Failed;
            if is_failed && gossip.has_left(member.id.name, member.id.generation) {
                member.state = MemberState::Left;
                out.push(Output::MemberChanged {
                    id: member.id,
                    name: gossip.name(member.id.name),
                    state: MemberState::Left,
                });
            }
        }
    }

    /// Returns the members that count as live, except this coordinator.
    pub(super) fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.state.is_live())
    }

    /// Returns whether exactly this process is known as live.
    pub(super) fn is_live(&self, id: &MemberId) -> bool {
        self.members
            .get(&id.name)
            .is_some_and(|member| member.id == *id && member.state.is_live())
    }
}
