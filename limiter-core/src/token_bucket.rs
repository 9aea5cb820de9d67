//! The token bucket that quotas, ceilings, slow start and the gossip allowance share.

use crate::event::Millis;

/// A number of tokens that grows with time. Rate and capacity are passed with each refill because most
/// callers compute them from settings or measurements that change.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenBucket {
    /// Tokens in the bucket; negative after an overdraft.
    pub level: f64,
    /// Time up to which tokens have been added.
    pub refilled_at: Millis,
}

impl TokenBucket {
    /// Returns a bucket with `level` tokens, to be refilled for the time from `now` on.
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
