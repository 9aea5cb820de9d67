//! The bucket of a quota or ceiling as seen from outside, summed over all limiters.

use limiter_core::*;

/// A token bucket kept outside of the limiters: what they admit together is checked against it.
#[derive(Debug, Clone)]
pub struct ReferenceBucket {
    rate: f64,
    burst: f64,
    level: f64,
    refilled_at: Millis,
}

impl ReferenceBucket {
    pub fn full(rate: f64, burst: f64, now: Millis) -> Self {
        ReferenceBucket { rate, burst, level: burst, refilled_at: now }
    }

    pub fn full_ceiling_of(plan: &Plan, now: Millis) -> Self {
        ReferenceBucket::full(plan.ceiling_rate, plan.ceiling_burst, now)
    }

    fn refill(&mut self, now: Millis) {
        let elapsed_ms = now - self.refilled_at;
        self.level = (self.level + self.rate * elapsed_ms / 1000.0).min(self.burst);
        self.refilled_at = now;
    }

    /// Takes units whether they are there or not; returns the level, which is negative after an overdraft.
    pub fn take(&mut self, units: f64, now: Millis) -> f64 {
        self.refill(now);
        self.level -= units;
        self.level
    }

    /// Takes units if they are there.
    pub fn try_take(&mut self, units: f64, now: Millis) -> bool {
        self.refill(now);
        let is_enough = self.level >= units;
        if is_enough {
            self.level -= units;
        }
        is_enough
    }
}
