//! Epoch and digest of this coordinator's view of the cluster.

use crate::identity::MemberId;

/// Identifies a view: the digest says what is seen, the epoch orders views.
pub(super) struct ViewVersion {
    epoch: u64,
    digest: u64,
    /// The highest epoch that a live member sent.
    highest_peer_epoch: u64,
}

impl ViewVersion {
    /// The first version, of a coordinator that sees itself alone.
    pub(super) fn new(local: &MemberId) -> ViewVersion {
        ViewVersion {
            epoch: 1,
            digest: local.digest(),
            highest_peer_epoch: 0,
        }
    }

    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Moves on to an epoch that is higher than any known one.
    pub(super) fn advance(&mut self) {
        self.epoch = self.epoch.max(self.highest_peer_epoch) + 1;
    }

    /// Adds a live member to the digest, or takes it out.
    pub(super) fn toggle(&mut self, member: &MemberId) {
        self.digest ^= member.digest();
    }

    /// Sets the digest to that of a coordinator that sees itself alone.
    pub(super) fn reset_digest(&mut self, local: &MemberId) {
        self.digest = local.digest();
    }

    /// Takes in the epoch and digest of a live member. Equal views end up under one epoch.
    pub(super) fn observe_peer(&mut self, epoch: u64, digest: u64) {
        self.highest_peer_epoch = self.highest_peer_epoch.max(epoch);
        if digest == self.digest {
            self.epoch = self.epoch.max(epoch);
        }
    }
}
