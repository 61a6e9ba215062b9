//! Random numbers from a seed, with which decisions can be reproduced.

use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A random number generator with a known seed.
#[derive(Clone, Debug)]
pub struct RandomSource {
    generator: Pcg64Mcg,
}

impl RandomSource {
    /// Returns a source that always yields the same numbers for the same `seed`.
    pub fn from_seed(seed: u64) -> Self {
        Self { generator: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// Returns a number in `0..limit`.
    ///
    /// # Panics
    ///
    /// Panics if `limit` is zero.
    pub fn below(&mut self, limit: usize) -> usize {
        self.generator.random_range(0..limit)
    }

    /// Returns a number in `0.0..1.0`.
    pub fn unit(&mut self) -> f64 {
        self.generator.random()
    }

    /// Returns a random 64-bit number.
    pub fn next_u64(&mut self) -> u64 {
        self.generator.next_u64()
    }

    /// Returns true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Returns a number from an exponential distribution with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}
