//! Epoch and digest of this coordinator's view of the cluster.

use crate::identity::MemberId;

/// Version of a view. The digest identifies the live members, the epoch orders views in time.
pub(super) struct ViewVersion {
    epoch: u64,
    digest: u64,
    /// The highest epoch that a live member has sent.
    highest_peer_epoch: u64,
}

impl ViewVersion {
    /// Returns the first version, that of a coordinator that sees only itself.
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

    /// Increases the epoch above all known ones.
    pub(super) fn advance(&mut self) {
        self.epoch = self.epoch.max(self.highest_peer_epoch) + 1;
    }

    /// Adds a live member to the digest, or removes it if it is included.
    pub(super) fn toggle(&mut self, member: &MemberId) {
        self.digest ^= member.digest();
    }

    /// Resets the digest to that of a coordinator that sees only itself.
    pub(super) fn reset_digest(&mut self, local: &MemberId) {
        self.digest = local.digest();
    }

    /// Takes the epoch and digest of a live member into account. Equal views adopt the highest epoch among them.
    pub(super) fn observe_peer(&mut self, epoch: u64, digest: u64) {
        self.highest_peer_epoch = self.highest_peer_epoch.max(epoch);
        if digest == self.digest {
            self.epoch = self.epoch.max(epoch);
        }
    }
}
