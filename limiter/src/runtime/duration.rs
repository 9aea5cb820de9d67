//! Conversion between durations and the milliseconds of settings and decisions.

use std::time::Duration;

use limiter_core::Millis;

/// Longest duration in seconds, about thirty years. Longer ones are cut to it, so that no clock of the
/// program overflows.
const MAX_S: f64 = 1e9;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Returns the duration of `ms` milliseconds, which must be a number. A negative number gives no duration at
/// all.
pub fn from_ms(ms: Millis) -> Duration {
    Duration::from_secs_f64((ms / MILLIS_PER_SECOND).clamp(0.0, MAX_S))
}

/// Returns the milliseconds of a duration.
pub fn to_ms(duration: Duration) -> Millis {
    duration.as_secs_f64() * MILLIS_PER_SECOND
}
