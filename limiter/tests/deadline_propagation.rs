//! What a server is told of the time that its client has left, where a request waits before the program takes it.

mod stubs;

use std::io::Write;
use std::net::TcpStream;

use stubs::*;

/// By so much more than its client has left a server may be told.
const SLACK_S: f64 = 0.15;

fn time_left_s(request: &HttpMessage) -> f64 {
    request.header("x-time-left").and_then(|time| time.parse().ok()).expect("a time left")
}

/// A server that takes 1.5 s for the request `first` and answers any other at once.
fn slow_at_first() -> StubServer {
    StubServer::new(|request, stream: &mut TcpStream| {
        if request.correlation_id() == "first" {
            sleep_ms(1500);
        }
        write_ok(stream, "fine")
    })
}

fn assert_told_at_most(server: &StubServer, id: &str, most_s: f64) {
    let told =
        server.received_requests().iter().find(|request| request.correlation_id() == id).map(time_left_s);
    let told = told.expect("the request came to the server");
    assert!(told <= most_s + SLACK_S, "the server was told {told} s, its client has {most_s} s left");
}

/// The second request comes together with the first, and waits for the end of that.
#[test]
fn the_deadline_of_a_pipelined_request_counts_from_its_arrival() {
    let server = slow_at_first();
    let limiter = LimiterProcess::with_server(&server, Configuration::with_long_latency_objective);
    let second = idempotent_request_with_id("second").replace("Left: 3.0", "Left: 2.0");
    let mut client = limiter.send(&(idempotent_request_with_id("first") + &second));
    assert_eq!(read_response(&mut client).status, 200);
    assert_eq!(read_response(&mut client).status, 200);
    assert_told_at_most(&server, "second", 0.5);
}

/// The same where it comes a moment after the first one, so that it is read ahead.
#[test]
fn the_deadline_of_a_request_that_was_read_ahead_counts_from_its_arrival() {
    let server = slow_at_first();
    let limiter = LimiterProcess::with_server(&server, Configuration::with_long_latency_objective);
    let mut client = limiter.send(&idempotent_request_with_id("first"));
    wait_for("the first request", || server.num_received() == 1);
    let second = idempotent_request_with_id("second").replace("Left: 3.0", "Left: 2.0");
    client.write_all(second.as_bytes()).expect("write");
    sleep_ms(1500);
    assert_eq!(read_response(&mut client).status, 200);
    assert_eq!(read_response(&mut client).status, 200);
    assert_told_at_most(&server, "second", 0.6);
}

/// A request that has no time left when its turn comes is answered and goes to no server.
#[test]
fn a_request_that_expired_while_waiting_is_not_forwarded() {
    let server = slow_at_first();
    let limiter = LimiterProcess::with_server(&server, Configuration::with_long_latency_objective);
    let second = idempotent_request_with_id("second").replace("Left: 3.0", "Left: 1.0");
    let mut client = limiter.send(&(idempotent_request_with_id("first") + &second));
    assert_eq!(read_response(&mut client).status, 200);
    assert_eq!(read_response(&mut client).status, 429);
    assert_eq!(server.num_received_with_id("second"), 0);
}

/// The process gets no processor time while the request waits in the kernel.
#[test]
fn the_deadline_of_a_request_that_arrived_during_a_stall_counts_from_before_the_stall() {
    let server = slow_at_first();
    let limiter = LimiterProcess::with_server(&server, Configuration::with_long_latency_objective);
    let mut client = limiter.connect();
    assert_eq!(send_and_receive(&mut client, &idempotent_request_with_id("warm-up")).status, 200);
    limiter.signal("STOP");
    let waiting = idempotent_request_with_id("waiting").replace("Left: 3.0", "Left: 2.0");
    client.write_all(waiting.as_bytes()).expect("write");
    sleep_ms(1000);
    limiter.signal("CONT");
    assert_eq!(read_response(&mut client).status, 200);
    assert_told_at_most(&server, "waiting", 1.0);
}
