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
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn message() -> Message {
        let address = "127.0.0.1:4000".parse().unwrap();
        let id = Id { name: Name::of("n1"), generation: 1_790_000_000_000, returns: 2, address };
        Message::Sums { from: id, sums: Box::new([7; BUCKETS]), last: false }
    }

    #[test]
    fn a_datagram_is_opened_by_its_own_cluster_only() {
        let bytes = seal("sapporo", &message()).unwrap();
        assert_eq!(open("sapporo", &bytes), Ok(message()));
        assert_eq!(open("otaru", &bytes), Err(Dropped::Cluster));
        let mut later = bytes.clone();
        later[2] = VERSION + 1;
        assert_eq!(open("sapporo", &later), Err(Dropped::Version));
        assert_eq!(open("sapporo", b""), Err(Dropped::Garbage));
        assert_eq!(open("sapporo", &[bytes.clone(), vec![0]].concat()), Err(Dropped::Garbage), "a rest");
        assert_eq!(open("sapporo", &vec![b'c'; 5_000]), Err(Dropped::Garbage));
    }

    #[test]
    fn what_would_be_split_is_not_sent() {
        let message = |length| Message::Swim { epoch: 1, digest: 2, from: Name(3), bytes: vec![0; length] };
        let longest = "x".repeat(MOST_CLUSTER);
        assert!(seal(&longest, &message(MOST_SWIM)).is_some_and(|bytes| bytes.len() <= MOST_BYTES));
        assert_eq!(seal(&longest, &message(MOST_BYTES)), None);
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

        /// Guards against a datagram that ends the program, and one that was damaged and passes.
        #[test]
        fn no_damage_passes(at in 0usize..300, with in 1u8..=255, cut in 0usize..300) {
            let bytes = seal("sapporo", &message()).unwrap();
            let mut damaged = bytes.clone();
            let at = at % damaged.len();
            damaged[at] ^= with;
            prop_assert!(open("sapporo", &damaged).is_err());
            prop_assert!(open("sapporo", &bytes[..cut.min(bytes.len() - 1)]).is_err());
        }

        #[test]
        fn noise_is_dropped(noise in proptest::collection::vec(any::<u8>(), 0..200)) {
            prop_assert!(open("sapporo", &noise).is_err());
            let sealed = [b"cr\x01".to_vec(), crc32fast::hash(&noise).to_le_bytes().to_vec(), noise].concat();
            let _ = open("sapporo", &sealed);
        }
    }
}
