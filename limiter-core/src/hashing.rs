//! Hash functions on whose results all limiters agree, without any exchange and also after a restart.

use std::hash::Hasher;

use fnv::FnvHasher;

use crate::event::Endpoint;

/// Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio.
const FIBONACCI_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Low bits of a limiter's score that rendezvous hashing ignores: the multiplication mixes these least.
/// Limiters whose scores differ in these bits alone are ordered by their positions.
const IGNORED_LOW_BITS: u32 = 8;

/// Spreads a number evenly over the high bits of the result (Fibonacci hashing).
pub(crate) fn fibonacci_hash(value: u64) -> u64 {
    value.wrapping_mul(FIBONACCI_MULTIPLIER)
}

/// Returns the hash of one start of a server: of the server's id and announced start time (FNV-1a).
pub(crate) fn endpoint_hash(endpoint: &Endpoint) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(endpoint.server.as_bytes());
    hasher.write(&endpoint.started_at.to_bits().to_be_bytes());
    hasher.finish()
}

/// Returns the rank, from 0, of the limiter at `position` among `limiters` limiters by rendezvous hashing:
/// the number of limiters with a lower score under this key. Every limiter finds the same ranks.
pub(crate) fn rendezvous_rank(key: u64, position: u32, limiters: u32) -> usize {
    let local_score = rendezvous_score(key, position);
    (0..limiters).filter(|other| rendezvous_score(key, *other) < local_score).count()
}

/// What rendezvous hashing orders the limiters by.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RendezvousScore {
    /// High bits of the hash of key and position.
    hash: u64,
    /// Breaks ties.
    position: u32,
}

/// Returns the score of the limiter at a position under a key.
fn rendezvous_score(key: u64, position: u32) -> RendezvousScore {
    let mut hasher = FnvHasher::with_key(key);
    hasher.write(&position.to_be_bytes());
    // FNV mixes the last bytes that are written into the low bits only. The multiplication moves them up.
    let hash = fibonacci_hash(hasher.finish()) >> IGNORED_LOW_BITS;
    RendezvousScore { hash, position }
}
