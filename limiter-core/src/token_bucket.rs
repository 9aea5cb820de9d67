//! A bucket of tokens that fills with time.

use crate::event::Millis;

/// Tokens at a moment; rate and capacity are given with each refill, as they may change.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenBucket {
    /// Tokens in the bucket; negative where it was overdrawn.
    pub level: f64,
    /// The moment up to which it has been refilled.
    pub refilled_at: Millis,
}

impl TokenBucket {
    /// A bucket with `level` tokens that fills from `now` on.
    pub fn new(level: f64, now: Millis) -> Self {
        TokenBucket { level, refilled_at: now }
    }

    /// Adds what has come at `rate` tokens a second since the last refill, up to `capacity`.
    pub fn refill(&mut self, now: Millis, rate: f64, capacity: f64) {
        let elapsed_ms = (now - self.refilled_at).max(0.0);
        self.level = (self.level + rate * elapsed_ms / 1000.0).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}
