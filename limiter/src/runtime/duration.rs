//! Durations and the milliseconds of settings and decisions.

use std::time::Duration;

use limiter_core::Millis;

/// Longest duration, some thirty years: what is longer is as good as endless, and no clock of the program overflows.
const MAX_S: f64 = 1e9;

/// The duration of so many milliseconds, which must be a number; 0 for what is negative.
pub fn from_ms(ms: Millis) -> Duration {
    Duration::from_secs_f64((ms / 1000.0).clamp(0.0, MAX_S))
}

/// The milliseconds of a duration.
pub fn to_ms(duration: Duration) -> Millis {
    duration.as_secs_f64() * 1000.0
}
