use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn message() -> Message {
    let address = "127.0.0.1:4000".parse().unwrap();
    let id = Id {
        name: Name::of("n1"),
        generation: 1_790_000_000_000,
        returns: 2,
        address,
    };
    Message::Sums {
        from: id,
        sums: Box::new([7; BUCKETS]),
        last: false,
    }
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
    assert_eq!(
        open("sapporo", &[bytes.clone(), vec![0]].concat()),
        Err(Dropped::Garbage),
        "a rest"
    );
    assert_eq!(open("sapporo", &vec![b'c'; 5_000]), Err(Dropped::Garbage));
}

#[test]
fn what_would_be_split_is_not_sent() {
    let message = |length| Message::Swim {
        epoch: 1,
        digest: 2,
        from: Name(3),
        bytes: vec![0; length],
    };
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
