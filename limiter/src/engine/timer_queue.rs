//! The queue of timers, in the order in which they fire.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use limiter_core::{Millis, RequestId, TimerToken};

use crate::messages::attempt::AttemptId;

/// The purpose of a timer. Timers that are due at the same time fire in the order of these variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// A timer that the core has set.
    Core(TimerToken),
    /// The deadline of a request, for an attempt in flight: the attempt is cancelled.
    AttemptTimeout(AttemptId),
    /// The deadline of a request, for the request itself: the client abandons the request.
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

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;
/// Value of [`TimerQueue::wake_up_us`] while the waiting task sleeps without a wake-up time, because no timer
/// was queued.
const NO_WAKE_UP: u64 = u64::MAX;

/// Number of timers up to which stale timers behind the front of the queue are not searched for.
const MIN_COMPACTED_TIMERS: usize = 1024;

/// A timer in the queue; ordered by time, then by kind.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedTimer {
    /// When the timer is due, in microseconds of the core's clock.
    at_us: u64,
    kind: TimerKind,
}

/// Timers by the time at which they fire, in whole microseconds, and the time at which the task that waits
/// for them wakes up.
pub struct TimerQueue {
    timers: BinaryHeap<Reverse<QueuedTimer>>,
    /// Number of timers beyond which all stale timers are dropped: twice as many as were needed when that was
    /// last done. The search therefore costs a constant time for each timer that is added.
    max_timers: usize,
    /// The time at which the waiting task wakes up, in microseconds of the core's clock.
    wake_up_us: u64,
}

impl TimerQueue {
    /// Creates an empty queue.
    pub fn new() -> TimerQueue {
        TimerQueue { timers: BinaryHeap::new(), max_timers: MIN_COMPACTED_TIMERS, wake_up_us: NO_WAKE_UP }
    }

    /// Adds a timer. Returns whether the timer fires before the waiting task wakes up.
    pub fn insert(&mut self, at: Millis, kind: TimerKind) -> bool {
        let at_us = (at * MICROS_PER_MILLI).ceil() as u64;
        self.timers.push(Reverse(QueuedTimer { at_us, kind }));
        at_us < self.wake_up_us
    }

    /// Removes and returns the next timer if it is due. Otherwise records that the waiting task sleeps until
    /// the timer is due.
    pub fn next(&mut self, now: Millis) -> NextTimer {
        let Some(Reverse(QueuedTimer { at_us, kind })) = self.timers.peek().copied() else {
            self.wake_up_us = NO_WAKE_UP;
            return NextTimer::None;
        };
        if now * MICROS_PER_MILLI < at_us as f64 {
            self.wake_up_us = at_us;
            return NextTimer::At(at_us as f64 / MICROS_PER_MILLI);
        }
        self.timers.pop();
        NextTimer::Due(kind)
    }

    /// Drops stale timers, those that are not needed any longer, from the front of the queue, and from the
    /// whole queue if it has grown long. Returns whether any timer was dropped.
    ///
    /// Most requests finish long before their timeouts. Each stale timer at the front would wake up an idle
    /// process, and those behind it would occupy memory for as long as the longest timeout.
    pub fn drop_stale(&mut self, is_timer_needed: impl Fn(TimerKind) -> bool) -> bool {
        let num_before = self.timers.len();
        if num_before > self.max_timers {
            self.timers.retain(|Reverse(timer)| is_timer_needed(timer.kind));
            self.timers.shrink_to(self.timers.len() * 2);
            self.max_timers = MIN_COMPACTED_TIMERS.max(self.timers.len() * 2);
        }
        while self.timers.peek().is_some_and(|Reverse(timer)| !is_timer_needed(timer.kind)) {
            self.timers.pop();
        }
        self.timers.len() < num_before
    }
}

#[cfg(test)]
mod tests;
