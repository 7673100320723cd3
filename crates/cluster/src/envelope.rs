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

use crate::errors::Dropped;
use crate::facts::Fact;
use crate::model::{Id, Name};
use serde::{Deserialize, Serialize};

/// The largest datagram.
pub const MOST_BYTES: usize = 1_400;
/// The version of this form.
pub const VERSION: u8 = 1;
/// What the library's own messages may take.
pub(crate) const MOST_SWIM: usize = 1_200;
/// The longest name of a cluster, in bytes.
pub const MOST_CLUSTER: usize = 64;
/// Sums of facts that an exchange compares.
pub(crate) const BUCKETS: usize = 32;

const MAGIC: [u8; 2] = *b"cr";
const HEAD: usize = MAGIC.len() + 1 + 4;

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
        from: Name,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Sums of the facts that the sender knows, by their writers' names.
    Sums {
        /// The sender.
        from: Id,
        /// The sums.
        sums: Box<[u64; BUCKETS]>,
        /// An answer is not wanted.
        last: bool,
    },
    /// Facts, whole.
    Facts(Vec<Fact>),
    /// Whoever bears this name at this address: is it alive?
    Who {
        /// The one that asks.
        from: Id,
        /// The one that is meant.
        whom: Id,
    },
    /// It is, or was when it was last heard of.
    Here {
        /// The one that was meant.
        whom: Id,
        /// It says so itself.
        itself: bool,
    },
}

/// A datagram of this cluster with this message; `None` where it would be too large.
pub fn seal(cluster: &str, message: &Message) -> Option<Vec<u8>> {
    let name = cluster.as_bytes();
    let mut body = Vec::with_capacity(MOST_BYTES);
    body.push(u8::try_from(name.len()).ok()?);
    body.extend_from_slice(name);
    let body = postcard::to_extend(message, body).ok()?;
    if HEAD + body.len() > MOST_BYTES {
        return None;
    }
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.push(VERSION);
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Some(bytes)
}

/// The message of a datagram of this cluster.
pub fn open(cluster: &str, bytes: &[u8]) -> Result<Message, Dropped> {
    if bytes.len() > MOST_BYTES {
        return Err(Dropped::Garbage);
    }
    let rest = bytes.strip_prefix(&MAGIC).ok_or(Dropped::Garbage)?;
    let (&version, rest) = rest.split_first().ok_or(Dropped::Garbage)?;
    let (sum, body) = rest.split_first_chunk::<4>().ok_or(Dropped::Garbage)?;
    // A foreign version may count its checksum otherwise.
    if version != VERSION {
        return Err(Dropped::Version);
    }
    if crc32fast::hash(body) != u32::from_le_bytes(*sum) {
        return Err(Dropped::Garbage);
    }
    let (&length, rest) = body.split_first().ok_or(Dropped::Garbage)?;
    let name = rest.get(..usize::from(length)).ok_or(Dropped::Garbage)?;
    if name != cluster.as_bytes() {
        return Err(Dropped::Cluster);
    }
    match postcard::take_from_bytes(&rest[name.len()..]) {
        Ok((message, [])) => Ok(message),
        _ => Err(Dropped::Garbage),
    }
}

#[cfg(test)]
mod tests;
