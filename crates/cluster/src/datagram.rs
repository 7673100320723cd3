//! The form of a datagram: a common header and one of a few messages. Each fits into one datagram that no network
//! fragments.
//!
//! | bytes | content |
//! | --- | --- |
//! | 2 | `c`, `r` |
//! | 1 | the version |
//! | 4 | CRC-32 of all that follows, least byte first |
//! | 1 and as many as it says | length of the cluster's name, and the name |
//! | rest | a [`ClusterMessage`] as `postcard` encodes it |
//!
//! The order of enum variants and of fields is that of the bytes.

use crate::datagram_error::DatagramError;
use crate::gossip_entry::GossipEntry;
use crate::gossip_state::Digests;
use crate::identity::{MemberId, NameHash};
use serde::{Deserialize, Serialize};

/// Largest datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Version of this form.
pub const PROTOCOL_VERSION: u8 = 1;
/// Largest message of the SWIM library in bytes.
pub(crate) const MAX_SWIM_BYTES: usize = 1_200;
/// Longest name of a cluster in bytes.
pub const MAX_CLUSTER_NAME_BYTES: usize = 64;

const MAGIC: [u8; 2] = *b"cr";
const VERSION_BYTES: usize = 1;
const CHECKSUM_BYTES: usize = 4;
const HEADER_BYTES: usize = MAGIC.len() + VERSION_BYTES + CHECKSUM_BYTES;

/// A message between two coordinators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClusterMessage {
    /// A message of the SWIM library, with the sender's view so that both learn whether they agree.
    Swim {
        /// The epoch of the sender's view.
        epoch: u64,
        /// The digest of the sender's view.
        digest: u64,
        /// The hash of the sender's name.
        from: NameHash,
        /// The library's message.
        bytes: Vec<u8>,
    },
    /// Anti-entropy: digests of the gossip entries that the sender knows.
    Digests {
        /// The sender.
        from: MemberId,
        /// One digest a bucket of writers.
        digests: Box<Digests>,
        /// Whether this answers a `Digests` message; a reply is not answered in turn.
        is_reply: bool,
    },
    /// Gossip entries that the receiver lacks.
    GossipEntries(Vec<GossipEntry>),
    /// Asks whether the member of this name at this address is alive.
    IdentityQuery {
        /// The sender.
        from: MemberId,
        /// The member asked about; [`NameHash::ANY`] for whoever receives the query.
        subject: MemberId,
    },
    /// Answers [`ClusterMessage::IdentityQuery`].
    IdentityReply {
        /// The newest process known under the name that was asked about.
        subject: MemberId,
        /// Whether the subject itself answers, so that it is alive.
        from_subject: bool,
    },
}

/// Encodes a message as a datagram of a cluster. `None` if it would be too large.
pub fn encode(cluster: &str, message: &ClusterMessage) -> Option<Vec<u8>> {
    let name = cluster.as_bytes();
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

/// Decodes a datagram of a cluster.
pub fn decode(cluster: &str, bytes: &[u8]) -> Result<ClusterMessage, DatagramError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::Malformed);
    }
    let message = checked_message(cluster, bytes)?;
    match postcard::take_from_bytes(message) {
        Ok((message, [])) => Ok(message),
        _ => Err(DatagramError::Malformed),
    }
}

/// The bytes of the message, once header, checksum and cluster are checked.
fn checked_message<'a>(cluster: &str, bytes: &'a [u8]) -> Result<&'a [u8], DatagramError> {
    let rest = bytes.strip_prefix(&MAGIC).ok_or(DatagramError::Malformed)?;
    let (&version, rest) = rest.split_first().ok_or(DatagramError::Malformed)?;
    let (checksum, body) = rest
        .split_first_chunk::<CHECKSUM_BYTES>()
        .ok_or(DatagramError::Malformed)?;
    // Checked before the checksum, which another version may compute differently.
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
    if name != cluster.as_bytes() {
        return Err(DatagramError::ForeignCluster);
    }
    Ok(message)
}

#[cfg(test)]
mod tests;
