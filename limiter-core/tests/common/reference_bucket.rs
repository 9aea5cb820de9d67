//! A token bucket outside of the limiters, against which tests check what all limiters admit together.

use limiter_core::*;

/// The exact token bucket of a quota or ceiling over all limiters. Tests take the units of each forwarded
/// request from this bucket.
#[derive(Debug, Clone)]
pub struct ReferenceBucket {
    rate: f64,
    burst: f64,
    level: f64,
    refilled_at: Millis,
}

impl ReferenceBucket {
    /// Returns a full bucket that refills at `rate` units per second.
    pub fn full(rate: f64, burst: f64, now: Millis) -> Self {
        ReferenceBucket { rate, burst, level: burst, refilled_at: now }
    }

    /// Returns the full bucket of a plan's ceiling.
    pub fn full_ceiling_of(plan: &Plan, now: Millis) -> Self {
        ReferenceBucket::full(plan.ceiling_rate, plan.ceiling_burst, now)
    }

    /// Adds the units that have accrued since the last refill.
    fn refill(&mut self, now: Millis) {
        let elapsed_ms = now - self.refilled_at;
        self.level = (self.level + self.rate * elapsed_ms / 1000.0).min(self.burst);
        self.refilled_at = now;
    }

    /// Takes units unconditionally and returns the new level, which is negative after an overdraft.
    pub fn take(&mut self, units: f64, now: Millis) -> f64 {
        self.refill(now);
        self.level -= units;
        self.level
    }

    /// Takes units if the bucket holds them, and returns whether it did.
    pub fn try_take(&mut self, units: f64, now: Millis) -> bool {
        self.refill(now);
        let has_enough = self.level >= units;
        if has_enough {
            self.level -= units;
        }
        has_enough
    }
}
