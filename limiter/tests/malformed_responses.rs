//! Malformed responses: truncated, reset, endless or oversized. An incomplete response is never served, is
//! never used for another request, and never proves that the request was not executed.

mod stubs;

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use stubs::*;

/// A response without a length, which ends when its connection ends.
const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\n\r\npart";
const TRUNCATED_BODY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart";
const TRUNCATED_CHUNKED_BODY: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
const INCOMPLETE_STATUS_LINE: &str = "HTTP/1.1 20";
const INCOMPLETE_HEADER: &str = "HTTP/1.1 200 OK\r\nContent-Le";

/// Asserts that there are one to three attempts, as the settings allow, each of which carries the key `k`.
fn assert_attempts_carry_key(attempts: &[HttpMessage]) {
    assert!((1..=3).contains(&attempts.len()), "{} attempts", attempts.len());
    for attempt in attempts {
        assert_eq!(attempt.header("idempotency-key").as_deref(), Some("k"));
    }
}

/// Returns the attempts of the request with the body `x`.
fn attempts_of_request_x(server: &StubServer) -> Vec<HttpMessage> {
    let mut attempts = server.received_requests();
    attempts.retain(|request| request.body == "x");
    attempts
}

/// Sends a request and returns the status of its response. Asserts that the request receives exactly one
/// response: the next response on the connection must be that to the next request.
fn status_of_single_response(limiter: &LimiterProcess, request: &str) -> u16 {
    let mut client = limiter.connect();
    let status = send_and_receive(&mut client, request).status;
    let next_response = send_and_receive(&mut client, &request_with_key("fine", "fine"));
    assert_eq!(next_response.status, 200);
    assert_eq!(next_response.body, "fine");
    status
}

/// Waits until at most one connection to the server is open, which may be in the pool.
fn wait_until_attempts_closed(server: &StubServer) {
    wait_for("the connections of the attempts to be closed", || {
        server.num_closed_connections() + 1 >= server.num_connections()
    });
}

/// How a server terminates a connection.
#[derive(Clone, Copy, PartialEq)]
enum Termination {
    Close,
    Reset,
}

/// Asserts that a request is not answered with an incomplete response: the server writes this text and
/// terminates the connection, immediately or after 40 ms. The server may have executed the request: a request
/// with an idempotency key must fail, and its retries must carry the key. An idempotent request must be
/// rejected.
fn assert_incomplete_response_is_not_served(text: &'static str, termination: Termination) {
    for pause_before_termination_ms in [0, 40] {
        let server = StubServer::new(move |_, stream| {
            // A failed write makes no difference: the response is incomplete in any case.
            let _ = stream.write_all(text.as_bytes());
            sleep_ms(pause_before_termination_ms);
            if termination == Termination::Reset {
                reset_on_close(stream);
            }
            false
        });
        let limiter = LimiterProcess::in_front_of(&server);
        assert_eq!(limiter.request(&request_with_key("k", "x")).status, 502, "{text:?}");
        assert_attempts_carry_key(&attempts_of_request_x(&server));
        assert_eq!(limiter.request(&idempotent_request()).status, 429, "{text:?}");
    }
}

/// A reset never completes a response. This matters most for a response without a length, which only a
/// graceful close completes.
#[test]
fn a_response_that_is_reset_is_not_served() {
    for text in [WITHOUT_LENGTH, TRUNCATED_BODY, TRUNCATED_CHUNKED_BODY] {
        assert_incomplete_response_is_not_served(text, Termination::Reset);
    }
}

/// An incomplete status line or head does not prove whether the request was executed, even if its first bytes
/// look like those of a successful response.
#[test]
fn an_incomplete_response_head_is_not_served() {
    for text in [INCOMPLETE_STATUS_LINE, INCOMPLETE_HEADER] {
        assert_incomplete_response_is_not_served(text, Termination::Close);
        assert_incomplete_response_is_not_served(text, Termination::Reset);
    }
}

/// Guards against serving a part of a body as a response, and against treating an incomplete or missing
/// response as proof that the request was not executed.
#[test]
fn a_truncated_or_oversized_response_is_not_served() {
    let oversized = format!("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n{}", "x".repeat(70_000));
    for text in ["", "HTTP/1.1 200", TRUNCATED_BODY, TRUNCATED_CHUNKED_BODY, &oversized] {
        let text = text.to_string();
        let server = StubServer::new(move |_, stream| {
            // The write fails if the limiter has closed the connection before it read the oversized response.
            let _ = stream.write_all(text.as_bytes());
            false
        });
        let limiter = LimiterProcess::in_front_of(&server);
        assert_eq!(limiter.request(&request_with_key("k", "x")).status, 502);
        assert_attempts_carry_key(&server.received_requests());
    }
}

/// A graceful close completes a response without a length: the entire body is served, even if it arrives in
/// two parts.
#[test]
fn a_response_without_length_that_ends_gracefully_is_served() {
    for body_bytes in [0, 4, 50_000] {
        let body = "x".repeat(body_bytes);
        let text = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
        let server = StubServer::new(move |_, stream| {
            let (first_part, second_part) = text.split_at(text.len() - body_bytes / 2);
            let _ = stream.write_all(first_part.as_bytes());
            sleep_ms(20);
            let _ = stream.write_all(second_part.as_bytes());
            false
        });
        let limiter = LimiterProcess::in_front_of(&server);
        let response = limiter.request(&request_with_key("k", "x"));
        assert_eq!(response.status, 200);
        assert_eq!(response.body, body);
        assert_eq!(server.num_received(), 1);
    }
}

/// A server writes a chunked response slowly and without end. The attempts time out at the latency objective
/// of the request: the client receives one response, and the connections to the server are closed.
#[test]
fn a_response_that_never_ends_times_out() {
    let server = StubServer::new(|request, stream| {
        if request.body == "fine" {
            return write_ok(stream, "fine");
        }
        let _ = stream.write_all(TRUNCATED_CHUNKED_BODY.as_bytes());
        while stream.write_all(b"4\r\nmore\r\n").is_ok() {
            sleep_ms(20);
        }
        false
    });
    let limiter = LimiterProcess::in_front_of(&server);
    assert_eq!(status_of_single_response(&limiter, &request_with_key("k", "x")), 502);
    assert_eq!(status_of_single_response(&limiter, &idempotent_request()), 429);
    assert_attempts_carry_key(&attempts_of_request_x(&server));
    wait_until_attempts_closed(&server);
}

/// A server writes an incomplete status line on a pooled connection between two requests. The bytes of the
/// next response would continue that line, so the next request must use another connection. Requests get one
/// attempt each, because a retry would hide the error.
#[test]
fn a_pooled_connection_with_an_incomplete_status_line_is_not_reused() {
    let num_status_lines = Arc::new(AtomicUsize::new(0));
    let num_written = num_status_lines.clone();
    let server = StubServer::new(move |request, stream| {
        write_ok(stream, &request.body);
        // The limiter returns the connection to its pool during this time.
        sleep_ms(100);
        let is_open = stream.write_all(INCOMPLETE_STATUS_LINE.as_bytes()).is_ok();
        num_written.fetch_add(1, Ordering::SeqCst);
        is_open
    });
    let limiter = LimiterProcess::with_server(&server, |configuration| configuration.with_max_attempts(1));
    for number in 1..=6 {
        let body = format!("body {number}");
        let mut client = limiter.send(&request_with_key(&format!("k{number}"), &body));
        let is_stopped = number % 2 == 0;
        if is_stopped {
            limiter.signal("CONT");
        }
        let response = read_response(&mut client);
        assert_eq!(response.status, 200);
        assert_eq!(response.body, body);
        assert_eq!(server.num_received(), number);
        assert_eq!(server.num_connections(), number);
        if !is_stopped {
            // The limiter finds the incomplete status line and the next request at the same time when it
            // continues.
            limiter.signal("STOP");
        }
        wait_for("the incomplete status line", || num_status_lines.load(Ordering::SeqCst) == number);
    }
}

/// A response that starts with one text and repeats another without end.
struct EndlessResponse {
    start: String,
    repeated: String,
}

/// Returns an endless response for each part that a server can write without end: a body with a length, a
/// chunked body, a body without a length or chunks, the headers, the value of one header, and interim
/// responses.
fn endless_responses() -> Vec<EndlessResponse> {
    let status_line = "HTTP/1.1 200 OK\r\n";
    let block = "x".repeat(1 << 16);
    let endless = |start: String, repeated: String| EndlessResponse { start, repeated };
    vec![
        endless(format!("{status_line}Content-Length: 3000000000\r\n\r\n"), block.clone()),
        endless(format!("{status_line}Transfer-Encoding: chunked\r\n\r\n"), format!("10000\r\n{block}\r\n")),
        endless(format!("{status_line}\r\n"), block.clone()),
        endless(status_line.to_string(), "X-More: more\r\n".repeat(4096)),
        endless(format!("{status_line}X-More: "), block),
        endless(String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(4096)),
    ]
}

/// A server floods the limiter with an endless response. The limiter must close the connection, use less than
/// 48 MiB, which is about a quarter of the 192 MB that its configuration allows, and serve the next request.
#[test]
fn an_endless_response_is_aborted_with_bounded_memory() {
    const MAX_MEMORY_KIB: u64 = 48 << 10;
    for EndlessResponse { start, repeated } in endless_responses() {
        let case = format!("{start:?}");
        let server = StubServer::new(move |request, stream| {
            if request.body == "fine" {
                return write_ok(stream, "fine");
            }
            let _ = stream.write_all(start.as_bytes());
            while stream.write_all(repeated.as_bytes()).is_ok() {}
            false
        });
        let limiter = LimiterProcess::in_front_of(&server);
        assert_eq!(status_of_single_response(&limiter, &request_with_key("k", "x")), 502, "{case}");
        assert_attempts_carry_key(&attempts_of_request_x(&server));
        let memory_kib = limiter.peak_memory_kib();
        assert!(memory_kib < MAX_MEMORY_KIB, "{memory_kib} KiB, {case}");
        wait_until_attempts_closed(&server);
    }
}
