//! Tombstones: what limiters report to each other about departed servers while discovery does not answer.

mod common;

use std::sync::Arc;

use common::*;
use limiter_core::*;

/// Number of limiters in the network.
const LIMITERS: u32 = 6;
/// Number of servers in most tests.
const FEW_SERVERS: u32 = 4;
/// Number of servers in a typical fleet: so many that the tombstones of a release do not fit into one
/// message.
const MANY_SERVERS: u32 = 200;
/// Position of the limiter that is restarted while discovery does not answer.
const RESTARTED: usize = 5;
/// Time after which a limiter that gets no answer from discovery accepts clients, measured from the
/// installation of its configured endpoint list.
const TIME_TO_READINESS_MS: Millis = 250.0;

/// Returns a network of limiters that discovery has notified of these changes.
fn network_notified_of(servers: u32, changes: &[Endpoint]) -> TestNetwork {
    let mut network = TestNetwork::new(LIMITERS, servers, 7);
    network.advance(1000.0);
    notify_all(&mut network, changes);
    network
}

/// Announces changes to all limiters.
fn notify_all(network: &mut TestNetwork, changes: &[Endpoint]) {
    for limiter in 0..LIMITERS as usize {
        network.handle(limiter, endpoints_changed(changes.to_vec()));
    }
    network.advance(500.0);
}

/// Replaces a limiter by a new process that gets no answer from discovery and installs a stale configured
/// list.
fn restart_during_outage(network: &mut TestNetwork, servers: u32) {
    let settings = settings_among(LIMITERS, RESTARTED as u32);
    network.limiters[RESTARTED] = TestLimiter::without_endpoints(network.now, settings);
    let endpoints: Arc<[Endpoint]> = (0..servers).map(endpoint).collect();
    network.handle(RESTARTED, Event::EndpointsConfigured { endpoints });
    network.advance(TIME_TO_READINESS_MS);
}

/// Returns the servers to which the restarted limiter forwards 60 requests, in the order of their ids.
fn servers_used(network: &mut TestNetwork) -> Vec<ServerId> {
    let mut servers = Vec::new();
    for id in 0..60 {
        let request = Request { member_count: 1, ..request(id, IDEMPOTENT, UNLIMITED) };
        for LimiterAction { action, .. } in network.submit(RESTARTED, request) {
            if let Action::Forward { server, .. } = action {
                servers.push(server);
                network.respond(RESTARTED, id, 20.0);
            }
        }
        network.advance(20.0);
    }
    servers.sort();
    servers.dedup();
    servers
}

/// A process that starts during an outage must respect each change of which any limiter was notified before
/// the outage. The process can learn of these changes only from its peers.
#[test]
fn a_limiter_that_starts_in_an_outage_learns_of_departed_servers_from_its_peers() {
    for changes in [vec![draining(0)], vec![draining(0), draining(1), draining(2)]] {
        let num_drained = changes.len() as u32;
        let mut network = network_notified_of(FEW_SERVERS, &changes);
        restart_during_outage(&mut network, FEW_SERVERS);
        let expected: Vec<ServerId> = (num_drained..FEW_SERVERS).map(server).collect();
        assert_eq!(servers_used(&mut network), expected);
    }
}

/// Server 0 was draining and accepts requests again: the announcement removes its tombstone.
#[test]
fn a_server_that_serves_again_is_no_longer_reported_as_departed() {
    let mut network = network_notified_of(FEW_SERVERS, &[draining(0), draining(1)]);
    notify_all(&mut network, &[endpoint(0)]);
    restart_during_outage(&mut network, FEW_SERVERS);
    assert_eq!(servers_used(&mut network), [server(0), server(2), server(3)]);
}

/// An outage may last long: a change that was announced a minute before the start of the process is still
/// reported.
#[test]
fn tombstones_are_reported_throughout_a_long_outage() {
    let mut network = network_notified_of(FEW_SERVERS, &[draining(0)]);
    network.advance(60_000.0);
    restart_during_outage(&mut network, FEW_SERVERS);
    assert_eq!(servers_used(&mut network), [server(1), server(2), server(3)]);
}

/// A release may replace six in ten servers at the same time. Their tombstones need several messages.
#[test]
fn a_restarted_limiter_learns_all_tombstones_of_a_large_release() {
    let num_drained = MANY_SERVERS * 6 / 10;
    let mut network = network_notified_of(MANY_SERVERS, &(0..num_drained).map(draining).collect::<Vec<_>>());
    restart_during_outage(&mut network, MANY_SERVERS);
    let departed: Vec<ServerId> = (0..num_drained).map(server).collect();
    let used = servers_used(&mut network);
    assert!(!used.is_empty());
    assert!(used.iter().all(|server| !departed.contains(server)), "{used:?}");
}
