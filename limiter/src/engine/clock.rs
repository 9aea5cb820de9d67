//! The clock of the core.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use limiter_core::Millis;

use crate::runtime::duration;

/// Bits of the moment at which a clock starts, in milliseconds: some 35 years, so that a 64-bit float holds it to well
/// under a microsecond.
const ORIGIN_BITS: u32 = 40;

/// Time in milliseconds of the monotonic clock, from a random origin on.
///
/// The wall clock has no part in it, as that may be stepped. The low bits of the origin tell one start of the limiter
/// from another in gossip: two starts share 32 random bits once in four billion times.
pub struct Clock {
    started: Instant,
    origin_ms: Millis,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        // The keys of `RandomState` come from the system's random numbers.
        let random = RandomState::new().build_hasher().finish();
        Clock { started: Instant::now(), origin_ms: (random >> (u64::BITS - ORIGIN_BITS)) as f64 }
    }

    /// What the wall clock reads, in Unix milliseconds. It may be stepped at any moment.
    pub fn unix_ms() -> Millis {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
    }

    /// The present moment.
    pub fn now(&self) -> Millis {
        self.origin_ms + self.age_ms()
    }

    /// Time since the clock was started.
    pub fn age_ms(&self) -> Millis {
        duration::to_ms(self.started.elapsed())
    }

    /// The instant of a moment, no earlier than the start.
    pub fn instant(&self, at: Millis) -> Instant {
        self.started + duration::from_ms(at - self.origin_ms)
    }
}

#[cfg(test)]
mod tests;
