//! Encoding of datagrams: a common header followed by one message. Every message fits into one datagram that networks
//! don't fragment.
//!
//! | bytes | content |
//! | --- | --- |
//! | 2 | magic bytes `c`, `r` |
//! | 1 | protocol version |
//! | 4 | CRC-32 of everything that follows, little-endian |
//! | 1 + length | length of the cluster's name, then the name |
//! | rest | a [`ClusterMessage`], encoded by `postcard` |
//!
//! The encoding follows the order of enum variants and fields, so reordering them breaks compatibility.

use crate::datagram_error::DatagramError;
use crate::gossip_entry::GossipEntry;
use crate::gossip_state::Digests;
use crate::identity::{MemberId, NameHash};
use serde::{Deserialize, Serialize};

/// Maximum size of a datagram in bytes, small enough that networks don't fragment it.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Version of the datagram encoding. Datagrams of other versions are dropped.
pub const PROTOCOL_VERSION: u8 = 1;
/// Maximum size of a message of the SWIM library in bytes.
pub(crate) const MAX_SWIM_BYTES: usize = 1_200;
/// Maximum length of a cluster's name in bytes.
pub const MAX_CLUSTER_NAME_BYTES: usize = 64;

const MAGIC: [u8; 2] = *b"cr";
const VERSION_BYTES: usize = 1;
const CHECKSUM_BYTES: usize = 4;
const HEADER_BYTES: usize = MAGIC.len() + VERSION_BYTES + CHECKSUM_BYTES;

/// A message between two coordinators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClusterMessage {
    /// A message of the SWIM library, with the version of the sender's view for comparison with the receiver's.
    Swim {
        /// The epoch of the sender's view.
        epoch: u64,
        /// The digest of the sender's view.
        digest: u64,
        /// The hash of the sender's name.
        from: NameHash,
        /// The library's message, at most 1,200 bytes.
        bytes: Vec<u8>,
    },
    /// Anti-entropy: digests of the gossip entries that the sender knows.
    Digests {
        /// The sender, which has to be live in the receiver's view.
        from: MemberId,
        /// One digest per bucket of writers.
        digests: Box<Digests>,
        /// Whether this message answers another `Digests` message. Replies are not answered.
        is_reply: bool,
    },
    /// Gossip entries that the receiver lacks.
    GossipEntries(Vec<GossipEntry>),
    /// Asks whether the member of this name at this address is alive.
    IdentityQuery {
        /// The sender, to which the reply goes.
        from: MemberId,
        /// The member that the query is about; its name is [`NameHash::ANY`] if the query is about its receiver.
        subject: MemberId,
    },
    /// Answers [`ClusterMessage::IdentityQuery`].
    IdentityReply {
        /// The newest known process under the queried name.
        subject: MemberId,
        /// Whether the reply comes from the subject itself, which proves that it is alive.
        from_subject: bool,
    },
}

/// Encodes a message as a datagram of the given cluster. Returns `None` if the datagram would exceed
/// [`MAX_DATAGRAM_BYTES`].
pub fn encode(cluster_name: &str, message: &ClusterMessage) -> Option<Vec<u8>> {
    let name = cluster_name.as_bytes();
    let mut body = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    body.push(u8::try_from(name.len()).ok()?);
    body.extend_from_slice(name);
    let body = postcard::to_extend(message, body).ok()?;
    if HEADER_BYTES + body.len() > MAX_DATAGRAM_BYTES {
        return None;
    }
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.push(PROTOCOL_VERSION);
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Some(bytes)
}

/// Decodes a datagram and checks that it belongs to the given cluster.
pub fn decode(cluster_name: &str, bytes: &[u8]) -> Result<ClusterMessage, DatagramError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::Malformed);
    }
    let message = verified_message(cluster_name, bytes)?;
    match postcard::take_from_bytes(message) {
        Ok((message, [])) => Ok(message),
        _ => Err(DatagramError::Malformed),
    }
}

/// Checks header, checksum and cluster name, and returns the encoded message.
fn verified_message<'a>(cluster_name: &str, bytes: &'a [u8]) -> Result<&'a [u8], DatagramError> {
    let rest = bytes.strip_prefix(&MAGIC).ok_or(DatagramError::Malformed)?;
    let (&version, rest) = rest.split_first().ok_or(DatagramError::Malformed)?;
    let (checksum, body) = rest
        .split_first_chunk::<CHECKSUM_BYTES>()
        .ok_or(DatagramError::Malformed)?;
    // The version is checked first because another version may compute the checksum differently.
    if version != PROTOCOL_VERSION {
        return Err(DatagramError::ForeignVersion);
    }
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return Err(DatagramError::Malformed);
    }
    let (&name_length, rest) = body.split_first().ok_or(DatagramError::Malformed)?;
    let (name, message) = rest
        .split_at_checked(usize::from(name_length))
        .ok_or(DatagramError::Malformed)?;
    if name != cluster_name.as_bytes() {
        return Err(DatagramError::ForeignCluster);
    }
    Ok(message)
}

#[cfg(test)]
mod tests;
