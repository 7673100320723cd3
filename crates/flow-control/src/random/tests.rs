use super::*;

#[test]
fn numbers_match_the_published_generator() {
    // The first outputs of splitmix64 for this seed, as published with its reference implementation.
    let published: [u64; 5] = [
        6_457_827_717_110_365_317,
        3_203_168_211_198_807_973,
        9_817_491_932_198_370_423,
        4_593_380_528_125_082_431,
        16_408_922_859_458_223_821,
    ];
    let mut random = Random::new(1_234_567);
    for output in published {
        let expected = (output >> 11) as f64 / 2f64.powi(53);
        assert_eq!(random.next_f64(), expected);
    }
}
