//! Deadline propagation: the `X-Time-Left` header that a server receives states the time that the client has
//! left, measured from the arrival of the request at this host, even if the request waits there before the
//! limiter reads it.

mod stubs;

use std::io::Write;
use std::net::TcpStream;

use stubs::*;

/// Largest difference in seconds by which the propagated time may exceed the time that the client has left,
/// because arrival times are estimates.
const TOLERANCE_S: f64 = 0.15;

/// A server, and the limiter in front of it.
struct ServerAndLimiter {
    server: StubServer,
    limiter: LimiterProcess,
}

/// Starts a server that responds to the request `first` after 1.5 s and to any other immediately, and the
/// limiter in front of it.
fn start_server_and_limiter() -> ServerAndLimiter {
    let server = StubServer::new(|request, stream: &mut TcpStream| {
        if request.correlation_id() == "first" {
            sleep_ms(1500);
        }
        write_ok(stream, "fine")
    });
    let limiter = LimiterProcess::with_server(&server, Configuration::with_long_latency_objective);
    ServerAndLimiter { server, limiter }
}

/// Returns an idempotent request whose client waits `time_left_s` seconds.
fn request_with_time_left(id: &str, time_left_s: f64) -> String {
    idempotent_request_with_id(id).replace("X-Time-Left: 3.0", &format!("X-Time-Left: {time_left_s:.1}"))
}

/// Asserts that the request reached the server with at most `max_s` seconds left, plus [`TOLERANCE_S`].
fn assert_propagated_time_left_at_most(server: &StubServer, id: &str, max_s: f64) {
    let requests = server.received_requests();
    let request = requests.iter().find(|request| request.correlation_id() == id);
    let request = request.expect("the server has received the request");
    let header = request.header("x-time-left").expect("a time left");
    let time_left_s: f64 = header.parse().expect("a number of seconds");
    assert!(
        time_left_s <= max_s + TOLERANCE_S,
        "the server received {time_left_s} s, but the client has {max_s} s left"
    );
}

/// The second request arrives together with the first one and waits 1.5 s of its 2 s for the response to the
/// first.
#[test]
fn the_deadline_of_a_pipelined_request_is_measured_from_its_arrival() {
    let ServerAndLimiter { server, limiter } = start_server_and_limiter();
    let requests = idempotent_request_with_id("first") + &request_with_time_left("second", 2.0);
    let mut client = limiter.send(&requests);
    assert_eq!(read_response(&mut client).status, 200);
    assert_eq!(read_response(&mut client).status, 200);
    assert_propagated_time_left_at_most(&server, "second", 0.5);
}

/// The second request arrives after the server has received the first one, so that the limiter reads the
/// second request ahead. The client has a little more time left than if both requests had arrived together.
#[test]
fn the_deadline_of_a_request_that_was_read_ahead_is_measured_from_its_arrival() {
    let ServerAndLimiter { server, limiter } = start_server_and_limiter();
    let mut client = limiter.send(&idempotent_request_with_id("first"));
    wait_for("the first request", || server.num_received() == 1);
    client.write_all(request_with_time_left("second", 2.0).as_bytes()).expect("a written request");
    sleep_ms(1500);
    assert_eq!(read_response(&mut client).status, 200);
    assert_eq!(read_response(&mut client).status, 200);
    assert_propagated_time_left_at_most(&server, "second", 0.6);
}

/// The second request waits 1.5 s for the response to the first, longer than the 1 s that its client waits.
/// It is rejected and not forwarded.
#[test]
fn a_request_that_expired_while_waiting_is_not_forwarded() {
    let ServerAndLimiter { server, limiter } = start_server_and_limiter();
    let requests = idempotent_request_with_id("first") + &request_with_time_left("second", 1.0);
    let mut client = limiter.send(&requests);
    assert_eq!(read_response(&mut client).status, 200);
    assert_eq!(read_response(&mut client).status, 429);
    assert_eq!(server.num_received_with_id("second"), 0);
}

/// The request waits 1 s of its 2 s in the kernel, because the process is stopped. The limiter cannot know
/// when during the stall the request arrived, and assumes the earliest time.
#[test]
fn the_deadline_of_a_request_that_arrived_during_a_stall_is_measured_from_before_the_stall() {
    let ServerAndLimiter { server, limiter } = start_server_and_limiter();
    let mut client = limiter.connect();
    assert_eq!(send_and_receive(&mut client, &idempotent_request_with_id("warm-up")).status, 200);
    limiter.signal("STOP");
    client.write_all(request_with_time_left("waiting", 2.0).as_bytes()).expect("a written request");
    sleep_ms(1000);
    limiter.signal("CONT");
    assert_eq!(read_response(&mut client).status, 200);
    assert_propagated_time_left_at_most(&server, "waiting", 1.0);
}
