//! Outcomes of attempts: whether a server may have executed the request, and which status the client receives
//! as a result.

mod stubs;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use stubs::*;

/// The header of a server's response, and the status that the client receives as a result.
struct RejectionCase {
    header: &'static str,
    expected_status: u16,
}

const REJECTION_CASES: [RejectionCase; 3] = [
    RejectionCase { header: "X-Unprocessed: 1\r\n", expected_status: 429 },
    RejectionCase { header: "", expected_status: 502 },
    RejectionCase { header: "X-Unprocessed: 0\r\n", expected_status: 502 },
];

/// A server answers a request with an idempotency key with status 503 or 504. If the response has the header
/// `X-Unprocessed: 1`, the request was not executed: the client receives 429 and may retry safely. Without
/// this header, or with another value, the request may have been executed, and must fail with 502.
#[test]
fn a_503_or_504_is_answered_with_429_only_if_x_unprocessed_is_1() {
    for RejectionCase { header, expected_status } in REJECTION_CASES {
        for status_line in ["503 Busy", "504 Late"] {
            let server = StubServer::new(move |_, stream| {
                write!(stream, "HTTP/1.1 {status_line}\r\n{header}Content-Length: 0\r\n\r\n").is_ok()
            });
            let limiter = LimiterProcess::in_front_of(&server);
            let response = limiter.request(&request_with_key("k", "x"));
            assert_eq!(response.status, expected_status, "{status_line} {header}");
        }
    }
}

/// The only server refuses connections. A refused connection proves that the server has not executed the
/// request, so the client receives 429 and may retry safely.
#[test]
fn a_request_is_rejected_if_its_server_refuses_connections() {
    let server = StubServer::new(|_, _| false);
    let limiter = LimiterProcess::in_front_of(&server);
    server.stop_listening();
    assert!(TcpStream::connect(server.addr).is_err());
    assert_eq!(limiter.request(&request_with_key("k", "x")).status, 429);
}

/// A server accepts requests and never responds. The client, which waits 0.6 s, receives one final response
/// in time. The limiter sends one attempt at a time, because two concurrent attempts might both be executed.
/// It closes the connection of each attempt instead of pooling it, because the response to the attempt may
/// still arrive.
#[test]
fn attempts_at_an_unresponsive_server_never_overlap_and_their_connections_are_closed() {
    let server = StubServer::unresponsive();
    let limiter = LimiterProcess::in_front_of(&server);
    let request = request_with_key("k", "x").replace("X-Time-Left: 3.0", "X-Time-Left: 0.6");
    let started_at = Instant::now();
    let response = limiter.request(&request);
    let elapsed = started_at.elapsed();
    assert_eq!(response.status, 502, "a request that may have been executed must fail");
    assert!(elapsed < Duration::from_millis(1500), "the response took {elapsed:?}");
    wait_for("the connections of all attempts to be closed", || {
        server.num_closed_connections() == server.num_connections()
    });
    assert_eq!(server.max_open_connections(), 1, "two attempts overlapped");
}

/// The process is stopped while a response arrives and the latency objective of its request ends. When the
/// process continues, bytes that have arrived are read before timers fire, so that the response is used.
#[test]
fn a_response_that_arrived_during_a_stall_is_used() {
    let server = StubServer::responding_after_ms(300, "fine");
    let limiter = LimiterProcess::in_front_of(&server);
    let mut client = limiter.send(&idempotent_request());
    wait_for("the attempt to reach the server", || server.num_received() == 1);
    limiter.signal("STOP");
    // The latency objective of 1 s ends during this time. A response after the objective has no value.
    sleep_ms(1300);
    limiter.signal("CONT");
    assert_eq!(read_response(&mut client).status, 200);
}
