//! What a quota owner keeps of its customers: what their requests really cost, one quota for each plan, and bounded
//! memory.

mod common;
use common::*;
use limiter_core::*;

#[test]
fn the_quota_is_corrected_by_the_units_that_a_request_really_cost() {
    let num_admitted_after = |actual_units: Option<f64>| {
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
    };
    let (after_four, after_estimate) = (num_admitted_after(Some(4.0)), num_admitted_after(None));
    assert_eq!(after_four + 3, after_estimate, "three more units were used than estimated");
}

/// Submits a request for each id; returns how many were forwarded at once.
fn num_forwarded_of(limiter: &mut TestLimiter, ids: std::ops::Range<RequestId>, plan: usize) -> usize {
    ids.filter(|id| is_forwarded(&limiter.submit(request(*id, IDEMPOTENT, plan)))).count()
}

/// A customer that changes its plan, or whose id is given to another on another plan, has a quota of its own on that
/// plan. Guards against a quota kept under one plan rejecting, or granting units to, the other.
#[test]
fn a_customer_on_another_plan_has_another_quota() {
    let mut limiter = TestLimiter::new(settings_of_only_limiter(), 3);
    let num_admitted = |limiter: &mut TestLimiter, plan: usize, first_id: RequestId| {
        let request = |id| Request { member_count: 1, ..request(id, IDEMPOTENT, plan) };
        (first_id..first_id + 40).filter(|id| is_forwarded(&limiter.submit(request(*id)))).count()
    };
    // The ceiling's bucket starts as if spent: a while of waiting fills it.
    limiter.advance(20_000.0);
    let first = num_admitted(&mut limiter, WITH_RATE, 0);
    assert_eq!(first, 12, "the burst of one plan");
    assert!(num_admitted(&mut limiter, WITH_CEILING, 100) > 12, "the other plan's quota is another one");
    limiter.advance(500.0);
    let again = num_admitted(&mut limiter, WITH_RATE, 200);
    assert!(again <= 4, "{again}: the first one's is as spent as it was");
}

/// Submits a request to a limiter without a clock of its own; if it is forwarded, it has a good response. Returns
/// whether it was forwarded.
fn submit_and_respond(limiter: &mut Limiter, now: Millis, request: Request) -> bool {
    let (id, mut actions) = (request.id, Vec::new());
    limiter.handle(now, Event::RequestArrived(request), &mut actions);
    let forwarded = is_forwarded(&actions);
    if forwarded {
        limiter.handle(now, attempt_ended(id, 0, Outcome::Ok, 50.0), &mut actions);
    }
    forwarded
}

/// New customers come in a flood, each once: the quotas not seen for longest are dropped sooner, so that what is kept
/// stays bounded; a customer that has spent its quota in the flood does not get a new one by it.
#[test]
fn a_flood_of_new_customers_keeps_memory_bounded_and_renews_no_quota() {
    const SECONDS: u32 = 60;
    const GREEDY_CUSTOMER: CustomerId = 1;
    let mut limiter = Limiter::new(settings_of_only_limiter(), 1, 0.0).expect("valid settings");
    let (mut next_id, mut now, mut greedy_units) = (0, 0.0, 0);
    limiter.handle(now, endpoints_replaced((0..3).map(endpoint).collect()), &mut Vec::new());
    let mut most = limiter.cache_sizes();
    for step in 0..10 * SECONDS {
        // 1,000 a second, and 20 of one customer that may have 6 and a burst of 12.
        for n in 0..102 {
            next_id += 1;
            let is_greedy = n < 2;
            let customer = if is_greedy { GREEDY_CUSTOMER } else { 1000 + u64::from(next_id) };
            let request = Request { member_count: 1, customer, ..request(next_id, IDEMPOTENT, WITH_RATE) };
            if submit_and_respond(&mut limiter, now, request) {
                greedy_units += u32::from(is_greedy);
            }
        }
        now += 100.0;
        limiter.handle(now, Event::TimerFired { token: TimerToken::ControlStep }, &mut Vec::new());
        let sizes = limiter.cache_sizes();
        most.member_quotas = most.member_quotas.max(sizes.member_quotas);
        most.owner_quotas = most.owner_quotas.max(sizes.owner_quotas);
        most.grants = most.grants.max(sizes.grants);
        assert_eq!(sizes.requests, 0, "at step {step}");
    }
    // Beyond 10,000 the time for which they are kept falls as their number grows.
    assert!(most.member_quotas <= 26_000 && most.owner_quotas <= 26_000, "{most:?}");
    assert!(most.grants <= 10 * 1020, "{most:?}");
    assert!(greedy_units <= 12 + 6 * SECONDS, "{greedy_units} units of one customer");
}
