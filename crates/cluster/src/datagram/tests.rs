use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn message() -> Message {
    let address = "127.0.0.1:4000".parse().unwrap();
    let id = MemberId {
        name: NameHash::of("n1"),
        generation: 1_790_000_000_000,
        rejoins: 2,
        address,
    };
    Message::Digests {
        from: id,
        digests: Box::new([7; DIGEST_BUCKETS]),
        is_reply: false,
    }
}

#[test]
fn a_datagram_is_opened_by_its_own_cluster_only() {
    let bytes = encode("sapporo", &message()).unwrap();
    assert_eq!(decode("sapporo", &bytes), Ok(message()));
    assert_eq!(decode("otaru", &bytes), Err(DatagramError::ForeignCluster));
    let mut later = bytes.clone();
    later[2] = VERSION + 1;
    assert_eq!(
        decode("sapporo", &later),
        Err(DatagramError::ForeignVersion)
    );
    assert_eq!(decode("sapporo", b""), Err(DatagramError::Malformed));
    assert_eq!(
        decode("sapporo", &[bytes.clone(), vec![0]].concat()),
        Err(DatagramError::Malformed),
        "a rest"
    );
    assert_eq!(
        decode("sapporo", &vec![b'c'; 5_000]),
        Err(DatagramError::Malformed)
    );
}

#[test]
fn what_would_be_split_is_not_sent() {
    let message = |length| Message::Swim {
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

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against a datagram that ends the program, and one that was damaged and passes.
    #[test]
    fn no_damage_passes(at in 0usize..300, with in 1u8..=255, cut in 0usize..300) {
        let bytes = encode("sapporo", &message()).unwrap();
        let mut damaged = bytes.clone();
        let at = at % damaged.len();
        damaged[at] ^= with;
        prop_assert!(decode("sapporo", &damaged).is_err());
        prop_assert!(decode("sapporo", &bytes[..cut.min(bytes.len() - 1)]).is_err());
    }

    #[test]
    fn noise_is_dropped(noise in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(decode("sapporo", &noise).is_err());
        let sealed = [b"cr\x01".to_vec(), crc32fast::hash(&noise).to_le_bytes().to_vec(), noise].concat();
        let _ = decode("sapporo", &sealed);
    }
}
