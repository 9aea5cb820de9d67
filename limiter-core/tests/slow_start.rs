//! What all limiters together send to servers that have just started.

mod common;

use common::fleet::*;
use common::*;
use limiter_core::*;

/// Servers at first.
const SERVERS: u32 = 24;
/// Requests a second that a warm server can do, and what it gets of them before the release and the burst.
const CAPACITY: f64 = 5.0;
const USED: f64 = 0.6;
const BURST: f64 = 1.5;

fn small_servers(limiters: u32, position: u32) -> Settings {
    Settings { limiters, cold_capacity_fraction: 0.15, ..settings(position) }
}

/// Some servers leave, and as many have started.
fn successors(replaced: u32, started: Millis) -> Vec<Endpoint> {
    let leaving = (0..replaced).map(|n| Endpoint { state: EndpointState::Draining, ..entry(n) });
    leaving.chain((100..100 + replaced).map(|n| Endpoint { started_at: started, ..entry(n) })).collect()
}

/// The most that a cold server got within the fall time beyond its budget there: N calls are allowed, by the
/// capacity at the beginning of that time, and 2 x root N + 2 are put down to chance.
fn most_beyond_budget(fleet: &Fleet, started: Millis) -> (f64, usize) {
    let s = small_servers(1, 0);
    let mut most = (f64::NEG_INFINITY, 0);
    for n in 100..100 + SERVERS {
        let sends: Vec<Millis> = fleet.sends.iter().filter(|(_, to)| *to == server(n)).map(|s| s.0).collect();
        for (first, at) in sends.iter().enumerate() {
            let within = sends[first..].iter().take_while(|t| **t < at + s.overload_ms).count();
            let age = ((at - started) / s.slow_start_ms).min(1.0);
            let capacity = CAPACITY * (s.cold_capacity_fraction + (1.0 - s.cold_capacity_fraction) * age);
            let budget = s.overload_factor * capacity * s.overload_ms / 1000.0;
            let beyond = within as f64 - (budget + 2.0 * budget.sqrt() + 2.0);
            if beyond > most.0 {
                most = (beyond, within);
            }
        }
    }
    most
}

/// Servers are replaced, in a pause or not, and a burst follows; a tenth of the limiters starts again each second, and
/// half of the requests come through a tenth of the limiters.
fn release(limiters: u32, seed: u64, replaced: u32, pause_s: f64) -> (Fleet, Millis) {
    let mut fleet = Fleet::with(limiters, SERVERS, seed, |p| small_servers(limiters, p));
    fleet.capacity = CAPACITY;
    let per_s = USED * CAPACITY * f64::from(SERVERS);
    let busy = (limiters / 10).max(1);
    let request = |id: RequestId| {
        let member_count = if id.is_multiple_of(2) { busy } else { limiters };
        Request { member_count, ..request(id, SAFE, FREE) }
    };
    fleet.play(per_s, 6.0, request);
    let started = fleet.net.now;
    fleet.list(successors(replaced, started));
    fleet.play(per_s * 0.02, pause_s, request);
    for second in 0..6 {
        fleet.play(per_s * BURST, 1.0, request);
        for p in (0..limiters).filter(|p| p % 10 == second) {
            let seed = 1000 + u64::from(second * limiters + p);
            fleet.answers.retain(|a| a.1 != p as usize);
            fleet.net.restart(p as usize, small_servers(limiters, p), SERVERS, seed);
            let list =
                Event::EndpointsChanged { complete: false, endpoints: successors(replaced, started).into() };
            let actions = fleet.net.give(p as usize, list);
            fleet.take(p as usize, actions);
        }
    }
    (fleet, started)
}

#[test]
fn a_cold_server_is_not_pushed_over_by_the_sum_of_all_limiters() {
    for limiters in [4, 20, 30, 100, 300] {
        for (seed, replaced, pause_s) in
            [(1, 8, 0.0), (2, 16, 0.0), (3, 20, 0.0), (4, 22, 0.0), (5, 8, 1.0), (6, 20, 1.0)]
        {
            let (fleet, started) = release(limiters, seed, replaced, pause_s);
            let (beyond, within) = most_beyond_budget(&fleet, started);
            let sent = fleet.sends_to(started, |n| n >= 100);
            println!(
                "{limiters} limiters, seed {seed}: {within} in a window, {beyond:.1} beyond; {sent} in all"
            );
            assert!(
                beyond <= 0.0,
                "{limiters} limiters, seed {seed}: {within} sends, {beyond:.1} beyond the budget"
            );
        }
    }
}
