//! Timers in the order in which they fire.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use limiter_core::{Millis, RequestId, TimerToken};

use crate::messages::attempt::AttemptId;

/// The purpose of a timer. Timers that are due at the same time fire in the order of these variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// The core has set the timer.
    Decision(TimerToken),
    /// The time of an attempt is over.
    AttemptTimeout(AttemptId),
    /// The client of a request abandons the request.
    Deadline(RequestId),
}

/// The timer at the front of the queue.
pub enum NextTimer {
    /// The timer is due, and was removed from the queue.
    Due(TimerKind),
    /// The timer is due at this time.
    At(Millis),
    /// The queue is empty.
    None,
}

const MICROS_PER_MILLI: f64 = 1000.0;
/// Value of [`TimerQueue::armed_us`] while the waiting task waits for no time.
const NOT_ARMED: u64 = u64::MAX;

/// A timer in the queue; ordered by time, then by kind.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedTimer {
    at_us: u64,
    kind: TimerKind,
}

/// Timers by the time at which they fire, in whole microseconds, and the time at which the waiting task wakes
/// up.
pub struct TimerQueue {
    timers: BinaryHeap<Reverse<QueuedTimer>>,
    /// The time in microseconds for which the waiting task sleeps.
    armed_us: u64,
}

impl TimerQueue {
    /// Creates an empty queue.
    pub fn new() -> TimerQueue {
        TimerQueue { timers: BinaryHeap::new(), armed_us: NOT_ARMED }
    }

    /// Adds a timer. Returns whether the timer fires before the waiting task wakes up.
    pub fn insert(&mut self, at: Millis, kind: TimerKind) -> bool {
        let at_us = (at * MICROS_PER_MILLI).ceil() as u64;
        self.timers.push(Reverse(QueuedTimer { at_us, kind }));
        at_us < self.armed_us
    }

    /// Removes and returns the next timer if it is due. Otherwise records that the caller sleeps until the
    /// timer is due.
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

    /// Drops timers that serve no purpose any more from the front of the queue. Returns whether there were
    /// any. Most requests finish long before their timeouts, and each such timer would wake up an idle
    /// process.
    pub fn drop_stale(&mut self, is_live: impl Fn(TimerKind) -> bool) -> bool {
        let num_before = self.timers.len();
        while self.timers.peek().is_some_and(|Reverse(timer)| !is_live(timer.kind)) {
            self.timers.pop();
        }
        self.timers.len() < num_before
    }
}
