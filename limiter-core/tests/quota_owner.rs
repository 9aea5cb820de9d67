//! The records of a quota owner: the actual cost of requests, one quota for each plan of a customer, and the
//! bounds on memory.

mod common;
use std::ops::Range;

use common::*;
use limiter_core::*;

/// Submits a request for each id and returns how many were forwarded immediately.
fn num_forwarded_of(limiter: &mut TestLimiter, ids: Range<RequestId>, plan: usize) -> usize {
    ids.filter(|id| is_forwarded(&limiter.submit(request(*id, IDEMPOTENT, plan)))).count()
}

/// Returns how many requests are admitted after one request of one estimated unit whose response reports
/// `actual_units`.
fn num_admitted_after(actual_units: Option<f64>) -> usize {
    let mut limiter = TestLimiter::new(settings_of_only_limiter(), 3);
    limiter.submit(request(1, IDEMPOTENT, WITH_RATE));
    limiter.handle(Event::AttemptEnded {
        id: 1,
        attempt: 0,
        outcome: Outcome::Ok,
        elapsed_ms: 5.0,
        request_finished: true,
        actual_units,
    });
    num_forwarded_of(&mut limiter, 2..30, WITH_RATE)
}

#[test]
fn the_quota_is_corrected_by_the_actual_cost_of_a_request() {
    let after_four_units = num_admitted_after(Some(4.0));
    let after_estimate = num_admitted_after(None);
    assert_eq!(after_four_units + 3, after_estimate, "the three units beyond the estimate must be debited");
}

/// A customer that changes its plan, or whose id is reused by a customer on another plan, has a separate
/// quota for that plan. Guards against deciding on requests of one plan by the quota of the other: requests
/// would be rejected, or granted units, by mistake.
#[test]
fn a_customer_has_a_separate_quota_for_each_plan() {
    let mut limiter = TestLimiter::new(settings_of_only_limiter(), 3);
    // The bucket of a ceiling starts fully spent, and is full after this time.
    limiter.advance(20_000.0);
    let first = num_forwarded_of(&mut limiter, 0..40, WITH_RATE);
    assert_eq!(first, 12, "the burst of the first plan must be admitted");
    let on_other_plan = num_forwarded_of(&mut limiter, 100..140, WITH_CEILING);
    assert!(on_other_plan > 12, "{on_other_plan} admitted: the other plan must have a separate quota");
    limiter.advance(500.0);
    let again = num_forwarded_of(&mut limiter, 200..240, WITH_RATE);
    assert!(again <= 4, "{again} admitted: the first quota must only be refilled for 500 ms");
}

/// Submits a request to a limiter without a test clock, and reports a good response if the limiter forwards
/// the request. Returns whether the request was forwarded.
fn submit_and_respond(limiter: &mut Limiter, now: Millis, request: Request) -> bool {
    let id = request.id;
    let mut actions = Vec::new();
    limiter.handle(now, Event::RequestArrived(request), &mut actions);
    let is_forwarded = is_forwarded(&actions);
    if is_forwarded {
        limiter.handle(now, attempt_ended(id, 0, Outcome::Ok, 50.0), &mut actions);
    }
    is_forwarded
}

/// A flood of new customers at one limiter, among them one customer that demands more than its quota.
struct CustomerFlood {
    limiter: Limiter,
    now: Millis,
    next_id: RequestId,
    /// Units admitted for [`CustomerFlood::GREEDY_CUSTOMER`].
    greedy_units: u32,
    requests_per_step: u32,
}

impl CustomerFlood {
    const GREEDY_CUSTOMER: CustomerId = 1;
    const REQUESTS_PER_STEP: u32 = 102;
    const GREEDY_REQUESTS_PER_STEP: u32 = 2;
    const STEPS_PER_S: u32 = 10;

    fn new() -> Self {
        CustomerFlood::with_requests_per_step(Self::REQUESTS_PER_STEP)
    }

    fn with_requests_per_step(requests_per_step: u32) -> Self {
        let mut limiter = Limiter::new(settings_of_only_limiter(), 1, 0.0).expect("valid settings");
        let endpoints = (0..3).map(endpoint).collect();
        limiter.handle(0.0, endpoints_replaced(endpoints), &mut Vec::new());
        CustomerFlood { limiter, now: 0.0, next_id: 0, greedy_units: 0, requests_per_step }
    }

    /// Submits the requests of a tenth of a second, advances the clock and triggers the control step. Each
    /// request is from a new customer, except those of the greedy customer.
    fn step(&mut self) {
        for n in 0..self.requests_per_step {
            self.next_id += 1;
            let is_greedy = n < Self::GREEDY_REQUESTS_PER_STEP;
            let customer = if is_greedy { Self::GREEDY_CUSTOMER } else { 1000 + u64::from(self.next_id) };
            let request =
                Request { member_count: 1, customer, ..request(self.next_id, IDEMPOTENT, WITH_RATE) };
            let is_forwarded = submit_and_respond(&mut self.limiter, self.now, request);
            if is_forwarded && is_greedy {
                self.greedy_units += 1;
            }
        }
        self.now += 1000.0 / f64::from(Self::STEPS_PER_S);
        let control_step = Event::TimerFired { token: TimerToken::ControlStep };
        self.limiter.handle(self.now, control_step, &mut Vec::new());
    }

    /// Returns the units that the quota of the greedy customer allowed until now: a burst of 12 units, and 6
    /// units per second.
    fn greedy_quota(&self) -> u32 {
        12 + (6.0 * self.now / 1000.0) as u32
    }
}

/// Guards against memory that grows with the rate at which a client names new customers: a single client at
/// full speed made a limiter use nearly all of its memory.
#[test]
fn the_number_of_records_does_not_grow_with_the_rate_of_new_customers() {
    /// New customers in each control step: as many as a limiter can serve on a whole core.
    const REQUESTS_PER_STEP: u32 = 2000;
    const STEPS: u32 = 100;
    let mut flood = CustomerFlood::with_requests_per_step(REQUESTS_PER_STEP);
    for _ in 0..STEPS {
        flood.step();
        let counts = flood.limiter.record_counts();
        assert!(counts.member_quotas <= 10_000, "{counts:?}");
        assert!(counts.owned_quotas <= 10_000, "{counts:?}");
        // The decisions of the last half second are retained in any case.
        assert!(counts.decisions <= 10_000 + 6 * REQUESTS_PER_STEP as usize, "{counts:?}");
    }
    assert!(flood.greedy_units <= flood.greedy_quota(), "{} units admitted", flood.greedy_units);
}

/// In a flood of new customers, the quotas that have not been used for the longest time are dropped earlier,
/// so that memory stays bounded. Guards against a flood that gives a new quota to a customer that has spent
/// its quota.
#[test]
fn a_flood_of_new_customers_neither_exceeds_the_memory_bounds_nor_renews_a_spent_quota() {
    const SECONDS: u32 = 60;
    let mut flood = CustomerFlood::new();
    let mut max_counts = flood.limiter.record_counts();
    for step in 0..SECONDS * CustomerFlood::STEPS_PER_S {
        flood.step();
        let counts = flood.limiter.record_counts();
        max_counts.member_quotas = max_counts.member_quotas.max(counts.member_quotas);
        max_counts.owned_quotas = max_counts.owned_quotas.max(counts.owned_quotas);
        max_counts.decisions = max_counts.decisions.max(counts.decisions);
        assert_eq!(counts.requests, 0, "at step {step}");
    }
    assert!(max_counts.member_quotas <= 26_000, "{max_counts:?}");
    assert!(max_counts.owned_quotas <= 26_000, "{max_counts:?}");
    // 1,020 requests per second, whose decisions are retained for about 10 s at most.
    assert!(max_counts.decisions <= 10 * 1020, "{max_counts:?}");
    assert!(flood.greedy_units <= flood.greedy_quota(), "{} units admitted", flood.greedy_units);
}
