//! The behaviour of a fleet of up to hundreds of limiters. The limiters share servers and customers, and
//! their messages are delayed and lost. An effect that is harmless at one limiter must not become harmful
//! when all limiters cause it together.

mod common;

use common::*;
use limiter_core::*;

/// Number of limiters in most tests.
const FLEET_SIZE: u32 = 100;
/// Units per second of the plan [`WITH_RATE`].
const QUOTA_RATE: f64 = 6.0;
/// Burst in units of the plan [`WITH_RATE`].
const QUOTA_BURST: f64 = 12.0;

/// Returns the units that a customer on the plan [`WITH_RATE`] may spend within this time, starting with a
/// full bucket.
fn quota_over(seconds: f64) -> f64 {
    QUOTA_BURST + QUOTA_RATE * seconds
}

/// Returns a request of a customer with 80 members, on the plan [`WITH_RATE`].
fn request_with_80_members(id: RequestId) -> Request {
    Request { member_count: 80, first_member: 35, ..request(id, IDEMPOTENT, WITH_RATE) }
}

/// Guards against members that each admit some requests without asking an owner: eighty members would admit
/// eighty times as many.
#[test]
fn a_quota_holds_across_eighty_members() {
    let mut fleet = TestFleet::new(FLEET_SIZE, 20, 1);
    fleet.network.loss_probability = 0.05;
    let quota = quota_over(8.0);
    let units = f64::from(fleet.run(30.0, 8.0, request_with_80_members));
    assert!(units <= 1.15 * quota, "{units} units forwarded, {quota} allowed");
    assert!(units >= 0.85 * quota, "{units} units forwarded of {quota}: the quota is wasted");
}

/// While no owner replies, the members together still spend about the quota. Guards against members that each
/// admit one request, and against members that admit none.
#[test]
fn eighty_members_without_owners_spend_about_the_quota() {
    let mut fleet = TestFleet::new(FLEET_SIZE, 20, 2);
    fleet.network.loss_probability = 1.0;
    let quota = quota_over(12.0);
    let units = f64::from(fleet.run(30.0, 12.0, request_with_80_members));
    assert!(units <= 1.25 * quota, "{units} units forwarded, {quota} allowed");
    assert!(units >= 0.6 * quota, "{units} units forwarded of {quota}: the quota is wasted");
}

/// Returns a request that may arrive at any limiter, without a quota.
fn request_without_quota(id: RequestId) -> Request {
    Request { member_count: FLEET_SIZE, ..request(id, IDEMPOTENT, UNLIMITED) }
}

/// Six in ten servers are replaced. The fleet forwards to each cold server the load that slow start allows,
/// regardless of which limiters use the server, and never more than the server can handle.
#[test]
fn cold_servers_get_their_share_from_the_whole_fleet_and_no_more() {
    let mut fleet = TestFleet::new(FLEET_SIZE, 60, 3);
    fleet.run(400.0, 5.0, request_without_quota);
    let replaced_at = fleet.network.now;
    let cold = (100..136).map(|n| started_at(n, replaced_at));
    fleet.change_endpoints(&(24..60).map(draining).chain(cold).collect::<Vec<_>>());
    let warm_per_s = 400.0 / 24.0;
    fleet.run(400.0, 2.0, request_without_quota);
    for n in 100..136 {
        let forwarded = fleet.num_forwarded_to(replaced_at, |to| to == n) as f64;
        // A cold server has a fifth of its capacity, and fails under three times that load for 2 s.
        assert!(forwarded <= 3.0 * 0.2 * warm_per_s * 2.0, "{forwarded} attempts in 2 s at cold server {n}");
    }
    let to_draining = fleet.num_forwarded_to(replaced_at, |n| (24..60).contains(&n));
    assert_eq!(to_draining, 0, "draining servers must get no new attempts");
    fleet.run(400.0, 3.0, request_without_quota);
    let halfway_at = fleet.network.now;
    let all = fleet.run(400.0, 2.0, request_without_quota) as usize;
    let to_cold = fleet.num_forwarded_to(halfway_at, |n| n >= 100);
    assert!(to_cold * 4 >= all, "{to_cold} of {all} attempts at 36 servers halfway through slow start");
}

/// Limiters that have just started, as most limiters have during a release, forward requests to cold servers
/// within their first seconds.
#[test]
fn limiters_that_have_just_started_use_cold_servers() {
    let mut fleet = TestFleet::new(FLEET_SIZE, 24, 4);
    let started = fleet.network.now - 5000.0;
    fleet.change_endpoints(&(100..136).map(|n| started_at(n, started)).collect::<Vec<_>>());
    fleet.run(400.0, 1.0, request_without_quota);
    let now = fleet.network.now;
    let all = fleet.run(400.0, 1.5, request_without_quota) as usize;
    let to_cold = fleet.num_forwarded_to(now, |n| n >= 100);
    assert!(to_cold * 10 >= all * 3, "{to_cold} of {all} attempts at 36 servers halfway through slow start");
}

/// Returns a request of one of 6,000 customers. Each customer has 160 of 200 limiters as members, and a
/// demand far below its quota.
fn request_within_quota(id: RequestId) -> Request {
    let customer = u64::from(id % CLIENT_RETRY_ID_STEP) % 6000;
    Request {
        customer,
        member_count: 160,
        first_member: (customer * 13 % 200) as u32,
        ..request(id, IDEMPOTENT, WITH_RATE)
    }
}

/// All messages are lost for some seconds. In this time each request causes repeated quota requests, which
/// exceed the send allowance, and rejected clients retry. Guards against a queue of messages that stays long
/// afterwards: replies at the end of the queue would arrive too late and be requested again, which would
/// lengthen the queue.
#[test]
fn gossip_recovers_after_a_backlog_of_lost_quota_requests() {
    let mut fleet = TestFleet::new(200, 20, 5);
    fleet.max_client_attempts = 3;
    fleet.run(5000.0, 2.0, request_within_quota);
    fleet.network.loss_probability = 1.0;
    fleet.run(5000.0, 3.0, request_within_quota);
    fleet.network.loss_probability = 0.02;
    fleet.run(5000.0, 3.0, request_within_quota);
    let forwarded = fleet.run(5000.0, 2.0, request_within_quota);
    assert!(forwarded >= 9000, "{forwarded} of 10000 requests within their quotas were forwarded");
}

/// While all messages are lost, customers far below their quotas are still served without delay, although the
/// even share of each member holds only a fraction of the units of one request.
#[test]
fn customers_within_their_quota_are_served_while_all_owners_are_silent() {
    let mut fleet = TestFleet::new(200, 20, 7);
    fleet.run(3000.0, 2.0, request_within_quota);
    fleet.network.loss_probability = 1.0;
    fleet.run(3000.0, 1.0, request_within_quota);
    let messages_before = fleet.network.messages_sent;
    let forwarded = fleet.run(3000.0, 2.0, request_within_quota);
    assert!(forwarded >= 5400, "{forwarded} of 6000 requests were forwarded");
    let messages = fleet.network.messages_sent - messages_before;
    // Each limiter sends about four messages per second, which test whether the owners reply again, and a few
    // more until it considers all owners silent.
    assert!(messages <= 200 * 2 * 8, "{messages} messages to silent owners");
    fleet.network.loss_probability = 0.0;
    fleet.run(3000.0, 1.0, request_within_quota);
    let messages_before = fleet.network.messages_sent;
    fleet.run(3000.0, 1.0, request_within_quota);
    assert!(fleet.network.messages_sent - messages_before > 3000, "owners must be asked again");
}

/// A customer that is known to demand ten times its quota gets at most three times the quota while no owner
/// replies, because the members admit its requests at random.
#[test]
fn a_greedy_customer_gets_at_most_three_times_its_quota_while_all_owners_are_silent() {
    let mut fleet = TestFleet::new(FLEET_SIZE, 20, 8);
    fleet.run(60.0, 4.0, request_with_80_members);
    fleet.network.loss_probability = 1.0;
    let units = f64::from(fleet.run(60.0, 6.0, request_with_80_members));
    let quota = QUOTA_RATE * 6.0;
    assert!(
        units <= 3.0 * quota,
        "{units} units forwarded with a quota of {quota}, ten times as much demanded"
    );
}

/// Number of customers of the mixed load.
const MIXED_LOAD_CUSTOMERS: usize = 100;

/// Returns a request of one of 100 customers, each of which has 100 of 300 limiters as members. One customer
/// in ten demands three times its quota, and one in five nearly all of its quota.
fn request_of_mixed_load(id: RequestId) -> Request {
    // Every 200 consecutive requests are distributed over the customers in the same scattered order.
    let index = u64::from(id) * 7919 % 200;
    let customer = if index < 60 {
        index % 10
    } else if index < 96 {
        10 + index % 20
    } else {
        30 + index % 70
    };
    Request {
        customer,
        member_count: 100,
        first_member: (customer * 37 % 300) as u32,
        ..request(id, IDEMPOTENT, WITH_RATE)
    }
}

/// Units that a fleet forwarded, compared with the quotas of the customers over all limiters.
struct QuotaUsage {
    /// The quota of each customer over all limiters.
    quotas: Vec<ReferenceBucket>,
    units_within: u32,
    units_beyond: u32,
}

impl QuotaUsage {
    fn new(now: Millis) -> Self {
        QuotaUsage {
            quotas: vec![ReferenceBucket::full(QUOTA_RATE, QUOTA_BURST, now); MIXED_LOAD_CUSTOMERS],
            units_within: 0,
            units_beyond: 0,
        }
    }

    /// Takes the unit of each forwarded request from the quota of its customer.
    fn debit(&mut self, attempts: &[ForwardedAttempt]) {
        for attempt in attempts {
            let customer = request_of_mixed_load(attempt.id).customer;
            if self.quotas[customer as usize].try_take(1.0, attempt.forwarded_at) {
                self.units_within += 1;
            } else {
                self.units_beyond += 1;
            }
        }
    }
}

/// Under a mixed load hundreds of limiters together enforce the quotas, although messages are lost and
/// limiters restart without any state: the units forwarded beyond the quotas are at most a tenth of those
/// within.
#[test]
fn three_hundred_limiters_enforce_the_quotas_despite_restarts_and_lost_messages() {
    const LIMITERS: u32 = 300;
    const SERVERS: u32 = 60;
    let mut fleet = TestFleet::new(LIMITERS, SERVERS, 6);
    fleet.network.loss_probability = 0.05;
    // The quotas of 100 customers are 6 units per second each. Heavy customers demand 18 units per second
    // each.
    let requests_per_s = 600.0;
    let mut usage = QuotaUsage::new(fleet.network.now);
    for second in 0..10 {
        let num_before = fleet.forwarded.len();
        fleet.run(requests_per_s, 1.0, request_of_mixed_load);
        usage.debit(&fleet.forwarded[num_before..]);
        // Every other second, one in ten limiters restarts.
        let is_restarted = |position: &u32| second % 2 == 1 && position % 10 == second;
        for position in (0..LIMITERS).filter(is_restarted) {
            let seed = 1000 + u64::from(second * LIMITERS + position);
            fleet.restart(position as usize, settings_among(LIMITERS, position), SERVERS, seed);
        }
    }
    let QuotaUsage { units_within, units_beyond, .. } = usage;
    assert!(
        units_beyond * 10 <= units_within,
        "{units_beyond} units beyond the quotas, {units_within} within"
    );
    assert!(units_within >= 3500, "{units_within} units within the quotas forwarded of about 4,500 demanded");
}

/// Number of limiters in the test of a partial failure of discovery.
const SUBSCRIBED_LIMITERS: u32 = 60;

/// Starts a fleet that subscribes to discovery.
fn subscribed_fleet() -> TestFleet {
    let settings =
        |position| Settings { must_subscribe: true, ..settings_among(SUBSCRIBED_LIMITERS, position) };
    let mut fleet = TestFleet::with_settings(SUBSCRIBED_LIMITERS, 24, 9, settings);
    fleet.network.loss_probability = 0.05;
    fleet
}

/// Returns a request that may arrive at any limiter of a [`subscribed_fleet`], without a quota.
fn request_at_subscribed_limiter(id: RequestId) -> Request {
    Request { member_count: SUBSCRIBED_LIMITERS, ..request(id, IDEMPOTENT, UNLIMITED) }
}

/// Discovery notifies a third of the limiters that servers are draining, and the watches of the other
/// limiters fail. Every limiter is expected to know a change within 6 s, so the other limiters must learn
/// from their peers by then that the servers are draining, and forward nothing to these servers afterwards.
/// What a peer reports about a server is valid until discovery announces the server, and does not apply to
/// the next start of the server.
#[test]
fn limiters_cut_off_from_discovery_learn_of_departed_servers_from_peers() {
    let mut fleet = subscribed_fleet();
    fleet.run(400.0, 1.0, request_at_subscribed_limiter);
    for position in 0..SUBSCRIBED_LIMITERS as usize {
        let is_notified = position.is_multiple_of(3);
        let announcement = endpoints_changed((0..8).map(draining).collect());
        fleet.handle(position, if is_notified { announcement } else { Event::WatchFailed });
    }
    fleet.run(400.0, 0.2, request_at_subscribed_limiter);
    let before_gossip = fleet.num_forwarded_to(fleet.network.now - 200.0, |n| n < 8);
    assert!(before_gossip > 0, "limiters without discovery learned of the change immediately");
    let messages_before = fleet.network.messages_sent;
    fleet.run(400.0, 5.0, request_at_subscribed_limiter);
    let messages = fleet.network.messages_sent - messages_before;
    // Two thirds of the limiters send two polls per second, each with one reply.
    assert!(messages <= 40 * 2 * 2 * 5 + 80, "{messages} messages");
    let learned_at = fleet.network.now;
    fleet.run(400.0, 2.0, request_at_subscribed_limiter);
    assert_eq!(fleet.num_forwarded_to(learned_at, |n| n < 8), 0, "draining servers must get no new attempts");
    // Half of the servers serve again without a restart, and the others after a restart.
    let serving_again = |n: u32| started_at(n, if n < 4 { 0.0 } else { learned_at });
    fleet.change_endpoints(&(0..8).map(serving_again).collect::<Vec<_>>());
    let serving_again_at = fleet.network.now;
    fleet.run(400.0, 2.0, request_at_subscribed_limiter);
    let forwarded = fleet.num_forwarded_to(serving_again_at, |n| n < 4);
    assert!(forwarded > 0, "servers that are announced as serving again must get attempts");
}
