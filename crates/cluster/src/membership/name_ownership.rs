//! Resolution of conflicts between two processes under one name, by the address challenge.
//!
//! A coordinator that learns of a newer process under its name queries that process, at its address, whether it is
//! alive. If the newer process is alive, the coordinator yields the name until that process has ended; otherwise it
//! continues under a later generation. Therefore a clock that was set back does not keep a coordinator out of the
//! cluster.

use super::config::Output;
use super::timing::{CHALLENGE_INTERVAL, CHALLENGE_INTERVAL_REPLACED, MAX_CHALLENGE_QUERIES};
use super::Membership;
use crate::datagram::ClusterMessage;
use crate::identity::MemberId;
use cairnroad_types::Time;

/// A series of queries whether a newer process under this coordinator's name is alive.
#[derive(Clone, Copy)]
pub(super) struct AddressChallenge {
    pub(super) newer_process: MemberId,
    queries_sent: u32,
    next_query: Time,
}

impl AddressChallenge {
    /// Creates a challenge whose first query is sent at the given time.
    pub(super) fn new(newer_process: MemberId, first_query: Time) -> AddressChallenge {
        AddressChallenge {
            newer_process,
            queries_sent: 0,
            next_query: first_query,
        }
    }
}

/// Whether this coordinator holds its name.
pub(super) enum NameOwnership {
    /// No newer process is known.
    Held,
    /// Other members named a newer process, which is being queried whether it is alive.
    Challenged(AddressChallenge),
    /// A newer process is alive. This coordinator takes no part in the cluster and queries that process from time to
    /// time.
    Replaced(AddressChallenge),
}

impl NameOwnership {
    pub(super) fn is_held(&self) -> bool {
        matches!(self, NameOwnership::Held)
    }

    pub(super) fn is_replaced(&self) -> bool {
        matches!(self, NameOwnership::Replaced(_))
    }

    /// Returns the newer process that holds the name instead of this coordinator, if any.
    pub(super) fn replaced_by(&self) -> Option<MemberId> {
        match self {
            NameOwnership::Replaced(challenge) => Some(challenge.newer_process),
            NameOwnership::Held | NameOwnership::Challenged(_) => None,
        }
    }

    /// Returns whether a newer process has been queried and may still reply.
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
    /// Yields the name to a newer process that is alive. Until that process has ended, this coordinator knows no
    /// members and takes no part in the cluster.
    pub(super) fn yield_name(&mut self, newer_process: MemberId, out: &mut Vec<Output>) {
        if !self.name_ownership.is_replaced() {
            self.timers.clear();
            self.members.clear();
            self.peer_digests.clear();
            self.view_version.reset_digest(&self.local);
            self.view_version.advance();
            out.push(Output::MemberReplaced {
                earlier: self.local,
                later: newer_process,
            });
        }
        let next_query = self.clock.now() + CHALLENGE_INTERVAL_REPLACED;
        self.name_ownership =
            NameOwnership::Replaced(AddressChallenge::new(newer_process, next_query));
    }

    /// Sends the next query of a challenge if it is due. A newer process that answers none of the queries has ended.
    pub(super) fn advance_challenge(&mut self, out: &mut Vec<Output>) {
        let now = self.clock.now();
        let local = self.local;
        let Some(challenge) = self.name_ownership.challenge_mut() else {
            return;
        };
        if now < challenge.next_query {
            return;
        }
        let newer_process = challenge.newer_process;
        // No other process can use this process's address, so a newer process at that address has ended as well; its
        // clock was ahead.
        if challenge.queries_sent < MAX_CHALLENGE_QUERIES && newer_process.address != local.address
        {
            challenge.queries_sent += 1;
            challenge.next_query = now + CHALLENGE_INTERVAL;
            let query = ClusterMessage::IdentityQuery {
                from: local,
                subject: newer_process,
            };
            self.send(newer_process.address, &query, out);
            return;
        }
        self.name_ownership = NameOwnership::Held;
        let generation = newer_process.generation.max(local.generation) + 1;
        self.begin_generation(generation, out);
    }
}
