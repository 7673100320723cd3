use super::*;
use crate::gossip_entry::{GossipValue, MemberDescription, MemberPhase};
use crate::gossip_state::DIGEST_BUCKETS;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn message() -> ClusterMessage {
    ClusterMessage::Digests {
        from: sample_id(),
        digests: Box::new([7; DIGEST_BUCKETS]),
        is_reply: false,
    }
}

#[test]
fn datagrams_are_decoded_by_their_own_cluster_only() {
    let bytes = encode("sapporo", &message()).unwrap();
    assert_eq!(decode("sapporo", &bytes), Ok(message()));
    assert_eq!(decode("otaru", &bytes), Err(DatagramError::ForeignCluster));
    let mut newer_version = bytes.clone();
    newer_version[2] = PROTOCOL_VERSION + 1;
    assert_eq!(
        decode("sapporo", &newer_version),
        Err(DatagramError::ForeignVersion)
    );
    assert_eq!(decode("sapporo", b""), Err(DatagramError::Malformed));
    assert_eq!(
        decode("sapporo", &[bytes.clone(), vec![0]].concat()),
        Err(DatagramError::Malformed),
        "trailing bytes"
    );
    assert_eq!(
        decode("sapporo", &vec![b'c'; 5_000]),
        Err(DatagramError::Malformed)
    );
}

#[test]
fn messages_too_large_for_one_datagram_are_not_encoded() {
    let message = |length| ClusterMessage::Swim {
        epoch: 1,
        digest: 2,
        from: NameHash(3),
        bytes: vec![0; length],
    };
    let longest = "x".repeat(MAX_CLUSTER_NAME_BYTES);
    assert!(encode(&longest, &message(MAX_SWIM_BYTES))
        .is_some_and(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES));
    assert_eq!(encode(&longest, &message(MAX_DATAGRAM_BYTES)), None);
}

fn sample_id() -> MemberId {
    MemberId {
        name: NameHash::of("n1"),
        generation: 1_790_000_000_000,
        rejoins: 2,
        address: "127.0.0.1:4000".parse().unwrap(),
    }
}

/// Returns an entry of each kind and, for the phase, one of each value.
fn sample_entries() -> Vec<GossipEntry> {
    let description = MemberDescription {
        name: "n1".into(),
        room: "kita".into(),
        offers: vec!["reports".into()],
    };
    let values = [
        GossipValue::Description(description),
        GossipValue::Phase(MemberPhase::Starting),
        GossipValue::Phase(MemberPhase::Serving),
        GossipValue::Phase(MemberPhase::Draining),
        GossipValue::Phase(MemberPhase::Stopping),
        GossipValue::Outliers(vec!["s-1".into(), "s-2".into()]),
        GossipValue::Departure {
            at_ms: 1_790_000_000_001,
        },
    ];
    let versions = 1..;
    values
        .into_iter()
        .zip(versions)
        .map(|(value, version)| GossipEntry {
            writer: sample_id().name,
            generation: sample_id().generation,
            version,
            value,
        })
        .collect()
}

fn assert_bytes(message: &ClusterMessage, expected: &str) {
    let bytes = encode("sapporo", message).unwrap();
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, expected, "{message:?}");
}

/// Guards against renamed or reordered fields and variants that change the encoding of a message.
#[test]
fn membership_messages_keep_their_bytes() {
    let id = sample_id();
    let anyone = MemberId {
        name: NameHash::ANY,
        ..id
    };
    assert_bytes(
        &ClusterMessage::Swim {
            epoch: 300,
            digest: 2,
            from: NameHash(3),
            bytes: vec![1, 2, 3],
        },
        "637201b152b4b007736170706f726f00ac02020303010203",
    );
    assert_bytes(
        &ClusterMessage::IdentityQuery {
            from: id,
            subject: anyone,
        },
        "6372017169edc907736170706f726f0394b7d2a5ddcde899d70180d8c1a28c3402007f000001a01f\
         0080d8c1a28c3402007f000001a01f",
    );
    assert_bytes(
        &ClusterMessage::IdentityReply {
            subject: id,
            from_subject: true,
        },
        "637201a2844d1f07736170706f726f0494b7d2a5ddcde899d70180d8c1a28c3402007f000001a01f01",
    );
}

/// Guards against the same changes in gossip messages.
#[test]
fn gossip_messages_keep_their_bytes() {
    assert_bytes(
        &ClusterMessage::Digests {
            from: sample_id(),
            digests: Box::new([7; DIGEST_BUCKETS]),
            is_reply: true,
        },
        "6372017f670bbc07736170706f726f0194b7d2a5ddcde899d70180d8c1a28c3402007f000001a01f\
         070707070707070707070707070707070707070707070707070707070707070701",
    );
    assert_bytes(
        &ClusterMessage::GossipEntries(sample_entries()),
        "6372017ed1836b07736170706f726f020794b7d2a5ddcde899d70180d8c1a28c340100026e31046b\
         69746101077265706f72747394b7d2a5ddcde899d70180d8c1a28c3402010094b7d2a5ddcde899d7\
         0180d8c1a28c3403010194b7d2a5ddcde899d70180d8c1a28c3404010294b7d2a5ddcde899d70180\
         d8c1a28c3405010394b7d2a5ddcde899d70180d8c1a28c3406020203732d3103732d3294b7d2a5dd\
         cde899d70180d8c1a28c34070381d8c1a28c34",
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against damaged or truncated datagrams that are accepted or make the decoder panic.
    #[test]
    fn damaged_datagrams_are_rejected(position in 0usize..300, flipped_bits in 1u8..=255, length in 0usize..300) {
        let bytes = encode("sapporo", &message()).unwrap();
        let mut damaged = bytes.clone();
        let position = position % damaged.len();
        damaged[position] ^= flipped_bits;
        prop_assert!(decode("sapporo", &damaged).is_err());
        prop_assert!(decode("sapporo", &bytes[..length.min(bytes.len() - 1)]).is_err());
    }

    #[test]
    fn random_bytes_are_rejected(noise in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(decode("sapporo", &noise).is_err());
        let framed = [b"cr\x01".to_vec(), crc32fast::hash(&noise).to_le_bytes().to_vec(), noise].concat();
        let _ = decode("sapporo", &framed);
    }
}
