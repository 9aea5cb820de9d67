//! Exponentially smoothed latency.

use crate::event::Millis;

/// Moving average of the latencies of responses. The first response sets the value. Each further response
/// moves the value toward its own latency, by a fixed fraction of the difference.
#[derive(Debug)]
pub(super) struct SmoothedLatency {
    latency_ms: Millis,
    /// Weight of a new response, between 0 and 1.
    newest_weight: f64,
}

impl SmoothedLatency {
    /// Creates the average before the first response.
    pub fn new(newest_weight: f64) -> Self {
        SmoothedLatency { latency_ms: 0.0, newest_weight }
    }

    /// Records the latency of a response.
    pub fn record(&mut self, elapsed_ms: Millis) {
        let weight = if self.is_measured() { self.newest_weight } else { 1.0 };
        self.latency_ms += weight * (elapsed_ms - self.latency_ms);
    }

    /// Returns whether a response with a latency above 0 has been recorded.
    pub fn is_measured(&self) -> bool {
        self.latency_ms > 0.0
    }

    /// Returns the smoothed latency in milliseconds; 0 before the first response.
    pub fn value_ms(&self) -> Millis {
        self.latency_ms
    }
}
