//! The clock of the core.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use limiter_core::Millis;

use crate::runtime::duration;

/// Number of random bits in the origin of a clock. The origin is a time in milliseconds. 40 bits cover about
/// 35 years; a 64-bit float represents such a time to an eighth of a microsecond.
const ORIGIN_BITS: u32 = 40;

/// Time in milliseconds of the monotonic clock, measured from a random origin.
///
/// The wall clock is not used, because it may be stepped. In gossip, the low 32 bits of the origin
/// distinguish one incarnation of the limiter from another: two incarnations have the same bits with a
/// probability of one in four billion.
pub struct Clock {
    started: Instant,
    origin_ms: Millis,
}

impl Clock {
    /// Starts a clock at a random origin.
    pub fn start() -> Clock {
        // The keys of `RandomState` are random numbers from the operating system.
        let random = RandomState::new().build_hasher().finish();
        Clock { started: Instant::now(), origin_ms: (random >> (u64::BITS - ORIGIN_BITS)) as f64 }
    }

    /// Returns the time of the wall clock in Unix milliseconds. The wall clock may be stepped at any time.
    pub fn unix_ms() -> Millis {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        duration::to_ms(since_epoch)
    }

    /// Returns the current time of this clock.
    pub fn now(&self) -> Millis {
        self.origin_ms + self.age_ms()
    }

    /// Returns the time since the clock was started.
    pub fn age_ms(&self) -> Millis {
        duration::to_ms(self.started.elapsed())
    }

    /// Returns the instant that corresponds to a time of this clock. Any time before the start of the clock
    /// gives the start.
    pub fn instant(&self, at: Millis) -> Instant {
        self.started + duration::from_ms(at - self.origin_ms)
    }
}

#[cfg(test)]
mod tests;
