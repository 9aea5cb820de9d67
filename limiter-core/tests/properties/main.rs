//! Invariants of limiters under arbitrary legal events, and properties of their state. The events are drawn
//! with a fixed seed.

#[path = "../common/mod.rs"]
mod common;
mod network;
mod observer;
mod steps;

use common::*;
use limiter_core::*;
use network::ObservedNetwork;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use steps::{any_step, Step};

/// Number of random runs.
const RUNS: u32 = 300;
/// Seed of the random runs, so that a failure can be repeated.
const SEED: [u8; 32] = [7; 32];

#[test]
fn the_invariants_hold_under_arbitrary_legal_events() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let config = Config { cases: RUNS, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let apply_all = |steps: Vec<Step>| {
        let mut network = ObservedNetwork::new();
        steps.into_iter().try_for_each(|step| network.apply(step))
    };
    runner.run(&prop::collection::vec(any_step(), 1..150), apply_all).expect("an invariant was violated");
}

#[test]
fn the_same_events_lead_to_the_same_actions() {
    assert_eq!(actions_of_fixed_run(), actions_of_fixed_run());
}

/// Runs a limiter with 400 requests, and returns all actions. The first attempt of every fifth request fails.
fn actions_of_fixed_run() -> Vec<Action> {
    let mut limiter = TestLimiter::new(settings(0), 5);
    let mut actions = Vec::new();
    for id in 0..400 {
        let request = Request { customer: u64::from(id % 9), ..request(id, IDEMPOTENT, WITH_RATE) };
        actions.extend(limiter.submit(request));
        actions.extend(limiter.advance(7.0));
        let outcome = if id % 5 == 0 { Outcome::Error } else { Outcome::Ok };
        actions.extend(limiter.end_attempt(id, 0, outcome, 9.0));
    }
    actions
}

#[test]
fn records_of_finished_requests_and_idle_customers_expire() {
    let mut limiter = TestLimiter::new(settings(0), 3);
    for id in 0..300 {
        limiter.submit(Request { customer: u64::from(id), ..request(id, IDEMPOTENT, WITH_RATE) });
        limiter.respond(id, 5.0);
    }
    let full_size = state_size(&limiter);
    limiter.advance(120_000.0);
    let size = state_size(&limiter);
    assert!(size < full_size / 3, "{size} of {full_size}");
}

/// Returns the size of a limiter's state, measured as the length of its debug output, which contains every
/// record.
fn state_size(limiter: &TestLimiter) -> usize {
    format!("{:?}", limiter.limiter).len()
}
