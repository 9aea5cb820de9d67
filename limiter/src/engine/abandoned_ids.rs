//! The correlation ids of requests whose clients disconnected while a server may have executed them.

use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;

use hyper::header::HeaderValue;
use limiter_core::Millis;

/// Time in milliseconds for which an id is retained. Longer than any request is pending, so that a server no
/// longer works on the request either.
const RETENTION_MS: Millis = 300_000.0;
/// Highest number of ids, about 500 KB of memory. Beyond that number, the oldest ids are dropped.
const MAX_IDS: usize = 10_000;

/// Hash of a correlation id. Ids may be as long as a head, so only their hashes are stored.
type IdHash = u64;

/// An id that was retained.
struct AbandonedId {
    hash: IdHash,
    abandoned_at: Millis,
}

/// The correlation ids of requests that must not be executed twice, that may have been executed once, and
/// whose clients disconnected before the response.
#[derive(Default)]
pub struct AbandonedIds {
    /// Keyed at random, so that clients cannot choose ids whose hashes are equal.
    hash_builder: RandomState,
    /// The oldest first.
    by_age: VecDeque<AbandonedId>,
    hashes: HashSet<IdHash>,
}

impl AbandonedIds {
    /// Retains an id.
    pub fn insert(&mut self, id: &HeaderValue, now: Millis) {
        self.drop_expired(now);
        let hash = self.hash_builder.hash_one(id);
        if !self.hashes.insert(hash) {
            return;
        }
        self.by_age.push_back(AbandonedId { hash, abandoned_at: now });
        if self.by_age.len() > MAX_IDS {
            self.drop_oldest();
        }
    }

    /// Returns whether an id is retained.
    pub fn contains(&mut self, id: &HeaderValue, now: Millis) -> bool {
        self.drop_expired(now);
        !self.hashes.is_empty() && self.hashes.contains(&self.hash_builder.hash_one(id))
    }

    fn drop_expired(&mut self, now: Millis) {
        let is_expired = |id: &AbandonedId| now - id.abandoned_at > RETENTION_MS;
        while self.by_age.front().is_some_and(is_expired) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.by_age.pop_front() {
            self.hashes.remove(&oldest.hash);
        }
    }
}

#[cfg(test)]
mod tests;
