//! Pooled connections to servers. They are reused for one request after another, and never if a response
//! could be lost on a connection or be taken for the response to another request.

mod stubs;

use std::net::Shutdown;
use std::time::{Duration, Instant};

use stubs::*;

/// How long after a response the limiter has certainly pooled the connection, in milliseconds.
const POOLED_AFTER_MS: u64 = 100;
/// Time between two requests in milliseconds, so that a connection can be reused. The limiter reuses a
/// connection 10 ms after its last response.
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

/// Requests that follow one another use the same connection, as a connect for each would cost time. A server
/// that closes idle connections after 3 s could close one at the moment of its reuse, so that the limiter
/// closes an idle connection itself. The next request opens a new connection.
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
/// response of the old server is used, and its connection is closed and not pooled: the next request goes to
/// the new server on a new connection.
#[test]
fn a_new_server_does_not_inherit_connections() {
    let InFlightRequest { servers, limiter, mut client } = InFlightRequest::start_at_slow_server();
    let server = &servers[0];
    let change = [removed_at("s-1", server.addr), serving("s-2", server)];
    limiter.discovery.send(&list_change(2, &change));
    limiter.wait_until_logged("state=removed");
    assert_eq!(read_response(&mut client).status, 200);
    sleep_ms(REQUEST_INTERVAL_MS);
    assert_eq!(limiter.request(&idempotent_request()).status, 200);
    assert_eq!(server.num_connections(), 2);
    wait_for("the connection to the old server to be closed", || server.num_closed_connections() == 1);
}
