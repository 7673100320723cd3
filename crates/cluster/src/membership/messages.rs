//! Handling of received datagrams and encoding of sent ones.

use super::config::Output;
use super::swim::SwimOutput;
use super::Membership;
use crate::datagram::{self, ClusterMessage};
use crate::datagram_error::DatagramError;
use crate::identity::NameHash;
use std::net::SocketAddr;

/// The version of the sender's view, as carried by a SWIM message.
struct PeerView {
    member: NameHash,
    epoch: u64,
    digest: u64,
}

impl Membership {
    pub(super) fn handle_datagram(
        &mut self,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), DatagramError> {
        match datagram::decode(&self.config.cluster_name, bytes)? {
            ClusterMessage::Swim {
                epoch,
                digest,
                from,
                bytes,
            } => {
                let peer_view = PeerView {
                    member: from,
                    epoch,
                    digest,
                };
                self.on_swim_message(&peer_view, &bytes, out)?;
            }
            ClusterMessage::Digests {
                from,
                digests,
                is_reply,
            } => self.on_digests(from, &digests, is_reply, out)?,
            ClusterMessage::GossipEntries(entries) => self.on_gossip_entries(&entries),
            ClusterMessage::IdentityQuery { from, subject } => {
                self.on_identity_query(from, subject.name, out);
            }
            ClusterMessage::IdentityReply {
                subject,
                from_subject,
            } => self.on_identity_reply(subject, from_subject, out),
        }
        Ok(())
    }

    fn on_swim_message(
        &mut self,
        peer_view: &PeerView,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), DatagramError> {
        if self.name_ownership.is_replaced() {
            return Ok(());
        }
        let mut swim_output = SwimOutput::default();
        let result = self.swim.handle_data(bytes, &mut swim_output);
        self.apply(swim_output, out);
        result.map_err(|error| self.datagram_error(&error))?;
        let is_live = self
            .members
            .get(&peer_view.member)
            .is_some_and(|member| member.state.is_live());
        if is_live {
            self.peer_digests.insert(peer_view.member, peer_view.digest);
            self.view_version
                .observe_peer(peer_view.epoch, peer_view.digest);
        }
        Ok(())
    }

    fn datagram_error(&self, error: &foca::Error) -> DatagramError {
        match error {
            foca::Error::DataFromOurselves | foca::Error::IndirectForOurselves => {
                DatagramError::Misdirected
            }
            _ if self.filter.borrow().is_full() => DatagramError::TooManyMembers,
            _ => DatagramError::Malformed,
        }
    }

    /// Sends a message. A message that is too large for a datagram is dropped.
    pub(super) fn send(&self, to: SocketAddr, message: &ClusterMessage, out: &mut Vec<Output>) {
        if let Some(bytes) = datagram::encode(&self.config.cluster_name, message) {
            out.push(Output::SendDatagram { to, bytes });
        }
    }
}
