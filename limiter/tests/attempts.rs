//! What the outcome of an attempt proves: whether the request may have run, and what its client is told.

mod stubs;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use stubs::*;

/// 503 and 504 prove that nothing ran only with the mark; without it a request with a key must end as failed.
#[test]
fn a_rejection_counts_as_not_executed_only_with_the_unprocessed_header() {
    for (mark, expected) in [("X-Unprocessed: 1\r\n", 429), ("", 502), ("X-Unprocessed: 0\r\n", 502)] {
        for status_line in ["503 Busy", "504 Late"] {
            let server = StubServer::new(move |_, stream| {
                write!(stream, "HTTP/1.1 {status_line}\r\n{mark}Content-Length: 0\r\n\r\n").is_ok()
            });
            let limiter = LimiterProcess::in_front_of(&server);
            let response = limiter.request(&request_with_key("k", "x"));
            assert_eq!(response.status, expected, "{status_line} {mark}");
        }
    }
}

/// A refused connection proves that nothing ran: the client is told that a retry is safe.
#[test]
fn a_request_is_rejected_if_its_server_refuses_connections() {
    let server = StubServer::new(|_, _| false);
    let limiter = LimiterProcess::in_front_of(&server);
    server.stop_listening();
    assert!(TcpStream::connect(server.addr).is_err());
    assert_eq!(limiter.request(&request_with_key("k", "x")).status, 429);
}

/// A server that takes a request and says nothing: one final response before the deadline, and the attempt's
/// connection is closed, not pooled.
#[test]
fn a_request_at_an_unresponsive_server_is_retried_before_its_deadline() {
    let server = StubServer::unresponsive();
    let limiter = LimiterProcess::in_front_of(&server);
    let began = Instant::now();
    let request = request_with_key("k", "x").replace("X-Time-Left: 3.0", "X-Time-Left: 0.6");
    assert_eq!(limiter.request(&request).status, 502, "it may have run");
    assert!(began.elapsed() < Duration::from_millis(1500), "{:?}", began.elapsed());
    wait_for("the attempts to be closed", || server.num_closed_connections() == server.num_connections());
    assert!(server.max_open_connections() == 1, "never two attempts at once");
}

/// The process gets no processor time while a response comes and the request's objective passes: what has come is read
/// before timers decide.
#[test]
fn a_response_that_arrived_during_a_stall_is_used() {
    let server = StubServer::responding_after_ms(300, "fine");
    let limiter = LimiterProcess::in_front_of(&server);
    let mut client = limiter.send(&idempotent_request());
    wait_for("the attempt", || server.num_received() == 1);
    limiter.signal("STOP");
    // The latency objective of 1 s passes, and a later response would have no value.
    sleep_ms(1300);
    limiter.signal("CONT");
    assert_eq!(read_response(&mut client).status, 200);
}
