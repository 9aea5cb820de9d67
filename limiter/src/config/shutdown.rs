//! How long a shutdown may take.

use limiter_core::{Millis, RequestClass};

/// The platform counts no deadline of a client as longer than this, in milliseconds: SIGKILL comes no sooner after
/// SIGTERM than the longest deadline and [`KILL_DELAY_MS`].
pub const MAX_CLIENT_DEADLINE_MS: Millis = 3000.0;
/// The least time from the longest deadline to SIGKILL, in milliseconds.
const KILL_DELAY_MS: Millis = 700.0;
/// Kept between the last response and SIGKILL, in milliseconds.
const KILL_MARGIN_MS: Millis = 300.0;
/// Requests are accepted for so long at least, in milliseconds: new connections come for 400 ms after SIGTERM.
const MIN_ACCEPT_MS: Millis = 600.0;

/// Times after SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShutdownTimes {
    /// When connections begin to be shut down. Until then all requests are accepted; new connections are accepted for a
    /// little longer.
    pub accept_ms: Millis,
    /// By then all of them are answered.
    pub response_ms: Millis,
}

impl ShutdownTimes {
    /// The times for clients that wait up to `max_deadline_ms` for requests of these classes.
    pub fn new(max_deadline_ms: Millis, classes: &[RequestClass]) -> ShutdownTimes {
        let longest_request_ms = classes.iter().map(longest_request_ms).fold(0.0, f64::max);
        let response_ms = (max_deadline_ms + KILL_DELAY_MS - KILL_MARGIN_MS).max(MIN_ACCEPT_MS);
        let accept_ms = (response_ms - longest_request_ms).max(MIN_ACCEPT_MS);
        ShutdownTimes { accept_ms, response_ms }
    }
}

/// The longest that a request of a class may take: the core ends one at its latency objective where a later
/// response is worth nothing.
fn longest_request_ms(class: &RequestClass) -> Millis {
    if class.late_value > 0.0 {
        MAX_CLIENT_DEADLINE_MS
    } else {
        class.latency_objective_ms
    }
}
