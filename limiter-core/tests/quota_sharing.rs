//! Quotas that the limiters of a customer share: each member spends, asks the quota owner, sheds load or, without any
//! owner, goes by its even share.

mod common;
use common::*;
use limiter_core::*;

/// Requests of one unit and one customer, evenly spaced and spread over all limiters.
struct Load {
    limiters: u32,
    seconds: u32,
    requests_per_s: u32,
    /// Probability that a gossip message is lost.
    loss: f64,
}

/// What the limiters made of a load.
struct LoadResult {
    admitted_units: f64,
    messages_sent: u32,
}

impl Load {
    fn run(&self) -> LoadResult {
        let mut network = TestNetwork::new(self.limiters, 3, 5);
        network.loss = self.loss;
        let mut admitted_units = 0.0;
        for id in 0..self.seconds * self.requests_per_s {
            let limiter = (id * 7 % self.limiters) as usize;
            let request = Request { member_count: self.limiters, ..request(id, IDEMPOTENT, WITH_RATE) };
            let mut actions = network.submit(limiter, request);
            actions.extend(network.advance(1000.0 / f64::from(self.requests_per_s)));
            admitted_units += network.respond_to_forwarded(&actions, 5.0) as f64;
        }
        LoadResult { admitted_units, messages_sent: network.messages_sent }
    }
}

/// 100 requests of one customer in 20 s, fewer than its quota allows.
fn load_within_quota(limiters: u32) -> Load {
    Load { limiters, seconds: 20, requests_per_s: 5, loss: 0.0 }
}

#[test]
fn a_quota_is_shared_exactly_by_any_number_of_limiters() {
    for limiters in [1, 2, 3, 40] {
        let load = Load { limiters, seconds: 30, requests_per_s: 20, loss: 0.0 };
        let units = load.run().admitted_units;
        // 6 units a second for 30 s and a burst of 12.
        assert!((170.0..=196.0).contains(&units), "{units} at {limiters} limiters");
    }
}

/// Guards against a member that goes by its even share alone: over hundreds of limiters it is less than one request.
#[test]
fn demand_within_the_quota_is_admitted_at_any_number_of_members() {
    for limiters in [3, 40, 200] {
        let units = load_within_quota(limiters).run().admitted_units;
        assert!(units >= 98.0, "{units} of 100 at {limiters} limiters");
    }
}

/// Guards against gossip to all other limiters, which costs the square of their number.
#[test]
fn messages_grow_with_requests_and_not_with_limiters() {
    let few = load_within_quota(10).run().messages_sent;
    let many = load_within_quota(200).run().messages_sent;
    assert!(many <= few * 5 / 4 && many <= 250, "{few} and {many}");
}

#[test]
fn quota_requests_are_repeated_when_messages_are_lost() {
    let units = Load { loss: 0.1, ..load_within_quota(40) }.run().admitted_units;
    assert!(units >= 95.0, "{units} of 100");
}

/// Guards against a customer far beyond its quota that floods its quota owner with quota requests.
#[test]
fn excess_load_is_shed_by_chance_before_it_costs_quota_requests() {
    let load = Load { limiters: 3, seconds: 20, requests_per_s: 200, loss: 0.0 };
    let LoadResult { admitted_units, messages_sent } = load.run();
    assert!((110.0..=140.0).contains(&admitted_units), "{admitted_units}");
    // 4000 requests, two thirds of them not at the owner: a quota request and a reply each would be 5300.
    assert!(messages_sent < 1200, "{messages_sent}");
}

/// Guards against excess load beyond a max-in-flight quota that is not shed and takes more messages than the
/// allowance: those beyond it are lost.
#[test]
fn excess_load_beyond_a_max_in_flight_quota_is_shed_too() {
    let mut network = TestNetwork::new(LIMITERS, 3, 5);
    for id in 0..2000u32 {
        network.submit((id % LIMITERS) as usize, request(id, NON_IDEMPOTENT, WITH_MAX_IN_FLIGHT));
        network.advance(5.0);
    }
    assert!(network.messages_sent < 1600, "{} messages for 2000 requests", network.messages_sent);
}

#[test]
fn a_max_in_flight_quota_holds_over_all_limiters() {
    let mut network = TestNetwork::new(LIMITERS, 3, 5);
    let mut actions = Vec::new();
    for id in 0..30 {
        let request = request(id, NON_IDEMPOTENT, WITH_MAX_IN_FLIGHT);
        actions.extend(network.submit((id % LIMITERS) as usize, request));
    }
    actions.extend(network.advance(200.0));
    assert_eq!(num_forwarded(&actions), 6);
    network.respond_to_forwarded(&actions, 5.0);
    // Until then members still shed load by the demand that a reply gave them.
    network.advance(4100.0);
    let mut actions = network.submit(0, request(50, NON_IDEMPOTENT, WITH_MAX_IN_FLIGHT));
    actions.extend(network.advance(200.0));
    assert_eq!(num_forwarded(&actions), 1, "what those that ended took is free again");
}

/// Guards against every request waiting for the reply of its quota owner: one of a customer whose quota is known to
/// have units, or not known yet, is forwarded at once, and its owner counts it all the same.
#[test]
fn a_customer_with_units_left_does_not_wait_for_a_reply() {
    for plan in [WITH_RATE, WITH_CEILING] {
        let mut network = TestNetwork::new(LIMITERS, 3, 5);
        // A ceiling starts as if spent.
        network.advance(8000.0);
        for id in 0..LIMITERS {
            let actions = network.submit(id as usize, request(id, IDEMPOTENT, plan));
            assert_eq!(num_forwarded(&actions), 1, "plan {plan} at limiter {id}");
            network.advance(100.0);
        }
    }
    // A burst of 12 units, 4 of them spent without asking: the requests that follow find what the others have left.
    let load = Load { limiters: 3, seconds: 1, requests_per_s: 60, loss: 0.0 };
    let units = load.run().admitted_units;
    assert!((12.0..=20.0).contains(&units), "{units}");
}

/// The time after which a reply counts as lost may grow while a quota request is out. Guards against a lost reply
/// that is then never missed, so that its request waits until its latency objective.
#[test]
fn a_lost_reply_is_missed_also_when_round_trips_have_grown() {
    let mut network = TestNetwork::new(2, 3, 5);
    network.advance(500.0);
    network.delay_ms = 42.0..43.0;
    let request_of =
        |id, customer| Request { member_count: 2, customer, ..request(id, IDEMPOTENT, WITH_MAX_IN_FLIGHT) };
    let waits_for_peer = |id: &RequestId| network.submit(0, request_of(*id, u64::from(*id))).is_empty();
    let with_slow_reply = (0..32).find(waits_for_peer).expect("a customer whose quota owner is the peer");
    let with_lost_reply = 100;
    network.loss = 1.0;
    network.submit(0, request_of(with_lost_reply, u64::from(with_slow_reply)));
    network.loss = 0.0;
    let is_forwarded = |actions: Vec<LimiterAction>, of: RequestId| {
        actions.iter().any(|done| matches!(done.action, Action::Forward { id, .. } if id == of))
    };
    assert!(is_forwarded(network.advance(104.0), with_slow_reply), "a slow reply");
    assert!(is_forwarded(network.advance(150.0), with_lost_reply), "the lost one is requested again");
}

/// Units that a member of twelve admits of a customer whose quota owners are all silent, at two requests a second.
fn admitted_without_owners(plan: usize, requests: u32) -> usize {
    let settings = |position| settings_among(12, position);
    let request = |id, plan| Request { member_count: 12, ..request(id, IDEMPOTENT, plan) };
    let is_no_owner = |position: &u32| {
        let mut limiter = TestLimiter::new(settings(*position), 3);
        // Under a max-in-flight quota the owners are always asked.
        let at_once = limiter.submit(request(1, WITH_MAX_IN_FLIGHT));
        let later = limiter.advance(30.0);
        !is_forwarded(&at_once) && !is_forwarded(&later) && !is_rejected(&at_once)
    };
    let position = (0..12).find(is_no_owner).expect("there are three owners");
    let mut limiter = TestLimiter::new(settings(position), 3);
    let mut units = 0;
    for id in 0..requests {
        units += forwarded_to(&limiter.submit(request(id, plan))).len();
        units += forwarded_to(&limiter.advance(500.0)).len();
        limiter.respond(id, 5.0);
    }
    units
}

#[test]
fn a_member_spends_its_even_share_while_no_owner_replies() {
    // A twelfth of 6 units a second for 60 s, or a customer that only owners may admit.
    let units = admitted_without_owners(WITH_RATE, 120);
    assert!((10..=40).contains(&units), "{units}");
    assert!(admitted_without_owners(WITH_MAX_IN_FLIGHT, 120) > 0);
}

#[test]
fn no_ceiling_is_spent_while_no_owner_replies() {
    assert_eq!(admitted_without_owners(WITH_CEILING, 60), 0);
}

/// Also member sets that are empty, that wrap around and that name more limiters than there are.
#[test]
fn customers_with_any_member_set_are_served() {
    for (member_count, first_member) in [(0, 0), (1, 2), (2, 2), (3, 7), (100, 1), (u32::MAX, u32::MAX)] {
        let mut network = TestNetwork::new(LIMITERS, 3, 1);
        network.advance(2000.0);
        for limiter in 0..LIMITERS {
            let request =
                Request { member_count, first_member, ..request(limiter, NON_IDEMPOTENT, WITH_CEILING) };
            let mut actions = network.submit(limiter as usize, request);
            actions.extend(network.advance(200.0));
            let forwarded = num_forwarded(&actions);
            assert_eq!(forwarded, 1, "limiter {limiter}, {member_count} members from {first_member}");
        }
    }
}
