//! Admission control by slots: the slot limit follows latency, costly requests take more slots, requests
//! without free slots are queued, and slots are released when attempts end.

mod common;
use std::ops::Range;

use common::*;
use limiter_core::*;

/// Interval at which the limiter adapts its slot limit.
const CONTROL_STEP_MS: Millis = 100.0;
/// Latency near the objective of 1000 ms, which counts as an overload.
const SLOW_MS: Millis = 900.0;
/// Latency far below the objective.
const FAST_MS: Millis = 50.0;
/// Cost in units of a cheap request.
const CHEAP: f64 = 1.0;
/// Cost in units of a costly request.
const COSTLY: f64 = 8.0;

/// Submits `count` requests of this cost and returns how many were forwarded immediately.
fn forwarded_of_burst(limiter: &mut TestLimiter, first_id: RequestId, count: u32, cost_units: f64) -> usize {
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

/// Returns a limiter whose servers have responded slowly for two seconds, to cheap and costly requests.
fn limiter_under_pressure() -> TestLimiter {
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

/// Returns a limiter under pressure whose servers stayed slow for `rounds` further control steps, while
/// costly requests arrived.
fn limiter_under_costly_load(rounds: u32) -> TestLimiter {
    let mut limiter = limiter_under_pressure();
    for round in 0..rounds {
        let ids = 200_000 + round * 100..200_030 + round * 100;
        forwarded_of_burst(&mut limiter, ids.start, 30, COSTLY);
        limiter.advance(CONTROL_STEP_MS);
        respond_to_all(&mut limiter, ids, SLOW_MS);
    }
    limiter.advance(3000.0);
    limiter
}

/// Lets servers respond fast for 60 control steps, to six requests in each step.
fn relieve(limiter: &mut TestLimiter) {
    for round in 0..60 {
        let ids = 40_000 + round * 100..40_006 + round * 100;
        forwarded_of_burst(limiter, ids.start, 6, CHEAP);
        limiter.advance(CONTROL_STEP_MS);
        respond_to_all(limiter, ids, FAST_MS);
    }
}

#[test]
fn the_slot_limit_does_not_bind_while_latency_is_good() {
    let mut limiter = TestLimiter::new(settings(0), 4);
    assert_eq!(forwarded_of_burst(&mut limiter, 0, 500, CHEAP), 500);
}

#[test]
fn slow_responses_lower_the_slot_limit_and_excess_requests_are_queued_then_rejected() {
    let mut limiter = limiter_under_pressure();
    let forwarded = forwarded_of_burst(&mut limiter, 10_000, 300, CHEAP);
    assert!((1..100).contains(&forwarded), "{forwarded} forwarded");
    let rejected = num_rejected(&limiter.advance(500.0));
    assert_eq!(rejected, 300 - forwarded, "requests that never ran are rejected, not failed");
}

/// Queued requests make Re positive, so numBigQueries falls and alpha rises.
#[test]
fn a_costly_request_takes_more_slots_than_a_cheap_one_under_pressure() {
    let cheap = forwarded_of_burst(&mut limiter_under_costly_load(30), 50_000, 200, CHEAP);
    let costly = forwarded_of_burst(&mut limiter_under_costly_load(30), 50_000, 200, COSTLY);
    assert!(costly < cheap, "{costly} costly requests, {cheap} cheap requests");
}

/// Guards against an alpha that rises until one costly request takes the whole slot limit.
#[test]
fn a_costly_request_never_takes_the_whole_slot_limit() {
    let costly = forwarded_of_burst(&mut limiter_under_costly_load(500), 50_000, 200, COSTLY);
    assert!(costly >= 2, "{costly} forwarded");
}

#[test]
fn attempts_at_unresponsive_servers_take_no_slots_from_other_servers() {
    let mut limiter = limiter_under_pressure();
    relieve(&mut limiter);
    limiter.advance(10.0);
    let mut num_fitting = 0;
    for id in 60_000..60_100 {
        let actions = limiter.submit(request(id, NON_IDEMPOTENT, UNLIMITED));
        num_fitting += usize::from(is_forwarded(&actions));
    }
    // The other requests are queued, and rejected after a quarter of the latency objective. The attempts
    // count as unresponsive after 0.4 of the objective.
    limiter.advance(600.0);
    limiter.change_endpoints((10..14).map(endpoint).collect());
    let num_more = forwarded_of_burst(&mut limiter, 70_000, 100, CHEAP);
    assert!(num_more * 2 >= num_fitting, "{num_more} after {num_fitting}");
}

#[test]
fn the_slot_limit_rises_again_when_responses_are_fast() {
    let mut limiter = limiter_under_pressure();
    let before = forwarded_of_burst(&mut limiter, 30_000, 200, CHEAP);
    limiter.advance(2900.0);
    respond_to_all(&mut limiter, 30_000..30_200, SLOW_MS);
    relieve(&mut limiter);
    let after = forwarded_of_burst(&mut limiter, 60_000, 200, CHEAP);
    assert!(after > before, "{before} before, {after} after");
}

/// Guards against a cancellation that releases the slots immediately while the server continues the work.
#[test]
fn a_cancelled_attempt_occupies_its_slots_for_a_while() {
    let num_fitting = forwarded_of_burst(&mut limiter_under_pressure(), 30_000, 100, CHEAP);
    let ids = 30_000..30_000 + num_fitting as u32;
    let mut limiter = limiter_under_pressure();
    for id in ids.clone() {
        let actions = limiter.submit(request(id, NON_IDEMPOTENT, UNLIMITED));
        assert_eq!(forwarded_to(&actions).len(), 1, "request {id}");
    }
    for id in ids {
        limiter.end_attempt(id, 0, Outcome::Cancelled, SLOW_MS);
    }
    let num_more = forwarded_of_burst(&mut limiter, 31_000, 100, CHEAP);
    assert!(num_more * 2 < num_fitting, "{num_more} after {num_fitting}");
}

/// Guards against a server that did not respond in an overload being treated as restarted. Such a server
/// would get almost no requests for the duration of a slow start.
#[test]
fn a_server_that_was_unresponsive_has_its_full_share_once_it_responds() {
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
    assert!(forwarded_of_burst(&mut limiter, 100, 10, CHEAP) >= 5);
}
