//! The clock of the core.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use limiter_core::Millis;

/// The longest time from the start that a timer may be set to, in seconds: some thirty years.
const MAX_TIMER_S: f64 = 1e9;

/// Time in milliseconds: Unix time at the start, then the monotonic clock. Start times that discovery announces need
/// no conversion, and a limiter that is restarted never sees a moment twice.
pub struct Clock {
    started: Instant,
    started_unix_ms: Millis,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), started_unix_ms: unix.as_secs_f64() * 1000.0 }
    }

    /// The present moment.
    pub fn now(&self) -> Millis {
        self.started_unix_ms + self.age_ms()
    }

    /// Time since the clock was started.
    pub fn age_ms(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant of a moment, no earlier than the start.
    pub fn instant(&self, at: Millis) -> Instant {
        let since_start_s = ((at - self.started_unix_ms) / 1000.0).clamp(0.0, MAX_TIMER_S);
        self.started + Duration::from_secs_f64(since_start_s)
    }
}
