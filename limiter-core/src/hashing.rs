//! Hash functions that give the same results at every limiter, also after a restart. Limiters that use them
//! agree without exchanging messages.

use std::hash::Hasher;

use fnv::FnvHasher;

use crate::event::Endpoint;

/// Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio.
const FIBONACCI_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Number of low bits of a hash that rendezvous hashing ignores, because the multiplication mixes them least.
/// Limiters whose hashes differ in these bits alone are ordered by their positions.
const IGNORED_LOW_BITS: u32 = 8;

/// Returns the Fibonacci hash of a number, whose high bits are distributed evenly.
pub(crate) fn fibonacci_hash(value: u64) -> u64 {
    value.wrapping_mul(FIBONACCI_MULTIPLIER)
}

/// Returns the FNV-1a hash of the id and the announced start time of a server. A server that restarts gets
/// another hash.
pub(crate) fn endpoint_hash(endpoint: &Endpoint) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(endpoint.server.as_bytes());
    hasher.write(&endpoint.started_at.to_bits().to_be_bytes());
    hasher.finish()
}

/// Returns the rank, from 0, of the limiter at `position` among `limiters` limiters by rendezvous hashing:
/// the number of limiters with a lower score for this key. Every limiter computes the same ranks.
pub(crate) fn rendezvous_rank(key: u64, position: u32, limiters: u32) -> usize {
    let local_score = rendezvous_score(key, position);
    (0..limiters).filter(|other| rendezvous_score(key, *other) < local_score).count()
}

/// The score by which rendezvous hashing orders the limiters.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RendezvousScore {
    /// High bits of the hash of the key and the position.
    hash: u64,
    /// Position of the limiter, which orders limiters with the same hash.
    position: u32,
}

/// Returns the score of the limiter at a position for a key.
fn rendezvous_score(key: u64, position: u32) -> RendezvousScore {
    let mut hasher = FnvHasher::with_key(key);
    hasher.write(&position.to_be_bytes());
    // FNV mixes the last bytes that are written into the low bits only. The multiplication moves them up.
    let hash = fibonacci_hash(hasher.finish()) >> IGNORED_LOW_BITS;
    RendezvousScore { hash, position }
}
