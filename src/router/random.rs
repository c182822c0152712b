//! Seeded random numbers, and the mixing function that placement uses as a hash.

/// Increment of the SplitMix64 generator.
const SPLIT_MIX_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// A SplitMix64 generator. The same seed gives the same sequence.
#[derive(Debug)]
pub(super) struct Random {
    state: u64,
}

impl Random {
    pub(super) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    pub(super) fn next(&mut self) -> u64 {
        self.state = mix(self.state.wrapping_add(SPLIT_MIX_INCREMENT));
        self.state
    }

    /// Returns a uniform random number in `0.0..1.0`.
    pub(super) fn next_unit(&mut self) -> f64 {
        unit_interval(self.next())
    }
}

/// Finalizer of SplitMix64.
pub(super) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Maps the upper 53 bits of a number to `0.0..1.0`.
pub(super) fn unit_interval(x: u64) -> f64 {
    (x >> 11) as f64 / (1_u64 << 53) as f64
}
