//! Estimates of when bytes that are being read reached this host.
//!
//! A client's time counts from the arrival of its request, whenever the request is read. The system does not
//! report when it received the bytes; it is only known that they had not arrived when the event loop last
//! ran. The time in between is the possible wait. It is subtracted from the deadline that servers are given,
//! because a server must not be given more time than the client has left. It is no reason to abandon a
//! request.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Longest time between two iterations of the event loop in a process that is not stalled. The periodic
/// control step of the core wakes the event loop every 100 ms; the rest allows for the delay of a timer on a
/// busy host. Bytes that are read after a longer time may have arrived at any moment since the last
/// iteration.
const MAX_ITERATION_INTERVAL: Duration = Duration::from_millis(120);
/// Time after a stall in which everything that arrived during the stall is read, counted from the first
/// iteration after the stall.
const CATCH_UP_TIME: Duration = Duration::from_millis(60);

/// When bytes arrived.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When the bytes were read. They had arrived by this time.
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

/// Detects stalls of the process, and estimates since when bytes may have waited in the kernel.
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
    /// Must be called at least once in [`MAX_ITERATION_INTERVAL`].
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
