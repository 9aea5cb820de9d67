//! What is harmless at one limiter must be harmless at hundreds: claims about a whole fleet, with limiters that share
//! servers and customers and whose messages are late and lost.

mod common;

use common::*;
use limiter_core::*;

const FLEET_SIZE: u32 = 100;

/// A customer of 80 limiters, at the plan of 6 units a second and a burst of 12.
fn of_customer_with_80_members(id: RequestId) -> Request {
    Request { member_count: 80, first_member: 35, ..request(id, IDEMPOTENT, WITH_RATE) }
}

/// Guards against what one limiter lets through without asking, times eighty.
#[test]
fn a_quota_holds_over_eighty_members() {
    let mut fleet = TestFleet::new(FLEET_SIZE, 20, 1);
    fleet.network.loss = 0.05;
    let quota = 12.0 + 6.0 * 8.0;
    let units = f64::from(fleet.run(30.0, 8.0, of_customer_with_80_members));
    assert!(units <= 1.15 * quota, "{units} units forwarded, {quota} allowed");
    assert!(units >= 0.85 * quota, "{units} units forwarded of {quota}: the quota is wasted");
}

/// Without a reply from any owner the members still spend about the quota together, neither each its own request nor
/// nothing.
#[test]
fn eighty_members_without_owners_spend_about_the_quota() {
    let mut fleet = TestFleet::new(FLEET_SIZE, 20, 2);
    fleet.network.loss = 1.0;
    let quota = 12.0 + 6.0 * 12.0;
    let units = f64::from(fleet.run(30.0, 12.0, of_customer_with_80_members));
    assert!(units <= 1.25 * quota, "{units} units forwarded, {quota} allowed");
    assert!(units >= 0.6 * quota, "{units} units forwarded of {quota}: the quota is wasted");
}

/// At any limiter, without a quota.
fn without_quota(id: RequestId) -> Request {
    Request { member_count: FLEET_SIZE, ..request(id, IDEMPOTENT, UNLIMITED) }
}

/// Six in ten servers are replaced: what the fleet may forward to a cold one is forwarded, whichever limiters meet
/// it, and no moment brings it more than it can stand.
#[test]
fn cold_servers_get_their_share_from_the_whole_fleet_and_no_more() {
    let mut fleet = TestFleet::new(FLEET_SIZE, 60, 3);
    fleet.run(400.0, 5.0, without_quota);
    let replaced_at = fleet.network.now;
    let cold = (100..136).map(|n| started_at(n, replaced_at));
    fleet.change_endpoints((24..60).map(draining).chain(cold).collect());
    let warm_per_s = 400.0 / 24.0;
    fleet.run(400.0, 2.0, without_quota);
    for n in 100..136 {
        let forwarded = fleet.num_forwarded_to(replaced_at, |to| to == n) as f64;
        // A cold server has a fifth of its capacity, and fails under three times that in 2 s.
        assert!(forwarded <= 3.0 * 0.2 * warm_per_s * 2.0, "{forwarded} attempts in 2 s at cold server {n}");
    }
    let to_draining = fleet.num_forwarded_to(replaced_at, |n| (24..60).contains(&n));
    assert_eq!(to_draining, 0, "nothing new to draining servers");
    fleet.run(400.0, 3.0, without_quota);
    let half_warm_at = fleet.network.now;
    let all = fleet.run(400.0, 2.0, without_quota) as usize;
    let to_cold = fleet.num_forwarded_to(half_warm_at, |n| n >= 100);
    assert!(to_cold * 4 >= all, "{to_cold} of {all} attempts at 36 servers that are half warm");
}

/// Limiters that have just started, as most do in a release, use cold servers from their first seconds on.
#[test]
fn limiters_that_have_just_started_use_cold_servers() {
    let mut fleet = TestFleet::new(FLEET_SIZE, 24, 4);
    let started = fleet.network.now - 5000.0;
    fleet.change_endpoints((100..136).map(|n| started_at(n, started)).collect());
    fleet.run(400.0, 1.0, without_quota);
    let now = fleet.network.now;
    let all = fleet.run(400.0, 1.5, without_quota) as usize;
    let to_cold = fleet.num_forwarded_to(now, |n| n >= 100);
    assert!(to_cold * 10 >= all * 3, "{to_cold} of {all} attempts at 36 servers that are half warm");
}

/// One of 6,000 customers, each far inside its quota, with requests at 160 of 200 limiters.
fn of_customer_inside_quota(id: RequestId) -> Request {
    let customer = u64::from(id % CLIENT_RETRY_ID_STEP) % 6000;
    Request {
        customer,
        member_count: 160,
        first_member: (customer * 13 % 200) as u32,
        ..request(id, IDEMPOTENT, WITH_RATE)
    }
}

/// For some seconds no message arrives, so that each request asks its owners again and again, more than the allowance
/// for messages lets through, and clients that are rejected come again. Guards against a queue that outlives this:
/// replies that wait behind it come too late, are asked for again and keep it long.
#[test]
fn gossip_recovers_after_a_backlog_of_lost_quota_requests() {
    let mut fleet = TestFleet::new(200, 20, 5);
    fleet.max_client_attempts = 3;
    fleet.run(5000.0, 2.0, of_customer_inside_quota);
    fleet.network.loss = 1.0;
    fleet.run(5000.0, 3.0, of_customer_inside_quota);
    fleet.network.loss = 0.02;
    fleet.run(5000.0, 3.0, of_customer_inside_quota);
    let forwarded = fleet.run(5000.0, 2.0, of_customer_inside_quota);
    assert!(forwarded >= 9000, "{forwarded} of 10000 requests inside their quotas were forwarded");
}

/// While no message arrives at all, customers far inside their quotas go on being served, as before, and soon: each
/// member alone has a hundredth of a request for each.
#[test]
fn customers_inside_their_quota_are_served_while_all_owners_are_silent() {
    let mut fleet = TestFleet::new(200, 20, 7);
    fleet.run(3000.0, 2.0, of_customer_inside_quota);
    fleet.network.loss = 1.0;
    fleet.run(3000.0, 1.0, of_customer_inside_quota);
    let messages_before = fleet.network.messages_sent;
    let forwarded = fleet.run(3000.0, 2.0, of_customer_inside_quota);
    assert!(forwarded >= 5400, "{forwarded} of 6000 requests were forwarded");
    let messages = fleet.network.messages_sent - messages_before;
    // Some four a second for each limiter, to find when the others are back, and a few more until all seem silent.
    assert!(messages <= 200 * 2 * 8, "{messages} messages to owners that receive none");
    fleet.network.loss = 0.0;
    fleet.run(3000.0, 1.0, of_customer_inside_quota);
    let messages_before = fleet.network.messages_sent;
    fleet.run(3000.0, 1.0, of_customer_inside_quota);
    assert!(fleet.network.messages_sent - messages_before > 3000, "owners are asked again");
}

/// A customer known to demand ten times its quota is held to a few times that by chance, though no owner keeps its
/// quota.
#[test]
fn a_greedy_customer_gains_little_while_all_owners_are_silent() {
    let mut fleet = TestFleet::new(FLEET_SIZE, 20, 8);
    fleet.run(60.0, 4.0, of_customer_with_80_members);
    fleet.network.loss = 1.0;
    let units = f64::from(fleet.run(60.0, 6.0, of_customer_with_80_members));
    let quota = 6.0 * 6.0;
    assert!(units <= 3.0 * quota, "{units} units forwarded, {quota} allowed, ten times as much demanded");
}

/// One of 100 customers, each of 100 limiters of 300: one in ten demands three times its quota, one in five nearly
/// all of it.
fn of_customer_on_a_quiet_day(id: RequestId) -> Request {
    // Requests come in turns of 200 slots for 100 customers.
    let slot = u64::from(id) * 7919 % 200;
    let customer = if slot < 60 {
        slot % 10
    } else if slot < 96 {
        10 + slot % 20
    } else {
        30 + slot % 70
    };
    Request {
        customer,
        member_count: 100,
        first_member: (customer * 37 % 300) as u32,
        ..request(id, IDEMPOTENT, WITH_RATE)
    }
}

/// On a quiet day hundreds of limiters together keep the quotas, though messages get lost and limiters start again
/// with nothing: what passes beyond is at most a tenth of what passes inside.
#[test]
fn three_hundred_limiters_keep_the_quotas_over_restarts_and_losses() {
    const LIMITERS: u32 = 300;
    const SERVERS: u32 = 60;
    let mut fleet = TestFleet::new(LIMITERS, SERVERS, 6);
    fleet.network.loss = 0.05;
    // 6 units a second for each of 100 customers is 600; heavy ones demand 18 of it.
    let requests_per_s = 600.0;
    let (mut inside, mut beyond) = (0u32, 0u32);
    let mut quotas = vec![ReferenceBucket::full(6.0, 12.0, fleet.network.now); 100];
    for second in 0..10 {
        let num_before = fleet.forwarded.len();
        fleet.run(requests_per_s, 1.0, of_customer_on_a_quiet_day);
        for attempt in &fleet.forwarded[num_before..] {
            let customer = of_customer_on_a_quiet_day(attempt.id).customer;
            if quotas[customer as usize].try_take(1.0, attempt.at) {
                inside += 1;
            } else {
                beyond += 1;
            }
        }
        // One in ten limiters each other second, drawn by number.
        for position in (0..LIMITERS).filter(|position| second % 2 == 1 && position % 10 == second) {
            let seed = 1000 + u64::from(second * LIMITERS + position);
            fleet.restart(position as usize, settings_among(LIMITERS, position), SERVERS, seed);
        }
    }
    assert!(beyond * 10 <= inside, "{beyond} units beyond the quotas, {inside} inside");
    assert!(inside >= 3500, "{inside} units inside the quotas were forwarded of some 4,500 demanded");
}

/// Endpoint lists are subscribed to, and discovery tells a third of the limiters that servers are draining while it
/// fails the others: these learn it from their peers within the time after which a change counts as announced, 6 s,
/// and forward nothing there. What a peer says of a server holds until discovery names it, and not for its next
/// start.
#[test]
fn limiters_that_discovery_fails_learn_of_departed_servers_from_their_peers() {
    const LIMITERS: u32 = 60;
    let mut fleet = TestFleet::with_settings(LIMITERS, 24, 9, |position| Settings {
        must_subscribe: true,
        ..settings_among(LIMITERS, position)
    });
    fleet.network.loss = 0.05;
    let without_quota =
        |id: RequestId| Request { member_count: LIMITERS, ..request(id, IDEMPOTENT, UNLIMITED) };
    fleet.run(400.0, 1.0, without_quota);
    for position in 0..LIMITERS as usize {
        let list = endpoints_changed((0..8).map(draining).collect());
        fleet.handle(position, if position.is_multiple_of(3) { list } else { Event::WatchFailed });
    }
    fleet.run(400.0, 0.2, without_quota);
    let at_once = fleet.num_forwarded_to(fleet.network.now - 200.0, |n| n < 8);
    assert!(at_once > 0, "others have not learned of it at once");
    let messages_before = fleet.network.messages_sent;
    fleet.run(400.0, 5.0, without_quota);
    let messages = fleet.network.messages_sent - messages_before;
    // Two polls a second and a reply to each, of two thirds of the limiters.
    assert!(messages <= 40 * 2 * 2 * 5 + 80, "{messages} messages");
    let learned_at = fleet.network.now;
    fleet.run(400.0, 2.0, without_quota);
    assert_eq!(fleet.num_forwarded_to(learned_at, |n| n < 8), 0);
    let back = |n: u32| started_at(n, if n < 4 { 0.0 } else { learned_at });
    fleet.change_endpoints((0..8).map(back).collect());
    let back_at = fleet.network.now;
    fleet.run(400.0, 2.0, without_quota);
    assert!(fleet.num_forwarded_to(back_at, |n| n < 4) > 0, "discovery says that they are back");
}
