//! What a datagram is made of: a head that is the same for all, and one of a few kinds of message. All fit in one
//! datagram that no network splits.
//!
//! | bytes | what |
//! | --- | --- |
//! | 2 | `c`, `r` |
//! | 1 | the version |
//! | 4 | a checksum of all that follows (CRC-32, least byte first) |
//! | 1 and so many | the length of the cluster's name, and the name |
//! | rest | the message, in the form of the library `postcard` |

use crate::errors::DatagramError;
use crate::gossip_state::GossipEntry;
use crate::model::{MemberId, NameHash};
use serde::{Deserialize, Serialize};

/// The largest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The version of this form.
pub const VERSION: u8 = 1;
/// What the library's own messages may take.
pub(crate) const MAX_SWIM_BYTES: usize = 1_200;
/// The longest name of a cluster, in bytes.
pub const MAX_CLUSTER_NAME_BYTES: usize = 64;
/// Sums of facts that an exchange compares.
pub(crate) const DIGEST_BUCKETS: usize = 32;

const MAGIC: [u8; 2] = *b"cr";
const HEADER_BYTES: usize = MAGIC.len() + 1 + 4;

/// A message between two coordinators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// One of the library's: who is there. With the sender's view, so that both learn whether they agree.
    Swim {
        /// The sender's epoch.
        epoch: u64,
        /// The digest of its view.
        digest: u64,
        /// The sender's name.
        from: NameHash,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Sums of the facts that the sender knows, by their writers' names.
    Digests {
        /// The sender.
        from: MemberId,
        /// The sums.
        digests: Box<[u64; DIGEST_BUCKETS]>,
        /// An answer is not wanted.
        is_reply: bool,
    },
    /// GossipState, whole.
    GossipEntries(Vec<GossipEntry>),
    /// Whoever bears this name at this address: is it alive?
    IdentityQuery {
        /// The one that asks.
        from: MemberId,
        /// The one that is meant.
        subject: MemberId,
    },
    /// It is, or was when it was last heard of.
    IdentityReply {
        /// The one that was meant.
        subject: MemberId,
        /// It says so itself.
        from_subject: bool,
    },
}

/// A datagram of this cluster with this message; `None` where it would be too large.
pub fn encode(cluster: &str, message: &Message) -> Option<Vec<u8>> {
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
    bytes.push(VERSION);
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Some(bytes)
}

/// The message of a datagram of this cluster.
pub fn decode(cluster: &str, bytes: &[u8]) -> Result<Message, DatagramError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::Malformed);
    }
    let rest = bytes.strip_prefix(&MAGIC).ok_or(DatagramError::Malformed)?;
    let (&version, rest) = rest.split_first().ok_or(DatagramError::Malformed)?;
    let (sum, body) = rest
        .split_first_chunk::<4>()
        .ok_or(DatagramError::Malformed)?;
    // A foreign version may count its checksum otherwise.
    if version != VERSION {
        return Err(DatagramError::ForeignVersion);
    }
    if crc32fast::hash(body) != u32::from_le_bytes(*sum) {
        return Err(DatagramError::Malformed);
    }
    let (&length, rest) = body.split_first().ok_or(DatagramError::Malformed)?;
    let name = rest
        .get(..usize::from(length))
        .ok_or(DatagramError::Malformed)?;
    if name != cluster.as_bytes() {
        return Err(DatagramError::ForeignCluster);
    }
    match postcard::take_from_bytes(&rest[name.len()..]) {
        Ok((message, [])) => Ok(message),
        _ => Err(DatagramError::Malformed),
    }
}

#[cfg(test)]
mod tests;
