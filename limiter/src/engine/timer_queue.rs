//! Timers in the order in which they fire.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use limiter_core::{Millis, RequestId, TimerToken};

use crate::messages::attempt::AttemptId;

/// What a timer is for. Timers of one moment fire in the order of these variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// Asked for by the core.
    Decision(TimerToken),
    /// An attempt has run out of time.
    AttemptTimeout(AttemptId),
    /// The client of a request has run out of time.
    Deadline(RequestId),
}

/// The timer at the front of the queue.
pub enum NextTimer {
    /// It is due, and has been taken off the queue.
    Due(TimerKind),
    /// It is due at this moment.
    At(Millis),
    /// There is none.
    None,
}

/// Microseconds of a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;
/// Armed for no moment.
const NOT_ARMED: u64 = u64::MAX;

/// A timer in the queue; ordered by moment, then by kind.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedTimer {
    at_us: u64,
    kind: TimerKind,
}

/// Timers by moment, in whole microseconds, and when the waiting task wakes up.
pub struct TimerQueue {
    timers: BinaryHeap<Reverse<QueuedTimer>>,
    /// The moment for which the waiting task will wake up by itself.
    armed_us: u64,
}

impl TimerQueue {
    /// An empty queue.
    pub fn new() -> TimerQueue {
        TimerQueue { timers: BinaryHeap::new(), armed_us: NOT_ARMED }
    }

    /// Adds a timer; true if it fires before the moment that the waiting task is armed for.
    pub fn insert(&mut self, at: Millis, kind: TimerKind) -> bool {
        let at_us = (at * MICROS_PER_MILLI).ceil() as u64;
        self.timers.push(Reverse(QueuedTimer { at_us, kind }));
        at_us < self.armed_us
    }

    /// Takes the next timer off if it is due; otherwise records that the caller sleeps until then.
    pub fn next(&mut self, now: Millis) -> NextTimer {
        let Some(Reverse(QueuedTimer { at_us, kind })) = self.timers.peek().copied() else {
            self.armed_us = NOT_ARMED;
            return NextTimer::None;
        };
        if now * MICROS_PER_MILLI < at_us as f64 {
            self.armed_us = at_us;
            return NextTimer::At(at_us as f64 / MICROS_PER_MILLI);
        }
        self.timers.pop();
        NextTimer::Due(kind)
    }

    /// Drops timers from the front that serve no purpose any more; true if there were any. Most requests finish long
    /// before their timeouts, and each of these would wake up an idle process.
    pub fn drop_stale(&mut self, is_live: impl Fn(TimerKind) -> bool) -> bool {
        let before = self.timers.len();
        while self.timers.peek().is_some_and(|Reverse(timer)| !is_live(timer.kind)) {
            self.timers.pop();
        }
        self.timers.len() < before
    }
}
