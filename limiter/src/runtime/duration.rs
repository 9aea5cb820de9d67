//! Conversion between durations and the milliseconds of the settings and the core.

use std::time::Duration;

use limiter_core::Millis;

/// Longest duration in seconds, about thirty years. Longer durations are clamped to this value, so that no
/// clock of the program overflows.
const MAX_S: f64 = 1e9;
/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Returns the duration of `ms` milliseconds, or zero if `ms` is negative.
///
/// # Panics
/// If `ms` is not a number (NaN).
pub fn from_ms(ms: Millis) -> Duration {
    Duration::from_secs_f64((ms / MILLIS_PER_SECOND).clamp(0.0, MAX_S))
}

/// Returns the milliseconds of a duration.
pub fn to_ms(duration: Duration) -> Millis {
    duration.as_secs_f64() * MILLIS_PER_SECOND
}
