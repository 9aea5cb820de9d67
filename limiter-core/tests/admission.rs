//! Admission by slots: the slot limit that follows latency, the slots that a request takes by its cost, the queue for
//! what does not fit, and the release of slots.

mod common;
use std::ops::Range;

use common::*;
use limiter_core::*;

/// Submits `num` requests of `cost_units` and counts those forwarded at once.
fn forwarded_of_burst(limiter: &mut TestLimiter, first_id: RequestId, num: u32, cost_units: f64) -> usize {
    let costing = |id| Request { cost_units, ..request(id, WITH_KEY, UNLIMITED) };
    (first_id..first_id + num).map(|id| forwarded_to(&limiter.submit(costing(id))).len()).sum()
}

fn respond_to_all(limiter: &mut TestLimiter, ids: Range<RequestId>, elapsed_ms: Millis) {
    for id in ids {
        limiter.respond(id, elapsed_ms);
    }
}

/// A limiter whose servers have responded slowly for two seconds, to cheap and costly requests.
fn limiter_under_pressure() -> TestLimiter {
    let mut limiter = TestLimiter::new(settings(0), 4);
    for round in 0..20 {
        let ids = round * 100..round * 100 + 10;
        for id in ids.clone() {
            let cost_units = if id % 2 == 0 { 1.0 } else { 8.0 };
            limiter.submit(Request { cost_units, ..request(id, WITH_KEY, UNLIMITED) });
        }
        limiter.advance(100.0);
        respond_to_all(&mut limiter, ids, 900.0);
    }
    limiter.advance(100.0);
    limiter
}

/// A limiter under pressure whose servers stayed slow for `rounds` tenths of a second more, while costly requests
/// came.
fn limiter_under_costly_load(rounds: u32) -> TestLimiter {
    let mut limiter = limiter_under_pressure();
    for round in 0..rounds {
        let ids = 200_000 + round * 100..200_030 + round * 100;
        forwarded_of_burst(&mut limiter, ids.start, 30, 8.0);
        limiter.advance(100.0);
        respond_to_all(&mut limiter, ids, 900.0);
    }
    limiter.advance(3000.0);
    limiter
}

/// Quick responses for six seconds, to six requests in each tenth of a second.
fn relieve(limiter: &mut TestLimiter) {
    for round in 0..60 {
        let ids = 40_000 + round * 100..40_006 + round * 100;
        forwarded_of_burst(limiter, ids.start, 6, 1.0);
        limiter.advance(100.0);
        respond_to_all(limiter, ids, 50.0);
    }
}

#[test]
fn the_slot_limit_does_not_bind_while_latency_is_good() {
    let mut limiter = TestLimiter::new(settings(0), 4);
    assert_eq!(forwarded_of_burst(&mut limiter, 0, 500, 1.0), 500);
}

#[test]
fn slow_responses_lower_the_slot_limit_and_what_does_not_fit_is_queued_then_rejected() {
    let mut limiter = limiter_under_pressure();
    let forwarded = forwarded_of_burst(&mut limiter, 10_000, 300, 1.0);
    assert!((1..100).contains(&forwarded), "{forwarded}");
    let rejected = num_rejected(&limiter.advance(500.0));
    assert_eq!(rejected, 300 - forwarded, "requests that never ran are rejected, not failed");
}

#[test]
fn a_costly_request_takes_more_slots_than_a_cheap_one_under_pressure() {
    // Queued requests make Re positive, so that numBigQueries falls and alpha rises.
    let cheap = forwarded_of_burst(&mut limiter_under_costly_load(30), 50_000, 200, 1.0);
    let costly = forwarded_of_burst(&mut limiter_under_costly_load(30), 50_000, 200, 8.0);
    assert!(costly < cheap, "{costly} costly, {cheap} cheap");
}

/// Guards against an alpha that rises until one costly request takes the whole slot limit.
#[test]
fn a_costly_request_never_takes_the_whole_slot_limit() {
    let costly = forwarded_of_burst(&mut limiter_under_costly_load(500), 50_000, 200, 8.0);
    assert!(costly >= 2, "{costly}");
}

#[test]
fn attempts_at_unresponsive_servers_take_no_slots_from_other_servers() {
    let mut limiter = limiter_under_pressure();
    relieve(&mut limiter);
    limiter.advance(10.0);
    let submitted = (60_000..60_100).map(|id| limiter.submit(request(id, NON_IDEMPOTENT, UNLIMITED)));
    let num_fitting = submitted.filter(|actions| is_forwarded(actions)).count();
    // The rest is queued and rejected after a quarter of the latency objective; the attempts count as unresponsive
    // after 0.4 of it.
    limiter.advance(600.0);
    limiter.change_endpoints((10..14).map(endpoint).collect());
    let num_more = forwarded_of_burst(&mut limiter, 70_000, 100, 1.0);
    assert!(num_more * 2 >= num_fitting, "{num_more} after {num_fitting}");
}

#[test]
fn the_slot_limit_rises_again_when_responses_are_quick() {
    let mut limiter = limiter_under_pressure();
    let before = forwarded_of_burst(&mut limiter, 30_000, 200, 1.0);
    limiter.advance(2900.0);
    respond_to_all(&mut limiter, 30_000..30_200, 900.0);
    relieve(&mut limiter);
    let after = forwarded_of_burst(&mut limiter, 60_000, 200, 1.0);
    assert!(after > before, "{before} before, {after} after");
}

/// Guards against a cancellation that frees its slots at once, though the server goes on with the work.
#[test]
fn a_cancelled_attempt_keeps_its_slots_for_a_moment() {
    let num_fitting = forwarded_of_burst(&mut limiter_under_pressure(), 30_000, 100, 1.0);
    let ids = 30_000..30_000 + num_fitting as u32;
    let mut limiter = limiter_under_pressure();
    for id in ids.clone() {
        assert_eq!(forwarded_to(&limiter.submit(request(id, NON_IDEMPOTENT, UNLIMITED))).len(), 1);
    }
    for id in ids {
        limiter.end_attempt(id, 0, Outcome::Cancelled, 900.0);
    }
    let num_more = forwarded_of_burst(&mut limiter, 31_000, 100, 1.0);
    assert!(num_more * 2 < num_fitting, "{num_more} after {num_fitting}");
}

/// Guards against a server that gave no responses in an overload being taken for one that restarted, which would get
/// next to nothing for the time of a slow start.
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
    assert!(forwarded_of_burst(&mut limiter, 100, 10, 1.0) >= 5);
}
