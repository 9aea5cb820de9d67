//! When bytes arrived that are read now.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The event loop takes a turn at least this often, by the periodic control step of the core: 100 ms, and as much for a
/// timer to be late as a busy host makes it. What is read later may have arrived at any moment since the last turn.
const MAX_TURN: Duration = Duration::from_millis(120);
/// Time in which all that has arrived during a hold-up is read, from the first turn after it.
const CATCH_UP: Duration = Duration::from_millis(60);

/// When bytes arrived.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// They were read then, and had arrived by then.
    pub read_at: Instant,
    /// They had not arrived before this.
    pub earliest: Instant,
}

impl Arrival {
    /// The arrival of bytes that are read now and had not arrived before a moment.
    pub fn not_before(earliest: Instant) -> Arrival {
        let read_at = Instant::now();
        Arrival { read_at, earliest: earliest.min(read_at) }
    }

    /// How long they may have waited before they were read.
    pub fn possible_wait(&self) -> Duration {
        self.read_at.saturating_duration_since(self.earliest)
    }
}

/// A time in which the process got no processor time.
#[derive(Clone, Copy)]
struct HoldUp {
    /// The last turn before it.
    since: Instant,
    /// The first turn after it.
    until: Instant,
}

/// Knows since when bytes may have waited in the kernel because this process got no processor time.
///
/// A client's time counts from the arrival of its request, whenever that is read. When the system received the bytes is
/// not known; that they had not arrived by the last turn of the event loop is. What may have passed meanwhile is kept
/// from servers, who must not be told more time than there is; it is no reason to give a request up.
pub struct ArrivalClock {
    last_turn: Cell<Instant>,
    last_hold_up: Cell<Option<HoldUp>>,
}

impl ArrivalClock {
    /// A clock for a loop that begins now.
    pub fn start() -> ArrivalClock {
        ArrivalClock { last_turn: Cell::new(Instant::now()), last_hold_up: Cell::new(None) }
    }

    /// The event loop has taken a turn; for how long the process was held up before, if it was. To be called at least
    /// once in [`MAX_TURN`].
    pub fn record_iteration(&self) -> Option<Duration> {
        let now = Instant::now();
        let last = self.last_turn.replace(now);
        let turn = now.saturating_duration_since(last);
        if turn <= MAX_TURN {
            return None;
        }
        self.last_hold_up.set(Some(HoldUp { since: last, until: now }));
        Some(turn)
    }

    /// The earliest moment at which bytes may have arrived that are read now.
    pub fn earliest_arrival(&self) -> Instant {
        let now = Instant::now();
        let last_turn = self.last_turn.get();
        if now.saturating_duration_since(last_turn) > MAX_TURN {
            return last_turn;
        }
        let caught_up = |hold_up: &HoldUp| now.saturating_duration_since(hold_up.until) > CATCH_UP;
        let hold_up = self.last_hold_up.get().filter(|hold_up| !caught_up(hold_up));
        hold_up.map_or(now, |hold_up| hold_up.since)
    }
}
