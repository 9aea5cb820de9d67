//! Admission control by slots: the slot limit follows latency, costly requests take more slots, requests
//! without free slots are queued, and slots are released when attempts end.

mod common;
use std::ops::Range;

use common::*;
use limiter_core::*;

/// Interval at which the limiter adapts its slot limit.
const CONTROL_STEP_MS: Millis = 100.0;
/// Latency near the objective of 1000 ms. Admission control treats this latency as an overload.
const SLOW_MS: Millis = 900.0;
/// Latency far below the objective.
const FAST_MS: Millis = 50.0;
/// Cost in units of a cheap request.
const CHEAP: f64 = 1.0;
/// Cost in units of a costly request.
const COSTLY: f64 = 8.0;

/// Submits `count` requests of this cost, and returns the number that were forwarded immediately.
fn num_forwarded_of_burst(
    limiter: &mut TestLimiter,
    first_id: RequestId,
    count: u32,
    cost_units: f64,
) -> usize {
    let mut forwarded = 0;
    for id in first_id..first_id + count {
        let request = Request { cost_units, ..request(id, WITH_KEY, UNLIMITED) };
        forwarded += forwarded_to(&limiter.submit(request)).len();
    }
    forwarded
}

/// Reports a good response to the first attempt of each request.
fn respond_to_all(limiter: &mut TestLimiter, ids: Range<RequestId>, elapsed_ms: Millis) {
    for id in ids {
        limiter.respond(id, elapsed_ms);
    }
}

/// Returns a limiter whose servers have responded slowly for two seconds, to cheap and costly requests alike.
fn overloaded_limiter() -> TestLimiter {
    let mut limiter = TestLimiter::new(settings(0), 4);
    for round in 0..20 {
        let ids = round * 100..round * 100 + 10;
        for id in ids.clone() {
            let cost_units = if id % 2 == 0 { CHEAP } else { COSTLY };
            limiter.submit(Request { cost_units, ..request(id, WITH_KEY, UNLIMITED) });
        }
        limiter.advance(CONTROL_STEP_MS);
        respond_to_all(&mut limiter, ids, SLOW_MS);
    }
    limiter.advance(CONTROL_STEP_MS);
    limiter
}

/// Returns an overloaded limiter whose servers stayed slow for `rounds` further control steps, while costly
/// requests arrived.
fn limiter_overloaded_by_costly_requests(rounds: u32) -> TestLimiter {
    let mut limiter = overloaded_limiter();
    for round in 0..rounds {
        let ids = 200_000 + round * 100..200_030 + round * 100;
        num_forwarded_of_burst(&mut limiter, ids.start, 30, COSTLY);
        limiter.advance(CONTROL_STEP_MS);
        respond_to_all(&mut limiter, ids, SLOW_MS);
    }
    limiter.advance(3000.0);
    limiter
}

/// Makes servers respond fast for 60 control steps, to six requests in each step.
fn end_overload(limiter: &mut TestLimiter) {
    for round in 0..60 {
        let ids = 40_000 + round * 100..40_006 + round * 100;
        num_forwarded_of_burst(limiter, ids.start, 6, CHEAP);
        limiter.advance(CONTROL_STEP_MS);
        respond_to_all(limiter, ids, FAST_MS);
    }
}

#[test]
fn the_slot_limit_does_not_restrict_requests_before_any_overload() {
    let mut limiter = TestLimiter::new(settings(0), 4);
    assert_eq!(num_forwarded_of_burst(&mut limiter, 0, 500, CHEAP), 500);
}

#[test]
fn slow_responses_lower_the_slot_limit_and_excess_requests_are_queued_then_rejected() {
    let mut limiter = overloaded_limiter();
    let forwarded = num_forwarded_of_burst(&mut limiter, 10_000, 300, CHEAP);
    assert!((1..100).contains(&forwarded), "{forwarded} forwarded");
    let rejected = num_rejected(&limiter.advance(500.0));
    assert_eq!(rejected, 300 - forwarded, "requests that never ran must be rejected, not failed");
}

/// Queued requests make Re positive, so numBigQueries falls and alpha rises.
#[test]
fn a_costly_request_takes_more_slots_than_a_cheap_one_in_an_overload() {
    let cheap = num_forwarded_of_burst(&mut limiter_overloaded_by_costly_requests(30), 50_000, 200, CHEAP);
    let costly = num_forwarded_of_burst(&mut limiter_overloaded_by_costly_requests(30), 50_000, 200, COSTLY);
    assert!(costly < cheap, "{costly} costly requests, {cheap} cheap requests");
}

/// Guards against an alpha that rises until one costly request occupies the entire slot limit.
#[test]
fn a_costly_request_never_occupies_the_entire_slot_limit() {
    let costly = num_forwarded_of_burst(&mut limiter_overloaded_by_costly_requests(500), 50_000, 200, COSTLY);
    assert!(costly >= 2, "{costly} forwarded");
}

#[test]
fn attempts_at_unresponsive_servers_take_no_slots_from_other_servers() {
    let mut limiter = overloaded_limiter();
    end_overload(&mut limiter);
    limiter.advance(10.0);
    let mut num_forwarded = 0;
    for id in 60_000..60_100 {
        let actions = limiter.submit(request(id, NON_IDEMPOTENT, UNLIMITED));
        num_forwarded += usize::from(is_forwarded(&actions));
    }
    // The other requests are queued, and are rejected after a quarter of the latency objective. The attempts
    // are checked for silent servers after 0.4 of the objective, and release their slots when they time out.
    limiter.advance(600.0);
    limiter.change_endpoints((10..14).map(endpoint).collect());
    let num_more = num_forwarded_of_burst(&mut limiter, 70_000, 100, CHEAP);
    assert!(num_more * 2 >= num_forwarded, "{num_more} more after {num_forwarded}");
}

#[test]
fn the_slot_limit_rises_again_when_responses_are_fast() {
    let mut limiter = overloaded_limiter();
    let before = num_forwarded_of_burst(&mut limiter, 30_000, 200, CHEAP);
    limiter.advance(2900.0);
    respond_to_all(&mut limiter, 30_000..30_200, SLOW_MS);
    end_overload(&mut limiter);
    let after = num_forwarded_of_burst(&mut limiter, 60_000, 200, CHEAP);
    assert!(after > before, "{before} before, {after} after");
}

/// Guards against a cancellation that releases the slots immediately while the server continues the work.
#[test]
fn a_cancelled_attempt_occupies_its_slots_for_a_while() {
    let num_forwarded = num_forwarded_of_burst(&mut overloaded_limiter(), 30_000, 100, CHEAP);
    let ids = 30_000..30_000 + num_forwarded as u32;
    let mut limiter = overloaded_limiter();
    for id in ids.clone() {
        let actions = limiter.submit(request(id, NON_IDEMPOTENT, UNLIMITED));
        assert_eq!(forwarded_to(&actions).len(), 1, "request {id}");
    }
    for id in ids {
        limiter.end_attempt(id, 0, Outcome::Cancelled, SLOW_MS);
    }
    let num_more = num_forwarded_of_burst(&mut limiter, 31_000, 100, CHEAP);
    assert!(num_more * 2 < num_forwarded, "{num_more} more after {num_forwarded}");
}

/// Guards against a limiter that treats a server as restarted because the server did not respond during an
/// overload. The server would get almost no requests for the duration of a slow start.
#[test]
fn a_server_gets_its_full_share_once_it_responds_again() {
    let mut limiter = TestLimiter::new(settings_of_only_limiter(), 1);
    for id in 0..5 {
        limiter.submit(Request { member_count: 1, ..request(id, NON_IDEMPOTENT, UNLIMITED) });
    }
    limiter.advance(990.0);
    for id in 0..5 {
        limiter.end_attempt(id, 0, Outcome::TimedOut, 990.0);
    }
    limiter.advance(9000.0);
    limiter.submit(request(9, IDEMPOTENT, UNLIMITED));
    limiter.respond(9, 5.0);
    assert!(num_forwarded_of_burst(&mut limiter, 100, 10, CHEAP) >= 5);
}
