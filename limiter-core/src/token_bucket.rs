//! The token bucket that quotas, ceilings, slow start and the send allowance of gossip use.

use crate::event::Millis;

/// A token bucket. The rate and the capacity are arguments of each refill, because most callers compute them
/// from settings or from measurements that change.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenBucket {
    /// Tokens in the bucket; negative after an overdraft.
    pub level: f64,
    /// Time up to which tokens have been added. A bucket whose time lies in the future does not refill yet.
    pub refilled_at: Millis,
}

impl TokenBucket {
    /// Returns a bucket with `level` tokens, which refills from the time `now` on.
    pub fn new(level: f64, now: Millis) -> Self {
        TokenBucket { level, refilled_at: now }
    }

    /// Adds the tokens for the time since the last refill, at `rate` tokens per second. Tokens beyond
    /// `capacity` are dropped. A time before the last refill adds nothing.
    pub fn refill(&mut self, now: Millis, rate: f64, capacity: f64) {
        let elapsed_ms = (now - self.refilled_at).max(0.0);
        self.level = (self.level + rate * elapsed_ms / 1000.0).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}
