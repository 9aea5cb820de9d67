//! Quotas that several limiters share: a member spends its even share, requests grants from the owners, sheds
//! excess load, and decides by its even share while no owner replies.

mod common;
use common::*;
use limiter_core::*;

/// Evenly spaced requests of one unit and one customer, distributed over all limiters.
struct Load {
    /// Number of limiters, which are all members of the quota.
    limiters: u32,
    seconds: u32,
    requests_per_s: u32,
    /// Probability that a gossip message is lost.
    loss_probability: f64,
}

/// The result of a load.
struct LoadResult {
    admitted_units: f64,
    /// Gossip messages of all limiters.
    messages_sent: u32,
}

impl Load {
    /// Runs the load on a new network. Servers send good responses to all forwarded requests.
    fn run(&self) -> LoadResult {
        let mut network = TestNetwork::new(self.limiters, 3, 5);
        network.loss_probability = self.loss_probability;
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

/// Returns a load of 100 requests in 20 s, which is less than the quota.
fn load_within_quota(limiters: u32) -> Load {
    Load { limiters, seconds: 20, requests_per_s: 5, loss_probability: 0.0 }
}

#[test]
fn a_quota_is_shared_exactly_by_any_number_of_limiters() {
    for limiters in [1, 2, 3, 40] {
        let load = Load { limiters, seconds: 30, requests_per_s: 20, loss_probability: 0.0 };
        let units = load.run().admitted_units;
        // 6 units per second for 30 s, and a burst of 12: 192 units.
        assert!((170.0..=196.0).contains(&units), "{units} units at {limiters} limiters");
    }
}

/// Guards against a member that decides by its even share only: with hundreds of limiters the share is less
/// than one request.
#[test]
fn demand_within_the_quota_is_admitted_at_any_number_of_members() {
    for limiters in [3, 40, 200] {
        let units = load_within_quota(limiters).run().admitted_units;
        assert!(units >= 98.0, "{units} of 100 units at {limiters} limiters");
    }
}

/// Guards against gossip to all other limiters, whose cost grows with the square of their number.
#[test]
fn the_number_of_messages_grows_with_requests_and_not_with_limiters() {
    let with_few_limiters = load_within_quota(10).run().messages_sent;
    let with_many_limiters = load_within_quota(200).run().messages_sent;
    assert!(
        with_many_limiters <= with_few_limiters * 5 / 4,
        "{with_few_limiters} messages of 10 limiters, {with_many_limiters} of 200"
    );
    assert!(with_many_limiters <= 250, "{with_many_limiters} messages");
}

#[test]
fn quota_requests_are_repeated_when_messages_are_lost() {
    let units = Load { loss_probability: 0.1, ..load_within_quota(40) }.run().admitted_units;
    assert!(units >= 95.0, "{units} of 100 units");
}

/// Guards against a customer far above its quota, whose requests flood the owner with quota requests.
#[test]
fn excess_load_is_shed_at_random_before_it_costs_quota_requests() {
    let load = Load { limiters: 3, seconds: 20, requests_per_s: 200, loss_probability: 0.0 };
    let LoadResult { admitted_units, messages_sent } = load.run();
    // 6 units per second for 20 s, and a burst of 12: 132 units.
    assert!((110.0..=140.0).contains(&admitted_units), "{admitted_units} units");
    // Two thirds of the 4000 requests do not arrive at the first owner. A quota request and a reply for each
    // of them would be 5300 messages.
    assert!(messages_sent < 1200, "{messages_sent} messages");
}

/// Guards against excess load that is not shed under a quota on attempts in flight. Such a load would need
/// more messages than the send allowance permits, and the messages beyond the allowance would be lost.
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
    // For 4 s after a reply, members shed load according to the demand that the reply reports.
    network.advance(4100.0);
    let mut actions = network.submit(0, request(50, NON_IDEMPOTENT, WITH_MAX_IN_FLIGHT));
    actions.extend(network.advance(200.0));
    assert_eq!(num_forwarded(&actions), 1, "requests that have ended must no longer be in flight");
}

/// Guards against making every request wait for the owner's reply. A request is forwarded immediately if its
/// quota is known to have units left, or is not known yet. The owner debits the request nevertheless.
#[test]
fn a_customer_with_units_left_does_not_wait_for_a_reply() {
    for plan in [WITH_RATE, WITH_CEILING] {
        let mut network = TestNetwork::new(LIMITERS, 3, 5);
        // A ceiling starts fully spent, and is full after this time.
        network.advance(8000.0);
        for id in 0..LIMITERS {
            let actions = network.submit(id as usize, request(id, IDEMPOTENT, plan));
            assert_eq!(num_forwarded(&actions), 1, "plan {plan} at limiter {id}");
            network.advance(100.0);
        }
    }
    // Of a burst of 12 units, each member spends up to 4 without asking an owner. Later requests are admitted
    // from the units that are left.
    let load = Load { limiters: 3, seconds: 1, requests_per_s: 60, loss_probability: 0.0 };
    let units = load.run().admitted_units;
    assert!((12.0..=20.0).contains(&units), "{units} units");
}

/// Returns whether an action forwards the request with this id.
fn is_request_forwarded(actions: &[LimiterAction], request_id: RequestId) -> bool {
    actions.iter().any(|entry| matches!(entry.action, Action::Forward { id, .. } if id == request_id))
}

/// The time after which a reply is late follows the measured round trips, so it may grow while a reply is
/// awaited. Guards against a lost reply whose check comes before the longer time has passed and is not
/// repeated: the request would wait until its latency objective.
#[test]
fn a_lost_reply_is_detected_even_if_round_trips_become_longer() {
    let mut network = TestNetwork::new(2, 3, 5);
    network.advance(500.0);
    network.delay_ms = 42.0..43.0;
    let request_of =
        |id, customer| Request { member_count: 2, customer, ..request(id, IDEMPOTENT, WITH_MAX_IN_FLIGHT) };
    let waits_for_peer = |id: &RequestId| network.submit(0, request_of(*id, u64::from(*id))).is_empty();
    let with_slow_reply = (0..32).find(waits_for_peer).expect("a customer whose owner is the peer");
    let with_lost_reply = 100;
    network.loss_probability = 1.0;
    network.submit(0, request_of(with_lost_reply, u64::from(with_slow_reply)));
    network.loss_probability = 0.0;
    assert!(
        is_request_forwarded(&network.advance(104.0), with_slow_reply),
        "the request must be forwarded after a slow reply"
    );
    assert!(
        is_request_forwarded(&network.advance(150.0), with_lost_reply),
        "the request must be forwarded after a repeated quota request"
    );
}

/// Number of members in the tests in which no owner replies.
const TWELVE_MEMBERS: u32 = 12;

/// Returns a request of a customer with twelve members.
fn request_with_twelve_members(id: RequestId, plan: usize) -> Request {
    Request { member_count: TWELVE_MEMBERS, ..request(id, IDEMPOTENT, plan) }
}

/// Returns whether the limiter at this position does not own the customer's quota: while all peers are
/// silent, such a limiter neither forwards nor rejects a request immediately. The request has a quota on
/// attempts in flight, for which an owner is always asked.
fn is_not_an_owner(position: u32) -> bool {
    let mut limiter = TestLimiter::new(settings_among(TWELVE_MEMBERS, position), 3);
    let on_arrival = limiter.submit(request_with_twelve_members(1, WITH_MAX_IN_FLIGHT));
    let later = limiter.advance(30.0);
    !is_forwarded(&on_arrival) && !is_forwarded(&later) && !is_rejected(&on_arrival)
}

/// Returns the units that a member admits at two requests per second while all owners are silent.
fn units_admitted_without_owners(plan: usize, requests: u32) -> usize {
    let position =
        (0..TWELVE_MEMBERS).find(|position| is_not_an_owner(*position)).expect("there are three owners");
    let mut limiter = TestLimiter::new(settings_among(TWELVE_MEMBERS, position), 3);
    let mut units = 0;
    for id in 0..requests {
        units += forwarded_to(&limiter.submit(request_with_twelve_members(id, plan))).len();
        units += forwarded_to(&limiter.advance(500.0)).len();
        limiter.respond(id, 5.0);
    }
    units
}

#[test]
fn a_member_spends_its_even_share_while_no_owner_replies() {
    // A twelfth of 6 units per second for 60 s is 30 units.
    let units = units_admitted_without_owners(WITH_RATE, 120);
    assert!((10..=40).contains(&units), "{units} units");
    assert!(units_admitted_without_owners(WITH_MAX_IN_FLIGHT, 120) > 0);
}

#[test]
fn no_units_are_spent_under_a_ceiling_while_no_owner_replies() {
    assert_eq!(units_admitted_without_owners(WITH_CEILING, 60), 0);
}

/// Some of the member ranges are empty, wrap around, or have more members than there are limiters.
#[test]
fn customers_with_any_member_range_are_served() {
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
