//! Exponential backoff with jitter between watch requests.

use std::time::Duration;

use super::policy::WatchPolicy;

/// Factor by which the backoff grows with each failure.
const GROWTH_FACTOR: u32 = 2;
/// Fraction of a backoff that is random after a failure ("equal jitter"). The rest is fixed, since an earlier
/// request would only queue at discovery among those of the other limiters.
const JITTER_FRACTION: f64 = 0.5;

/// Determines the waits between watch requests. Each wait is random, so that limiters with different seeds do
/// not send their requests in step, and takes one random draw.
pub struct Backoff {
    policy: WatchPolicy,
    /// Upper bound of the latest wait, before jitter; at first the initial backoff.
    current: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Creates a backoff that has seen no failure.
    pub fn new(policy: WatchPolicy, seed: u64) -> Backoff {
        Backoff { policy, current: policy.initial_backoff, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Returns the wait after a watch that announced a list or lasted long enough, with full jitter. Resets
    /// the backoff.
    pub fn after_success(&mut self) -> Duration {
        self.current = self.policy.initial_backoff;
        self.current.mul_f64(self.rng.f64())
    }

    /// Returns the wait after a request that failed or a watch that ended too soon, with equal jitter.
    /// `elapsed` is the time since a failed request was sent, or zero after a watch. The wait ends at the
    /// latest when the maximum backoff has passed since the failed request was sent, and is zero if that time
    /// has passed already.
    pub fn after_failure(&mut self, elapsed: Duration) -> Duration {
        self.current = (self.current * GROWTH_FACTOR).min(self.policy.max_backoff);
        let longest = self.current.min(self.policy.max_backoff.saturating_sub(elapsed));
        longest.mul_f64(1.0 - JITTER_FRACTION * self.rng.f64())
    }
}

#[cfg(test)]
mod tests;
