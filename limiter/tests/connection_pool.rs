//! Pooled connections to servers: consecutive requests reuse a connection, unless a request could be lost on
//! the connection or could receive the response to another request.

mod stubs;

use std::net::Shutdown;
use std::time::{Duration, Instant};

use stubs::*;

/// Time in milliseconds within which the limiter certainly returns a connection to its pool after a response.
const POOLED_AFTER_MS: u64 = 100;
/// Time between two requests, in milliseconds. The limiter may reuse a connection 10 ms after its last
/// response.
const REQUEST_INTERVAL_MS: u64 = 50;

/// A server closes each connection after one response, while the connection is pooled. The next request must
/// neither be lost on the closed connection nor be sent twice.
#[test]
fn a_closed_idle_connection_is_not_used() {
    let server = StubServer::new(|_, stream| {
        write_ok(stream, "once");
        sleep_ms(POOLED_AFTER_MS);
        let _ = stream.shutdown(Shutdown::Both);
        false
    });
    // A second attempt would hide that the first one used a closed connection.
    let limiter = LimiterProcess::with_server(&server, |configuration| configuration.with_max_attempts(1));
    for num_requests in 1..=5 {
        let request = request_with_key(&format!("k{num_requests}"), "x");
        assert_eq!(limiter.request(&request).status, 200);
        assert_eq!(server.num_received(), num_requests, "a request was received twice");
        wait_for("the server to close the connection", || server.num_closed_connections() == num_requests);
    }
}

/// Consecutive requests reuse a connection, because a connect for each of them would take time. A server that
/// closes idle connections after 3 s could close one at the moment at which it is reused, so the limiter
/// closes an idle connection itself before that. The next request opens a new connection.
#[test]
fn pooled_connections_are_reused_and_closed_when_idle() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::with_server(&server, |configuration| {
        configuration.replace(r#""DialTimeoutMs":250"#, r#""DialTimeoutMs":250,"IdleCloseMs":3000"#)
    });
    for _ in 0..5 {
        assert_eq!(limiter.request(&idempotent_request()).status, 200);
        sleep_ms(REQUEST_INTERVAL_MS);
    }
    assert_eq!(server.num_connections(), 1, "requests did not share a connection");
    wait_for("the limiter to close the idle connection", || server.num_closed_connections() == 1);
    assert_eq!(limiter.request(&idempotent_request()).status, 200);
    assert_eq!(server.num_connections(), 2);
}

/// A server writes each response twice, the second time 1 ms after the first. The second copy must not be
/// used as the response to the next request on the connection.
#[test]
fn bytes_after_a_response_are_never_used_as_the_next_response() {
    let server = StubServer::new(|request, stream| {
        let started_at = Instant::now();
        let mut is_open = write_ok(stream, &request.body);
        sleep_ms(1);
        // A busy machine may delay the copy until the connection is reused, which the limiter cannot detect.
        // Such a copy is not written.
        if started_at.elapsed() < Duration::from_millis(3) {
            is_open = write_ok(stream, &request.body);
        }
        is_open
    });
    let limiter = LimiterProcess::in_front_of(&server);
    let mut client = limiter.connect();
    for n in 0..50 {
        let body = format!("body {n}");
        let request = request_with_key(&format!("k{n}"), &body);
        assert_eq!(send_and_receive(&mut client, &request).body, body);
    }
}

/// A server is removed while a request is in flight, and another server is announced at the same address. The
/// client receives the response of the removed server, whose connection is closed and not pooled: the next
/// request is sent to the new server on a new connection.
#[test]
fn connections_to_a_removed_server_are_not_reused_for_its_successor() {
    let InFlightRequest { servers, limiter, mut client } = InFlightRequest::start_at_slow_server();
    let server = &servers[0];
    let change = [removed_at("s-1", server.addr), serving("s-2", server)];
    limiter.discovery.send(&list_change(2, &change));
    limiter.wait_until_logged("state=removed");
    assert_eq!(read_response(&mut client).status, 200);
    sleep_ms(REQUEST_INTERVAL_MS);
    assert_eq!(limiter.request(&idempotent_request()).status, 200);
    assert_eq!(server.num_connections(), 2);
    wait_for("the connection to the removed server to be closed", || server.num_closed_connections() == 1);
}

/// Time of the restart of a server, in Unix milliseconds. Long before the test, so that the server is warm.
const RESTARTED_AT_MS: u64 = 1_000_000;

/// Guards against work that is sent to the old process of a server: the restart of the server at the same
/// address is announced while a request is in flight at its old process. That connection is not pooled, and
/// the next request is sent on a new one.
#[test]
fn connections_to_the_old_process_of_a_restarted_server_are_not_reused() {
    let InFlightRequest { servers, limiter, mut client } = InFlightRequest::start_at_slow_server();
    let server = &servers[0];
    let restarted = serving("s-1", server).started_at_ms(RESTARTED_AT_MS);
    // The state of another server shows that the list has been applied: a restart is not logged.
    let other_server = StubServer::responding_with("other");
    let other = draining_at("s-2", other_server.addr);
    limiter.discovery.send(&list_change(2, &[restarted, other]));
    limiter.wait_until_logged("state=draining");
    assert_eq!(read_response(&mut client).status, 200);
    sleep_ms(REQUEST_INTERVAL_MS);
    assert_eq!(limiter.request(&idempotent_request()).status, 200);
    assert_eq!(server.num_connections(), 2);
    wait_for("the connection to the old process to be closed", || server.num_closed_connections() == 1);
}
