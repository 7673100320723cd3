//! Publication of this coordinator's gossip entries, and reconciliation of all entries with other members by digests.

use super::config::Output;
use super::timing::{
    ANTI_ENTROPY_INTERVAL, ANTI_ENTROPY_JITTER, ENTRIES_PER_DATAGRAM, MAX_DATAGRAMS_PER_REPLY,
};
use super::Membership;
use crate::datagram::ClusterMessage;
use crate::datagram_error::DatagramError;
use crate::gossip_entry::{GossipEntry, GossipValue};
use crate::gossip_state::Digests;
use crate::identity::MemberId;
use rand::RngExt;
use std::net::SocketAddr;

impl Membership {
    /// Publishes a value without advancing the clock and without checking whether this coordinator has left.
    pub(super) fn publish_entry(&mut self, value: GossipValue) {
        self.last_entry_version += 1;
        self.published_values.insert(value.kind(), value.clone());
        let entry = GossipEntry {
            writer: self.local.name,
            generation: self.local.generation,
            version: self.last_entry_version,
            value,
        };
        self.gossip.borrow_mut().mark_present(self.local.name);
        self.broadcast(&entry);
    }

    fn broadcast(&mut self, entry: &GossipEntry) {
        if let Ok(bytes) = postcard::to_allocvec(entry) {
            // The library refuses entries that are not new to this coordinator; they need not be passed on.
            let _ = self.swim.add_broadcast(&bytes);
        }
    }

    /// Starts a comparison of digests with a random live member, and schedules the next one.
    pub(super) fn start_anti_entropy(&mut self, out: &mut Vec<Output>) {
        let spread = ANTI_ENTROPY_JITTER.end - ANTI_ENTROPY_JITTER.start;
        let jitter = ANTI_ENTROPY_JITTER.start + spread * self.rng.random::<f64>();
        self.schedule.anti_entropy = self.clock.now() + ANTI_ENTROPY_INTERVAL * jitter;
        let live: Vec<SocketAddr> = self
            .live_members()
            .map(|member| member.id.address)
            .collect();
        if live.is_empty() {
            return;
        }
        let to = live[self.rng.random_range(0..live.len())];
        self.send_digests(to, false, out);
    }

    /// Sends a member the entries of differing buckets. Unless the digests are a reply, also sends this coordinator's
    /// digests in return.
    pub(super) fn on_digests(
        &self,
        sender: MemberId,
        digests: &Digests,
        is_reply: bool,
        out: &mut Vec<Output>,
    ) -> Result<(), DatagramError> {
        if !self.is_live(&sender) {
            return Err(DatagramError::Misdirected);
        }
        let entries = self.gossip.borrow().entries_differing_from(digests);
        for chunk in entries
            .chunks(ENTRIES_PER_DATAGRAM)
            .take(MAX_DATAGRAMS_PER_REPLY)
        {
            self.send(
                sender.address,
                &ClusterMessage::GossipEntries(chunk.to_vec()),
                out,
            );
        }
        if !is_reply {
            self.send_digests(sender.address, true, out);
        }
        Ok(())
    }

    /// Merges entries. New ones are broadcast like this coordinator's own, because other members may have missed them
    /// too.
    pub(super) fn on_gossip_entries(&mut self, entries: &[GossipEntry]) {
        for entry in entries {
            self.broadcast(entry);
        }
    }

    fn send_digests(&self, to: SocketAddr, is_reply: bool, out: &mut Vec<Output>) {
        let digests = Box::new(self.gossip.borrow().digests());
        let message = ClusterMessage::Digests {
            from: self.local,
            digests,
            is_reply,
        };
        self.send(to, &message, out);
    }
}
