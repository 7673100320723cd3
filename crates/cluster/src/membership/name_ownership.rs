//! Which of two processes under one name holds it: the address challenge.
//!
//! A coordinator that hears of a newer process under its name asks that one, at its address, whether it is alive. If
//! so it yields the name until the other is gone; if not it goes on under a later generation. So a clock that jumped
//! back keeps no coordinator out.

use super::config::Output;
use super::timing::{CHALLENGE_INTERVAL, CHALLENGE_INTERVAL_REPLACED, MAX_CHALLENGES};
use super::Membership;
use crate::datagram::ClusterMessage;
use crate::identity::MemberId;
use cairnroad_types::Time;

/// Queries whether a newer process under this coordinator's name is alive.
#[derive(Clone, Copy)]
pub(super) struct AddressChallenge {
    pub(super) rival: MemberId,
    queries_sent: u32,
    next_query: Time,
}

impl AddressChallenge {
    /// A challenge whose first query goes out at this time.
    pub(super) fn new(rival: MemberId, first_query: Time) -> AddressChallenge {
        AddressChallenge {
            rival,
            queries_sent: 0,
            next_query: first_query,
        }
    }
}

/// Whether this coordinator holds its name.
pub(super) enum NameOwnership {
    /// No newer process is known.
    Held,
    /// A newer process was named; it is being asked whether it is alive.
    Challenged(AddressChallenge),
    /// A newer process is alive. This one stays silent and asks again from time to time.
    Replaced(AddressChallenge),
}

impl NameOwnership {
    pub(super) fn is_held(&self) -> bool {
        matches!(self, NameOwnership::Held)
    }

    pub(super) fn is_replaced(&self) -> bool {
        matches!(self, NameOwnership::Replaced(_))
    }

    /// The process that holds the name instead.
    pub(super) fn replaced_by(&self) -> Option<MemberId> {
        match self {
            NameOwnership::Replaced(challenge) => Some(challenge.rival),
            NameOwnership::Held | NameOwnership::Challenged(_) => None,
        }
    }

    /// Whether a rival has been asked and may answer.
    pub(super) fn awaits_answer(&self) -> bool {
        self.challenge()
            .is_some_and(|challenge| challenge.queries_sent > 0)
    }

    fn challenge(&self) -> Option<&AddressChallenge> {
        match self {
            NameOwnership::Held => None,
            NameOwnership::Challenged(challenge) | NameOwnership::Replaced(challenge) => {
                Some(challenge)
            }
        }
    }

    fn challenge_mut(&mut self) -> Option<&mut AddressChallenge> {
        match self {
            NameOwnership::Held => None,
            NameOwnership::Challenged(challenge) | NameOwnership::Replaced(challenge) => {
                Some(challenge)
            }
        }
    }
}

impl Membership {
    /// Yields the name to a live rival: this coordinator says nothing more of the cluster until that one is gone.
    pub(super) fn yield_name(&mut self, rival: MemberId, out: &mut Vec<Output>) {
        if !self.ownership.is_replaced() {
            self.timers.clear();
            self.members.clear();
            self.peer_digests.clear();
            self.version.reset_digest(&self.local);
            self.version.advance();
            out.push(Output::MemberReplaced {
                earlier: self.local,
                later: rival,
            });
        }
        let next_query = self.clock.now() + CHALLENGE_INTERVAL_REPLACED;
        self.ownership = NameOwnership::Replaced(AddressChallenge::new(rival, next_query));
    }

    /// Sends the next query of a challenge that is due. A rival that answers none of them has ended.
    pub(super) fn advance_challenge(&mut self, out: &mut Vec<Output>) {
        let now = self.clock.now();
        let local = self.local;
        let Some(challenge) = self.ownership.challenge_mut() else {
            return;
        };
        if now < challenge.next_query {
            return;
        }
        let rival = challenge.rival;
        // No other process can be at this one's own address, so a rival there has ended too: its clock ran ahead.
        if challenge.queries_sent < MAX_CHALLENGES && rival.address != local.address {
            challenge.queries_sent += 1;
            challenge.next_query = now + CHALLENGE_INTERVAL;
            let query = ClusterMessage::IdentityQuery {
                from: local,
                subject: rival,
            };
            self.send(rival.address, &query, out);
            return;
        }
        self.ownership = NameOwnership::Held;
        let generation = rival.generation.max(local.generation) + 1;
        self.begin_generation(generation, out);
    }
}
