//! Hashes on which all limiters agree.

use std::hash::Hasher;

use fnv::FnvHasher;

use crate::event::Endpoint;

/// Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio.
const FIBONACCI_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Low bits of a rank's hash that are not compared.
const DROPPED_LOW_BITS: u32 = 8;

/// Spreads a number evenly over the high bits of the result.
pub(crate) fn fibonacci_hash(value: u64) -> u64 {
    value.wrapping_mul(FIBONACCI_MULTIPLIER)
}

/// Hash of one start of a server.
pub(crate) fn endpoint_hash(endpoint: &Endpoint) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(endpoint.server.as_bytes());
    hasher.write(&endpoint.started_at.to_bits().to_be_bytes());
    hasher.finish()
}

/// Rank of a limiter among all by a hash of their positions under a key (rendezvous hashing). Every limiter
/// finds the same ranks, also after a restart.
pub(crate) fn rendezvous_rank(key: u64, position: u32, limiters: u32) -> usize {
    let sort_key = |position: u32| {
        let mut hasher = FnvHasher::with_key(key);
        hasher.write(&position.to_be_bytes());
        // FNV mixes the bytes written last into the low bits alone; the multiplication moves them up.
        (fibonacci_hash(hasher.finish()) >> DROPPED_LOW_BITS, position)
    };
    let own = sort_key(position);
    (0..limiters).filter(|other| sort_key(*other) < own).count()
}
