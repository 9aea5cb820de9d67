//! The times of a graceful shutdown.

use limiter_core::{Millis, RequestClass};

/// Longest deadline of a client in milliseconds that the platform takes into account. The platform sends
/// SIGKILL no sooner after SIGTERM than the longest deadline plus [`KILL_DELAY_MS`].
pub const MAX_CLIENT_DEADLINE_MS: Millis = 3000.0;
/// Shortest time in milliseconds between the longest deadline and SIGKILL.
const KILL_DELAY_MS: Millis = 700.0;
/// Safety margin in milliseconds between the last response and SIGKILL.
const KILL_MARGIN_MS: Millis = 300.0;
/// Shortest time in milliseconds for which requests are accepted, because clients open new connections for
/// 400 ms after SIGTERM.
const MIN_ACCEPT_MS: Millis = 600.0;

/// Times in milliseconds after SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShutdownTimes {
    /// When the connections are shut down. All requests are accepted until this time, and new connections for
    /// a short time longer.
    pub accept_ms: Millis,
    /// By when all accepted requests have received their final response.
    pub response_ms: Millis,
}

impl ShutdownTimes {
    /// Returns the times for clients that wait up to `max_deadline_ms` for requests of these classes.
    pub fn new(max_deadline_ms: Millis, classes: &[RequestClass]) -> ShutdownTimes {
        let longest_request_ms = classes.iter().map(longest_request_ms).fold(0.0, f64::max);
        let response_ms = (max_deadline_ms + KILL_DELAY_MS - KILL_MARGIN_MS).max(MIN_ACCEPT_MS);
        let accept_ms = (response_ms - longest_request_ms).max(MIN_ACCEPT_MS);
        ShutdownTimes { accept_ms, response_ms }
    }
}

/// Returns the longest time that a request of a class may take. The core ends a request at its latency
/// objective if a later response has no value.
fn longest_request_ms(class: &RequestClass) -> Millis {
    if class.late_value > 0.0 {
        MAX_CLIENT_DEADLINE_MS
    } else {
        class.latency_objective_ms
    }
}
