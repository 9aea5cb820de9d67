//! What limiters report to each other of departed servers while discovery does not answer.

mod common;

use std::sync::Arc;

use common::*;
use limiter_core::*;

const LIMITERS: u32 = 6;
/// Servers of most tests.
const FEW: u32 = 4;
/// Servers of a usual fleet, so many that those which depart do not fit into one message.
const MANY: u32 = 200;
/// The limiter that starts while discovery is silent.
const NEW: usize = 5;
/// A new limiter that discovery does not answer takes clients this long after it has taken its configured list.
const TIME_TO_READINESS_MS: Millis = 250.0;

/// A fleet before so many servers whose lists are pushed, and which was announced these changes.
fn fleet_notified_of(servers: u32, changes: Vec<Endpoint>) -> TestNetwork {
    let mut network = TestNetwork::new(LIMITERS, servers, 7);
    network.advance(1000.0);
    notify(&mut network, changes);
    network
}

fn notify(network: &mut TestNetwork, changes: Vec<Endpoint>) {
    for limiter in 0..LIMITERS as usize {
        network.handle(limiter, endpoints_changed(changes.clone()));
    }
    network.advance(500.0);
}

/// Replaces a limiter by a new process with an old list, which discovery does not answer.
fn start_in_outage(network: &mut TestNetwork, servers: u32) {
    network.limiters[NEW] = TestLimiter::without_endpoints(network.now, settings_among(LIMITERS, NEW as u32));
    let endpoints: Arc<[Endpoint]> = (0..servers).map(endpoint).collect();
    network.handle(NEW, Event::EndpointsConfigured { endpoints });
    network.advance(TIME_TO_READINESS_MS);
}

/// To which servers the new limiter forwards requests of its clients.
fn servers_used(network: &mut TestNetwork) -> Vec<ServerId> {
    let mut servers = Vec::new();
    for id in 0..60 {
        for done in network.submit(NEW, Request { member_count: 1, ..request(id, IDEMPOTENT, UNLIMITED) }) {
            if let Action::Forward { server, .. } = done.action {
                servers.push(server);
                network.respond(NEW, id, 20.0);
            }
        }
        network.advance(20.0);
    }
    servers.sort();
    servers.dedup();
    servers
}

/// What the agent of a limiter was told before an outage counts as announced to a process that starts within it; only
/// its peers can tell it.
#[test]
fn a_limiter_that_starts_in_an_outage_learns_of_departed_servers_from_its_peers() {
    for changes in [vec![draining(0)], vec![draining(0), draining(1), draining(2)]] {
        let num_drained = changes.len() as u32;
        let mut network = fleet_notified_of(FEW, changes);
        start_in_outage(&mut network, FEW);
        let expected: Vec<ServerId> = (num_drained..FEW).map(server).collect();
        assert_eq!(servers_used(&mut network), expected);
    }
}

/// A server that has drained and takes requests again has not departed.
#[test]
fn a_server_that_is_back_is_no_longer_reported_as_departed() {
    let mut network = fleet_notified_of(FEW, vec![draining(0), draining(1)]);
    notify(&mut network, vec![endpoint(0)]);
    start_in_outage(&mut network, FEW);
    assert_eq!(servers_used(&mut network), [server(0), server(2), server(3)]);
}

/// Outages last: what was announced a minute before the start is still known.
#[test]
fn departures_are_remembered_through_a_long_outage() {
    let mut network = fleet_notified_of(FEW, vec![draining(0)]);
    network.advance(60_000.0);
    start_in_outage(&mut network, FEW);
    assert_eq!(servers_used(&mut network), [server(1), server(2), server(3)]);
}

/// Six in ten servers may be replaced at once.
#[test]
fn all_departures_of_a_large_release_are_learned() {
    let num_drained = MANY * 6 / 10;
    let mut network = fleet_notified_of(MANY, (0..num_drained).map(draining).collect());
    start_in_outage(&mut network, MANY);
    let departed: Vec<ServerId> = (0..num_drained).map(server).collect();
    let used = servers_used(&mut network);
    assert!(!used.is_empty());
    assert!(used.iter().all(|server| !departed.contains(server)), "{used:?}");
}
