//! What is harmless at one limiter must be harmless at a hundred: claims about the whole fleet, with limiters
//! that share servers and customers and whose messages are late and lost.

mod common;

use common::fleet::*;
use common::*;
use limiter_core::*;

const LIMITERS: u32 = 100;
/// A customer of 80 limiters, at the plan of 6 units a second and 12 at once.
fn wide(id: RequestId) -> Request {
    Request { member_count: 80, first_member: 35, ..request(id, SAFE, RATED) }
}

/// Guards against a gift for each member: what one limiter lets through without asking, eighty do.
#[test]
fn a_quota_holds_over_a_set_of_eighty() {
    let mut fleet = Fleet::of(LIMITERS, 20, 1);
    fleet.net.loss = 0.05;
    let quota = 12.0 + 6.0 * 8.0;
    let sent = f64::from(fleet.play(30.0, 8.0, wide));
    assert!(sent <= 1.15 * quota, "{sent} units sent on, {quota} allowed");
    assert!(sent >= 0.85 * quota, "{sent} units sent on of {quota}: the quota is wasted");
}

/// Without a word from any owner the members still spend about the quota together, neither each its own
/// request nor nothing.
#[test]
fn eighty_members_without_owners_spend_about_the_quota() {
    let mut fleet = Fleet::of(LIMITERS, 20, 2);
    fleet.net.loss = 1.0;
    let quota = 12.0 + 6.0 * 12.0;
    let sent = f64::from(fleet.play(30.0, 12.0, wide));
    assert!(sent <= 1.25 * quota, "{sent} units sent on, {quota} allowed");
    assert!(sent >= 0.6 * quota, "{sent} units sent on of {quota}: the quota is wasted");
}

/// Any limiter, no quota.
fn free(id: RequestId) -> Request {
    Request { member_count: LIMITERS, ..request(id, SAFE, FREE) }
}

/// Six in ten servers are replaced: what the fleet may send a cold one is sent, whichever limiters meet it, and
/// no moment brings it more than it can stand.
#[test]
fn cold_servers_get_their_part_from_the_whole_fleet_and_no_more() {
    let mut fleet = Fleet::of(LIMITERS, 60, 3);
    fleet.play(400.0, 5.0, free);
    let now = fleet.net.now;
    let draining = (24..60).map(|n| Endpoint { state: EndpointState::Draining, ..entry(n) });
    let cold = (100..136).map(|n| Endpoint { started_at: now, ..entry(n) });
    fleet.list(draining.chain(cold).collect());
    let per_warm = 400.0 / 24.0;
    fleet.play(400.0, 2.0, free);
    for n in 100..136 {
        let sent = fleet.sends_to(now, |to| to == n) as f64;
        // Cold share 0.2, falls over at three times what it can do for 2 s.
        assert!(sent <= 3.0 * 0.2 * per_warm * 2.0, "{sent} sends in 2 s to cold server {n}");
    }
    assert_eq!(fleet.sends_to(now, |n| (24..60).contains(&n)), 0, "nothing new to draining servers");
    fleet.play(400.0, 3.0, free);
    let now = fleet.net.now;
    let all = fleet.play(400.0, 2.0, free) as usize;
    let to_cold = fleet.sends_to(now, |n| n >= 100);
    assert!(to_cold * 4 >= all, "{to_cold} of {all} sends to 36 servers that are half warm");
}

/// Limiters that have just started, as most do in a release, warm cold servers from their first seconds on.
#[test]
fn limiters_that_have_just_started_use_cold_servers() {
    let mut fleet = Fleet::of(LIMITERS, 24, 4);
    let started = fleet.net.now - 5000.0;
    fleet.list((100..136).map(|n| Endpoint { started_at: started, ..entry(n) }).collect());
    fleet.play(400.0, 1.0, free);
    let now = fleet.net.now;
    let all = fleet.play(400.0, 1.5, free) as usize;
    let to_cold = fleet.sends_to(now, |n| n >= 100);
    assert!(to_cold * 10 >= all * 3, "{to_cold} of {all} sends to 36 servers that are half warm");
}

/// One of 6,000 customers, each far inside its quota, with requests at 160 of 200 limiters.
fn calm(id: RequestId) -> Request {
    let customer = u64::from(id % AGAIN) % 6000;
    Request {
        customer,
        member_count: 160,
        first_member: (customer * 13 % 200) as u32,
        ..request(id, SAFE, RATED)
    }
}

/// For some seconds no message arrives, so that each request asks its owners again and again, more than the allowance
/// for messages lets through, and clients that are refused come again. Guards against a queue that outlives this: words
/// that wait behind it come too late, are asked for again and keep it long.
#[test]
fn asks_that_were_lost_do_not_jam_the_mail_for_good() {
    let mut fleet = Fleet::of(200, 20, 5);
    fleet.tries = 3;
    fleet.play(5000.0, 2.0, calm);
    fleet.net.loss = 1.0;
    fleet.play(5000.0, 3.0, calm);
    fleet.net.loss = 0.02;
    fleet.play(5000.0, 3.0, calm);
    let sent = fleet.play(5000.0, 2.0, calm);
    assert!(sent >= 9000, "{sent} of 10000 requests inside their quotas were sent on");
}

/// While no message arrives at all, customers far inside their quotas go on being served, as before, and soon: each
/// member alone holds a hundredth of a request for each.
#[test]
fn calm_customers_are_served_while_all_owners_are_silent() {
    let mut fleet = Fleet::of(200, 20, 7);
    fleet.play(3000.0, 2.0, calm);
    fleet.net.loss = 1.0;
    fleet.play(3000.0, 1.0, calm);
    let told = fleet.net.told;
    let sent = fleet.play(3000.0, 2.0, calm);
    assert!(sent >= 5400, "{sent} of 6000 requests were sent on");
    let asks = (fleet.net.told - told) as usize;
    // Some four a second for each limiter, to find when the others are back, and a few more until all seem silent.
    assert!(asks <= 200 * 2 * 8, "{asks} asks at owners that none hears");
    fleet.net.loss = 0.0;
    fleet.play(3000.0, 1.0, calm);
    let told = fleet.net.told;
    fleet.play(3000.0, 1.0, calm);
    assert!(fleet.net.told - told > 3000, "owners are asked again");
}

/// A customer known to ask for ten times its quota is held to a few times that by chance, though nobody keeps its book.
#[test]
fn a_greedy_customer_gains_little_while_all_owners_are_silent() {
    let mut fleet = Fleet::of(LIMITERS, 20, 8);
    fleet.play(60.0, 4.0, wide);
    fleet.net.loss = 1.0;
    let sent = f64::from(fleet.play(60.0, 6.0, wide));
    let quota = 6.0 * 6.0;
    assert!(sent <= 3.0 * quota, "{sent} units sent on, {quota} allowed, ten times as much asked for");
}

/// A customer of 100 limiters of 300: one in ten asks for three times its quota, one in five for nearly all of it.
fn trading(id: RequestId) -> Request {
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
        ..request(id, SAFE, RATED)
    }
}

/// On a quiet day hundreds of limiters together keep the quotas, though messages get lost and limiters start again with
/// nothing: what passes beyond is at most a tenth of what passes inside.
#[test]
fn three_hundred_limiters_keep_the_quotas_over_restarts_and_losses() {
    let mut fleet = Fleet::of(300, 60, 6);
    fleet.net.loss = 0.05;
    let (rate, burst) = (6.0, 12.0);
    // 6 units a second for each of 100 customers is 600; heavy ones ask for 18 of it.
    let per_s = 600.0;
    let (mut inside, mut beyond) = (0u32, 0u32);
    let mut stores = vec![(burst, fleet.net.now); 100];
    for second in 0..10 {
        let before = fleet.sends.len();
        fleet.play(per_s, 1.0, trading);
        for at in before..fleet.sends.len() {
            let (now, id) = (fleet.sends[at].0, fleet.sent_on[at]);
            let (level, since) = &mut stores[trading(id).customer as usize];
            *level = (*level + rate * (now - *since) / 1000.0).min(burst);
            *since = now;
            if *level >= 1.0 {
                *level -= 1.0;
                inside += 1;
            } else {
                beyond += 1;
            }
        }
        // One in ten limiters each other second, drawn by number.
        for p in (0..300).filter(|p| second % 2 == 1 && p % 10 == second) {
            let seed = 1000 + (second * 300 + p) as u64;
            let limiters = 300;
            fleet.answers.retain(|a| a.1 != p);
            fleet.net.restart(p, Settings { limiters, ..settings(p as u32) }, 60, seed);
        }
    }
    assert!(beyond * 10 <= inside, "{beyond} units beyond the quotas, {inside} inside");
    assert!(inside >= 3500, "{inside} units inside the quotas were sent on of some 4,500 asked for");
}

/// Lists are asked for, and discovery tells a third of the limiters that servers leave while it fails the others: these
/// hear it of their peers within the time after which a change counts as told, 6 s, and send nothing there. What a peer
/// says of a server holds until discovery names it, and not for its next start.
#[test]
fn those_that_discovery_fails_hear_of_their_peers_who_left() {
    let limiters = 60;
    let mut fleet =
        Fleet::with(limiters, 24, 9, |p| Settings { limiters, must_subscribe: true, ..settings(p) });
    fleet.net.loss = 0.05;
    let any = |id: RequestId| Request { member_count: limiters, ..request(id, SAFE, FREE) };
    fleet.play(400.0, 1.0, any);
    let leaving = |n: u32| Endpoint { state: EndpointState::Draining, ..entry(n) };
    for p in 0..limiters as usize {
        let list = Event::EndpointsChanged { complete: false, endpoints: (0..8).map(leaving).collect() };
        let actions = fleet.net.give(p, if p % 3 == 0 { list } else { Event::WatchFailed });
        fleet.take(p, actions);
    }
    fleet.play(400.0, 0.2, any);
    assert!(fleet.sends_to(fleet.net.now - 200.0, |n| n < 8) > 0, "others have not heard at once");
    let told = fleet.net.told;
    fleet.play(400.0, 5.0, any);
    let messages = fleet.net.told - told;
    // Two asks a second and an answer to each, of two thirds of the limiters.
    assert!(messages <= 40 * 2 * 2 * 5 + 80, "{messages} messages");
    let now = fleet.net.now;
    fleet.play(400.0, 2.0, any);
    assert_eq!(fleet.sends_to(now, |n| n < 8), 0);
    for p in 0..limiters as usize {
        let back = |n: u32| Endpoint { started_at: if n < 4 { 0.0 } else { now }, ..entry(n) };
        let actions = fleet
            .net
            .give(p, Event::EndpointsChanged { complete: false, endpoints: (0..8).map(back).collect() });
        fleet.take(p, actions);
    }
    let now = fleet.net.now;
    fleet.play(400.0, 2.0, any);
    assert!(fleet.sends_to(now, |n| n < 4) > 0, "discovery says that they are back");
}
