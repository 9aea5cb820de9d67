//! The usual time from a quota request to its reply, and when a reply is late.

use crate::event::Millis;

/// Usual wait in milliseconds before any reply has been measured.
const INITIAL_REPLY_WAIT_MS: Millis = 40.0;
/// Multiple of the usual wait after which a reply is late.
const LATE_REPLY_FACTOR: f64 = 2.5;
/// Weight of the newest measurement in the usual wait (exponential smoothing).
const REPLY_WAIT_WEIGHT: f64 = 0.1;

/// Smoothed time from a quota request to its reply, over all owners.
#[derive(Debug)]
pub(super) struct ReplyWait {
    usual_ms: Millis,
}

impl ReplyWait {
    /// Creates the state before any reply, with a usual wait of [`INITIAL_REPLY_WAIT_MS`].
    pub fn new() -> Self {
        ReplyWait { usual_ms: INITIAL_REPLY_WAIT_MS }
    }

    /// Records the wait for one reply.
    pub fn record(&mut self, wait_ms: Millis) {
        self.usual_ms += REPLY_WAIT_WEIGHT * (wait_ms - self.usual_ms);
    }

    /// Returns the time after which a reply is late.
    pub fn late_after_ms(&self) -> Millis {
        self.usual_ms * LATE_REPLY_FACTOR
    }
}
