//! Estimates when the bytes that are being read reached this host.
//!
//! The timeout of a client begins with the arrival of its request, regardless of when the request is read.
//! The system does not report when the bytes arrived. Unless the process has stalled, the time of the read is
//! taken as the time of arrival. After a stall, it is only known that the bytes had not arrived when the
//! event loop last ran before the stall. The time between that iteration and the read is the possible wait.
//! The possible wait is subtracted from the deadline that servers receive, because a server must not be given
//! more time than the client has left. A request is not abandoned because of its possible wait.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Longest time between two iterations of the event loop that is not treated as a stall. The periodic control
/// step of the core wakes the event loop every 100 ms; the rest allows for the delay of a timer on a busy
/// host. The control steps begin with the first event of the core, so a longer time from the start of the
/// process to that event is treated as a stall, too. Bytes that are read after a stall may have arrived at
/// any time since the last iteration before the stall.
const MAX_ITERATION_INTERVAL: Duration = Duration::from_millis(120);
/// Time within which everything that arrived during a stall is read, measured from the first iteration after
/// the stall.
const CATCH_UP_TIME: Duration = Duration::from_millis(60);

/// The time of arrival of bytes, as an interval.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When the bytes were read; the latest time at which the bytes may have arrived.
    pub read_at: Instant,
    /// The earliest time at which the bytes may have arrived.
    pub earliest: Instant,
}

impl Arrival {
    /// Returns the arrival of bytes that are read now and did not arrive before `earliest`.
    pub fn not_before(earliest: Instant) -> Arrival {
        let read_at = Instant::now();
        Arrival { read_at, earliest: earliest.min(read_at) }
    }

    /// Returns the longest time that the bytes may have waited before they were read.
    pub fn possible_wait(&self) -> Duration {
        self.read_at.saturating_duration_since(self.earliest)
    }
}

/// A time in which the process did not run.
#[derive(Clone, Copy)]
struct Stall {
    /// The last iteration of the event loop before the stall.
    last_iteration: Instant,
    /// The first iteration of the event loop after the stall.
    resumed_at: Instant,
}

/// Detects stalls of the process, and estimates how long bytes may have waited in the kernel.
pub struct ArrivalClock {
    last_iteration: Cell<Instant>,
    last_stall: Cell<Option<Stall>>,
}

impl ArrivalClock {
    /// Creates the clock of an event loop that starts now.
    pub fn start() -> ArrivalClock {
        ArrivalClock { last_iteration: Cell::new(Instant::now()), last_stall: Cell::new(None) }
    }

    /// Records an iteration of the event loop, and returns how long the process stalled before it, if it did.
    /// Must be called at least once every [`MAX_ITERATION_INTERVAL`].
    pub fn record_iteration(&self) -> Option<Duration> {
        let now = Instant::now();
        let last_iteration = self.last_iteration.replace(now);
        let interval = now.saturating_duration_since(last_iteration);
        if interval <= MAX_ITERATION_INTERVAL {
            return None;
        }
        self.last_stall.set(Some(Stall { last_iteration, resumed_at: now }));
        Some(interval)
    }

    /// Returns the earliest time at which bytes that are being read may have arrived.
    pub fn earliest_arrival(&self) -> Instant {
        let now = Instant::now();
        let last_iteration = self.last_iteration.get();
        if now.saturating_duration_since(last_iteration) > MAX_ITERATION_INTERVAL {
            return last_iteration;
        }
        match self.last_stall.get() {
            Some(stall) if now.saturating_duration_since(stall.resumed_at) <= CATCH_UP_TIME => {
                stall.last_iteration
            }
            _ => now,
        }
    }
}
