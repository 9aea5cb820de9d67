//! The server that a request is forwarded to: the endpoint list, weights, slow start and the ejection of
//! unhealthy servers.

mod common;

use std::collections::{BTreeSet, VecDeque};

use common::*;
use limiter_core::*;

#[test]
fn no_new_request_goes_to_a_draining_or_removed_server() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut limiter = TestLimiter::new(settings(0), 2);
        limiter.change_endpoints(vec![Endpoint { state, ..endpoint(0) }]);
        assert_all_go_to(&mut limiter, &server(1));
    }
}

#[test]
fn a_server_missing_from_a_complete_list_is_removed() {
    let mut limiter = TestLimiter::new(settings(0), 2);
    limiter.replace_endpoints(vec![endpoint(1)]);
    assert_all_go_to(&mut limiter, &server(1));
}

/// Asserts that 50 requests are forwarded to one server only.
fn assert_all_go_to(limiter: &mut TestLimiter, only: &ServerId) {
    for id in 0..50 {
        let servers = forwarded_to(&limiter.submit(request(id, IDEMPOTENT, UNLIMITED)));
        assert!(servers.iter().all(|server| server == only));
    }
}

#[test]
fn a_server_of_greater_weight_gets_more_requests() {
    let mut limiter = TestLimiter::new(settings(0), 0);
    limiter.replace_endpoints(vec![endpoint(1), Endpoint { weight: 3.0, ..endpoint(2) }]);
    let servers: Vec<_> =
        (0..40).flat_map(|id| forwarded_to(&limiter.submit(request(id, IDEMPOTENT, UNLIMITED)))).collect();
    let to_larger = servers.iter().filter(|to| **to == server(2)).count();
    assert!((28..=32).contains(&to_larger), "{to_larger} of 40 requests instead of about three in four");
}

#[test]
fn a_server_in_slow_start_gets_less_than_an_even_share() {
    let mut limiter = TestLimiter::new(settings(0), 3);
    limiter.change_endpoints(vec![started_at(9, limiter.now)]);
    let mut to_cold = 0;
    for id in 0..200 {
        let servers = forwarded_to(&limiter.submit(request(id, IDEMPOTENT, UNLIMITED)));
        to_cold += servers.iter().filter(|to| **to == server(9)).count();
        limiter.advance(10.0);
        limiter.respond(id, 10.0);
    }
    // 200 requests at four servers within 2 s: an even share would be 50. The server has a fifth of its
    // capacity at first and about two fifths in the end.
    assert!((1..=20).contains(&to_cold), "{to_cold} requests to the cold server");
}

/// Guards against the ejection of healthy servers because of a few slow requests.
#[test]
fn one_slow_request_ejects_no_server() {
    let mut limiter = TestLimiter::new(settings(0), 2);
    for id in 0..4 {
        limiter.submit(request(id, NON_IDEMPOTENT, UNLIMITED));
    }
    limiter.advance(450.0);
    for id in 0..4 {
        limiter.respond(id, 450.0);
    }
    let servers: BTreeSet<_> =
        (10..20).flat_map(|id| forwarded_to(&limiter.submit(request(id, IDEMPOTENT, UNLIMITED)))).collect();
    assert_eq!(servers.len(), 2);
}

/// An attempt at a healthy server that has not responded yet.
struct InFlightAttempt {
    id: RequestId,
    attempt: u32,
}

/// Guards against a server that attracts all requests because its errors arrive faster than the responses of
/// healthy servers.
#[test]
fn a_server_that_fails_fast_is_ejected() {
    let mut limiter = TestLimiter::new(settings(0), 3);
    let mut num_failing = 0;
    let mut at_healthy_servers = VecDeque::new();
    for id in 0..400 {
        let mut attempt = 0;
        let mut servers = forwarded_to(&limiter.submit(request(id, IDEMPOTENT, UNLIMITED)));
        while let Some(to) = servers.pop() {
            if to != server(0) {
                at_healthy_servers.push_back(InFlightAttempt { id, attempt });
                break;
            }
            num_failing += 1;
            servers = forwarded_to(&limiter.end_attempt(id, attempt, Outcome::Error, 1.0));
            attempt += 1;
        }
        // The healthy servers have attempts in flight all the time, so that the failing one has the least
        // load.
        while at_healthy_servers.len() > 30 {
            let InFlightAttempt { id, attempt } = at_healthy_servers.pop_front().expect("not empty");
            limiter.end_attempt(id, attempt, Outcome::Ok, 100.0);
        }
        limiter.advance(5.0);
    }
    assert!((1..12).contains(&num_failing), "{num_failing} attempts went to the failing server");
}

/// Sends four requests to server 0, which is the only server, applies changes of the endpoint list, and ends
/// all four attempts with errors. Afterwards announces server 1 as well, and returns whether any of 20
/// further requests is forwarded to server 0.
fn is_used_after_errors_of_earlier_attempts(changes: Vec<Endpoint>) -> bool {
    let mut limiter = TestLimiter::new(settings(0), 1);
    for id in 0..4 {
        let servers = forwarded_to(&limiter.submit(request(id, NON_IDEMPOTENT, UNLIMITED)));
        assert_eq!(servers, [server(0)]);
    }
    for change in changes {
        limiter.change_endpoints(vec![change]);
    }
    for id in 0..4 {
        limiter.end_attempt(id, 0, Outcome::Error, 10.0);
    }
    limiter.change_endpoints(vec![endpoint(1)]);
    let mut servers = Vec::new();
    for id in 10..30 {
        servers.extend(forwarded_to(&limiter.submit(request(id, IDEMPOTENT, UNLIMITED))));
    }
    servers.contains(&server(0))
}

/// The errors of attempts that were sent before a server was removed say nothing about the server that is
/// announced under the same id afterwards.
#[test]
fn attempts_at_a_removed_server_do_not_count_against_its_successor() {
    let removed = Endpoint { state: EndpointState::Removed, ..endpoint(0) };
    assert!(is_used_after_errors_of_earlier_attempts(vec![removed, endpoint(0)]));
    assert!(
        !is_used_after_errors_of_earlier_attempts(vec![]),
        "the server must be ejected if it was never removed"
    );
}

/// Returns the settings of a limiter in a fleet of 900.
fn settings_in_large_fleet() -> Settings {
    settings_among(900, 450)
}

/// Returns the number of server records that a limiter examines per request: for 200 requests within a
/// second, including the control steps of that second.
fn examined_per_request(servers: u32, change: impl Fn(&mut TestLimiter)) -> f64 {
    const REQUESTS: u32 = 200;
    let mut limiter = TestLimiter::new(settings_in_large_fleet(), servers);
    change(&mut limiter);
    let before = limiter.limiter.num_endpoints_examined();
    for id in 0..REQUESTS {
        limiter.submit(request(id, IDEMPOTENT, UNLIMITED));
        limiter.respond(id, 10.0);
        limiter.advance(5.0);
    }
    (limiter.limiter.num_endpoints_examined() - before) as f64 / f64::from(REQUESTS)
}

/// Between changes of the endpoint list, a limiter does not examine the servers that it does not use. Each of
/// 900 limiters uses 28 of 3,200 servers.
#[test]
fn unused_servers_add_no_cost_per_request() {
    let examined = examined_per_request(3200, |_| {});
    assert!(examined <= 40.0, "{examined} records for each request");
}

/// Of 400 servers in slow start, a limiter examines only those whose warming set it belongs to: about five.
#[test]
fn servers_in_slow_start_add_no_cost_per_request_outside_of_their_warming_set() {
    let examined = examined_per_request(3200, |limiter| {
        let started = limiter.now;
        limiter.change_endpoints((3200..3600).map(|n| started_at(n, started)).collect());
    });
    assert!(examined <= 60.0, "{examined} records for each request");
}
