//! Seeded pseudo-random number generator.

/// Increment of the generator's state: 2^64 divided by the golden ratio (Steele, Lea and Flood 2014).
const STATE_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
/// Bits of a random number that a float's significand can hold exactly.
const SIGNIFICAND_BITS: u32 = 53;

/// A splitmix64 generator. It is the router's only source of randomness, so equal seeds give equal decisions.
///
/// The generator is implemented here because recorded decisions depend on its numbers, which a new version of
/// a dependency could change.
#[derive(Default)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator whose numbers are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Random { state: seed }
    }

    /// Returns the next number, from 0 (inclusive) to 1 (exclusive).
    pub fn next_f64(&mut self) -> f64 {
        self.state = self.state.wrapping_add(STATE_INCREMENT);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        (mixed >> (u64::BITS - SIGNIFICAND_BITS)) as f64 / (1u64 << SIGNIFICAND_BITS) as f64
    }
}

#[cfg(test)]
mod tests;
