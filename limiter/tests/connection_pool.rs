//! Kept connections to servers: reused one request after another, and never one on which a response could be lost or
//! taken for another request's.

mod stubs;

use std::net::Shutdown;
use std::time::{Duration, Instant};

use stubs::*;

/// The classic trap: the server closes an idle connection; the next request must not be lost on it, nor be sent
/// twice.
#[test]
fn a_closed_idle_connection_is_not_used() {
    let server = StubServer::new(|_, stream| {
        write_ok(stream, "once");
        // Long enough for the connection to have gone back to the pool.
        sleep_ms(100);
        let _ = stream.shutdown(Shutdown::Both);
        false
    });
    // One attempt only: a second one would hide that the first went to a closed connection.
    let limiter = LimiterProcess::with_server(&server, |configuration| configuration.with_max_attempts(1));
    for n in 1..=5 {
        assert_eq!(limiter.request(&request_with_key(&format!("k{n}"), "x")).status, 200);
        assert_eq!(server.num_received(), n, "each request came once");
        wait_for("the server to close", || server.num_closed_connections() == n);
    }
}

#[test]
fn connections_are_reused_and_closed_before_the_idle_timeout_of_servers() {
    let server = StubServer::responding_with("kept");
    let limiter = LimiterProcess::with_server(&server, |configuration| {
        configuration.replace(r#""DialTimeoutMs":250"#, r#""DialTimeoutMs":250,"IdleCloseMs":3000"#)
    });
    for _ in 0..5 {
        assert_eq!(limiter.request(&idempotent_request()).status, 200);
        // A connection rests for a moment before it is used again.
        sleep_ms(50);
    }
    assert_eq!(server.num_connections(), 1, "one connection carries requests one after another");
    wait_for("the idle connection to be dropped", || server.num_closed_connections() == 1);
    assert_eq!(limiter.request(&idempotent_request()).status, 200);
    assert_eq!(server.num_connections(), 2);
}

/// Guards against a server's second copy of a response, a moment behind the first, being given to the next request on
/// the connection.
#[test]
fn bytes_after_a_response_are_never_used_as_the_next_response() {
    let server = StubServer::new(|request, stream| {
        let began = Instant::now();
        let mut is_open = write_ok(stream, &request.body);
        sleep_ms(1);
        // A copy that a busy machine holds up longer is another matter.
        if began.elapsed() < Duration::from_millis(3) {
            is_open = write_ok(stream, &request.body);
        }
        is_open
    });
    let limiter = LimiterProcess::in_front_of(&server);
    let mut client = limiter.connect();
    for n in 0..50 {
        let body = format!("body {n}");
        assert_eq!(send_and_receive(&mut client, &request_with_key(&format!("k{n}"), &body)).body, body);
    }
}

/// A new server at the address of one that has gone gets connections of its own, and one on which a response comes
/// after its server has gone is not kept.
#[test]
fn a_new_server_does_not_inherit_connections() {
    let InFlightRequest { servers, limiter, mut client } = InFlightRequest::start_at_slow_server();
    let server = &servers[0];
    let change = [removed_at("s-1", server.addr), serving("s-2", server)];
    limiter.discovery.send(&list_change(2, &change));
    limiter.wait_until_logged("state=removed");
    assert_eq!(read_response(&mut client).status, 200);
    sleep_ms(50);
    assert_eq!(limiter.request(&idempotent_request()).status, 200);
    assert_eq!(server.num_connections(), 2);
    wait_for("the old server's connection to be closed", || server.num_closed_connections() == 1);
}
