//! What the limiter shows of itself: structured log lines and counters.

pub mod logging;
pub mod metrics;
