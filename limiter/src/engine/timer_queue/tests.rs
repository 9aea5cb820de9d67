//! Tests of the number of timers that a queue holds.

use super::*;

/// Deadline of each request, in milliseconds after its arrival: the longest that a request may have.
const DEADLINE_MS: Millis = 60_000.0;
/// A request that stays open, so that its timer stays at the front of the queue.
const OPEN_REQUEST: RequestId = 0;

/// Guards against memory that grows with the rate of requests: each request that finished at once left its
/// timers in the queue for up to 60 s, behind the timer of a request that was open.
#[test]
fn timers_of_finished_requests_do_not_accumulate() {
    const NUM_REQUESTS: u32 = 100_000;
    let mut queue = TimerQueue::new();
    queue.insert(0.5, TimerKind::Deadline(OPEN_REQUEST));
    for number in 1..NUM_REQUESTS {
        let arrived_at = f64::from(number);
        let id = RequestId::from(number);
        queue.insert(arrived_at + DEADLINE_MS, TimerKind::Deadline(id));
        let attempt = AttemptId { request: id, number: 0 };
        queue.insert(arrived_at + DEADLINE_MS, TimerKind::AttemptTimeout(attempt));
        queue.drop_stale(|kind| kind == TimerKind::Deadline(OPEN_REQUEST));
        assert!(queue.timers.len() <= 2 * MIN_COMPACTED_TIMERS, "{} timers", queue.timers.len());
    }
    queue.drop_stale(|kind| kind == TimerKind::Deadline(OPEN_REQUEST));
    assert!(matches!(queue.next(1.0), NextTimer::Due(TimerKind::Deadline(OPEN_REQUEST))));
}

/// Timers that are needed stay, in their order, however many there are.
#[test]
fn needed_timers_are_never_dropped() {
    const NUM_REQUESTS: u32 = 10_000;
    let mut queue = TimerQueue::new();
    let is_needed = |kind| matches!(kind, TimerKind::Deadline(id) if id % 2 == 0);
    for number in (0..NUM_REQUESTS).rev() {
        queue.insert(f64::from(number), TimerKind::Deadline(RequestId::from(number)));
        queue.drop_stale(is_needed);
    }
    for expected in (0..NUM_REQUESTS).step_by(2) {
        queue.drop_stale(is_needed);
        let NextTimer::Due(kind) = queue.next(DEADLINE_MS) else { panic!("timer {expected} is missing") };
        assert!(kind == TimerKind::Deadline(RequestId::from(expected)), "timer {expected} is missing");
    }
}
