//! Watches on discovery: the limiter reopens a watch that has ended, is silent or sends invalid lists, and
//! uses late responses of a slow discovery.

mod stubs;

use stubs::*;

/// Makes the limiter part of a deployment of 300 limiters. The backoff between watch requests must not grow
/// with their number.
fn with_large_fleet(configuration: Configuration) -> Configuration {
    configuration.with_num_limiters(300)
}

/// The connection of a watch stays open, but discovery sends no heartbeats on it. Such a watch may never
/// deliver a change, so the limiter must open another one.
#[test]
fn a_silent_watch_is_reopened() {
    let limiter = LimiterProcess::without_servers();
    limiter.discovery.stop_heartbeats();
    wait_for("the second watch", || limiter.discovery.num_opened_watches() >= 2);
}

/// Discovery stops responding, and later recovers and announces that a server is draining. The limiter
/// continues to send watch requests, so that it learns of the change immediately. A backoff that grows with
/// the fleet or with the number of failures would exceed the time for which requests may still be forwarded
/// to the server.
#[test]
fn an_unresponsive_discovery_is_polled_continuously() {
    let server_one = StubServer::responding_with("one");
    let server_two = StubServer::responding_with("two");
    let endpoints = [serving("s-1", &server_one), serving("s-2", &server_two)];
    let limiter = LimiterProcess::with_endpoints(&endpoints, with_large_fleet);
    let num_requests_before = limiter.discovery.num_watch_requests();
    limiter.discovery.stop_responding();
    // If the limiter waited for a response for as long as for a heartbeat (2.5 s), 12 requests would take
    // 30 s, which is longer than this test waits (20 s).
    wait_for("12 more watch requests", || limiter.discovery.num_watch_requests() >= num_requests_before + 12);
    limiter.discovery.resume_with(&list_change(2, &[draining_at("s-1", server_one.addr)]));
    limiter.wait_until_logged("state=draining");
    server_one.assert_receives_nothing_during(|| limiter.assert_response_bodies("two", 10));
}

/// Discovery closes each watch as soon as it is opened. A limiter of a large fleet opens a new watch each
/// time.
#[test]
fn closed_watches_are_reopened() {
    let limiter = LimiterProcess::with_endpoints(&[], with_large_fleet);
    for num_watches in 1..=12 {
        wait_for("the next watch", || limiter.discovery.num_opened_watches() >= num_watches);
        limiter.discovery.close_watches();
    }
}

/// Discovery sends a change that cannot be parsed, twice. After the first time, the limiter requests the
/// changes since its last version again. After the second time, it requests the complete list: a change that
/// is permanently invalid must not block all later ones.
#[test]
fn the_complete_list_is_requested_after_a_repeated_invalid_change() {
    let server = StubServer::responding_with("one");
    let limiter = LimiterProcess::without_servers();
    limiter.discovery.send(&list_change(7, &[serving("s-1", &server)]));
    limiter.wait_until_ready();

    limiter.discovery.send("{\"version\":8}\n");
    wait_for("the second watch", || limiter.discovery.num_opened_watches() == 2);
    let heads = limiter.discovery.watch_request_heads();
    assert!(heads[1].contains("after=7"), "{heads:?}");

    limiter.discovery.send("{\"version\":8}\n");
    wait_for("the third watch", || limiter.discovery.num_opened_watches() == 3);
    let heads = limiter.discovery.watch_request_heads();
    assert!(!heads[2].contains("after=7"), "{heads:?}");
}

/// Waits until the server s-1 is announced and a request is answered with its body `fine`.
fn wait_until_served(limiter: &LimiterProcess) {
    limiter.wait_until_logged("endpoint changed server=s-1 ");
    wait_for("service", || limiter.request(&idempotent_request()).body == "fine");
}

/// How a limiter receives endpoint lists, and a response time of discovery that exceeds the timeout of a
/// watch request in this mode.
struct SlowDiscoveryCase {
    mode: &'static str,
    response_delay_ms: u64,
}

const SLOW_DISCOVERY_CASES: [SlowDiscoveryCase; 2] = [
    SlowDiscoveryCase { mode: "automatic", response_delay_ms: 600 },
    SlowDiscoveryCase { mode: "subscribe", response_delay_ms: 4000 },
];

/// Discovery answers every watch request after the timeout of the request, as an overloaded discovery may. If
/// the limiter ignored late responses, it would never receive a list.
#[test]
fn late_discovery_responses_are_used() {
    for SlowDiscoveryCase { mode, response_delay_ms } in SLOW_DISCOVERY_CASES {
        let server = StubServer::responding_with("fine");
        let list = complete_list(1, &[serving("s-1", &server)]);
        let discovery = StubDiscovery::with_response_delay_ms(list, response_delay_ms);
        let limiter = LimiterProcess::with_discovery(
            discovery,
            |configuration| configuration.with_discovery_mode(mode),
            DEFAULT_DESCRIPTOR_LIMIT,
        );
        wait_until_served(&limiter);
    }
}

/// Discovery closes the first watch requests after their timeout, while later ones are in flight. The failure
/// of a slow request must not cancel the newer request, or the limiter would never receive a list.
#[test]
fn a_slow_watch_request_that_fails_does_not_affect_the_next_one() {
    let server = StubServer::responding_with("fine");
    let list = complete_list(1, &[serving("s-1", &server)]);
    let discovery = StubDiscovery::with_slow_failures(list, 300, 8);
    let limiter =
        LimiterProcess::with_discovery(discovery, |configuration| configuration, DEFAULT_DESCRIPTOR_LIMIT);
    wait_until_served(&limiter);
}
