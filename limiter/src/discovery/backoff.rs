//! Exponential backoff with jitter between watches.

use std::time::Duration;

use super::policy::WatchPolicy;

/// The backoff grows by this factor with each failure.
const GROWTH_FACTOR: u32 = 2;
/// Fraction of a backoff that is random after a failure ("equal jitter"); the rest is always waited, since an earlier
/// call would only queue behind the others.
const JITTER_FRACTION: f64 = 0.5;

/// The waits between watches. Each takes one random draw, so that limiters with other seeds do not call in step.
pub struct Backoff {
    policy: WatchPolicy,
    current: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    /// No failure so far.
    pub fn new(policy: WatchPolicy, seed: u64) -> Backoff {
        Backoff { policy, current: policy.initial_backoff, rng: fastrand::Rng::with_seed(seed) }
    }

    /// The wait after a watch that announced something or lasted, with full jitter.
    pub fn after_success(&mut self) -> Duration {
        self.current = self.policy.initial_backoff;
        self.current.mul_f64(self.rng.f64())
    }

    /// The wait after a watch that was of no use. `elapsed` counts towards the longest time from one call to the next.
    pub fn after_failure(&mut self, elapsed: Duration) -> Duration {
        self.current = (self.current * GROWTH_FACTOR).min(self.policy.max_backoff);
        let longest = self.current.min(self.policy.max_backoff.saturating_sub(elapsed));
        longest.mul_f64(1.0 - JITTER_FRACTION * self.rng.f64())
    }
}
