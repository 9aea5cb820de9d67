//! Responses that break off, never end or are too much: a part of a response is never served, never given to another
//! request, and never proves that a request has not run.

mod stubs;

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;

use stubs::*;

const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\n\r\nhalf";
const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
const HALF_STATUS_LINE: &str = "HTTP/1.1 20";
const HALF_HEADER: &str = "HTTP/1.1 200 OK\r\nContent-Le";

/// The attempts of the one request with a key: 3 at most, all with its key.
fn assert_retried_with_key(attempts: &[HttpMessage]) {
    assert!((1..=3).contains(&attempts.len()), "{} attempts", attempts.len());
    let has_key = |attempt: &HttpMessage| attempt.header("idempotency-key").as_deref() == Some("k");
    assert!(attempts.iter().all(has_key));
}

/// The attempts of the request with the body x.
fn attempts_of_x(server: &StubServer) -> Vec<HttpMessage> {
    let mut attempts = server.received_requests();
    attempts.retain(|request| request.body == "x");
    attempts
}

/// The final response's status; the next response on the connection is the next request's, so that there was one
/// alone.
fn status_of_only_response(limiter: &LimiterProcess, request: &str) -> u16 {
    let mut client = limiter.connect();
    let status = send_and_receive(&mut client, request).status;
    let next = send_and_receive(&mut client, &request_with_key("fine", "fine"));
    assert_eq!((next.status, next.body.as_str()), (200, "fine"));
    status
}

/// All but the one that may be kept.
fn wait_connections_closed(server: &StubServer) {
    wait_for("the attempts to be closed", || server.num_closed_connections() + 1 >= server.num_connections());
}

/// How a server ends a connection.
#[derive(Clone, Copy, PartialEq)]
enum End {
    Close,
    Reset,
}

/// A server breaks each response off, at once or after a moment: the request may have run, so that one with a key
/// fails, its retries carry its key, and there are no more than the settings allow. An idempotent one ends in a
/// rejection.
fn assert_broken_response_is_not_served(text: &'static str, end: End) {
    for pause in [0, 40] {
        let server = StubServer::new(move |_, stream| {
            let _ = stream.write_all(text.as_bytes());
            // For the outcome it makes no difference: either way the response has broken off.
            sleep_ms(pause);
            if end == End::Reset {
                reset_on_close(stream);
            }
            false
        });
        let limiter = LimiterProcess::in_front_of(&server);
        assert_eq!(limiter.request(&request_with_key("k", "x")).status, 502, "{text:?}");
        assert_retried_with_key(&attempts_of_x(&server));
        assert_eq!(limiter.request(&idempotent_request()).status, 429, "{text:?}");
    }
}

/// A reset on the way is no end of a response, least of all of one without length, which the end of its connection
/// ends.
#[test]
fn a_response_that_is_reset_is_not_served() {
    for text in [WITHOUT_LENGTH, WITH_LENGTH, CHUNKED] {
        assert_broken_response_is_not_served(text, End::Reset);
    }
}

/// A status line or a head that stops halfway says nothing of what ran, also where it began as a good one.
#[test]
fn an_incomplete_response_head_is_not_a_response() {
    for text in [HALF_STATUS_LINE, HALF_HEADER] {
        assert_broken_response_is_not_served(text, End::Close);
        assert_broken_response_is_not_served(text, End::Reset);
    }
}

/// Guards against a part of a body passed on as served, and against a broken exchange taken for never run.
#[test]
fn a_truncated_or_oversized_response_is_not_served() {
    let too_long = format!("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n{}", "x".repeat(70_000));
    for text in ["", "HTTP/1.1 200", WITH_LENGTH, CHUNKED, &too_long] {
        let text = text.to_string();
        let server = StubServer::new(move |_, stream| {
            let _ = stream.write_all(text.as_bytes());
            false
        });
        let limiter = LimiterProcess::in_front_of(&server);
        assert_eq!(limiter.request(&request_with_key("k", "x")).status, 502);
        assert_retried_with_key(&server.received_requests());
    }
}

/// The other side of it: a clean end is the end of a response without length, and all of it is served.
#[test]
fn a_response_without_length_that_ends_gracefully_is_served() {
    for length in [0, 4, 50_000] {
        let body = "x".repeat(length);
        let text = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
        let server = StubServer::new(move |_, stream| {
            let (first, second) = text.split_at(text.len() - length / 2);
            let _ = stream.write_all(first.as_bytes());
            sleep_ms(20);
            let _ = stream.write_all(second.as_bytes());
            false
        });
        let limiter = LimiterProcess::in_front_of(&server);
        let response = limiter.request(&request_with_key("k", "x"));
        assert_eq!((response.status, response.body), (200, body));
        assert_eq!(server.num_received(), 1);
    }
}

/// A response that trickles and never ends is given up at the request's latency objective: one final response, and
/// the connections to the server are closed.
#[test]
fn a_response_that_never_ends_times_out() {
    let server = StubServer::new(|request, stream| {
        if request.body == "fine" {
            return write_ok(stream, "fine");
        }
        let _ = stream.write_all(CHUNKED.as_bytes());
        while stream.write_all(b"4\r\nmore\r\n").is_ok() {
            sleep_ms(20);
        }
        false
    });
    let limiter = LimiterProcess::in_front_of(&server);
    assert_eq!(status_of_only_response(&limiter, &request_with_key("k", "x")), 502);
    assert_eq!(status_of_only_response(&limiter, &idempotent_request()), 429);
    assert_retried_with_key(&attempts_of_x(&server));
    wait_connections_closed(&server);
}

/// Between two requests a server writes half a status line on a kept connection, which the next response would be
/// taken to go on: the next request goes on another connection. One attempt each, as a retry would hide it.
#[test]
fn a_pooled_connection_with_an_incomplete_status_line_is_not_reused() {
    let num_half_lines = Arc::new(AtomicUsize::new(0));
    let written = num_half_lines.clone();
    let server = StubServer::new(move |request, stream| {
        write_ok(stream, &request.body);
        // Long enough for the connection to have gone back to the pool.
        sleep_ms(100);
        let is_open = stream.write_all(HALF_STATUS_LINE.as_bytes()).is_ok();
        written.fetch_add(1, SeqCst);
        is_open
    });
    let limiter = LimiterProcess::with_server(&server, |configuration| configuration.with_max_attempts(1));
    for n in 1..=6 {
        let body = format!("body {n}");
        let mut client = limiter.send(&request_with_key(&format!("k{n}"), &body));
        if n % 2 == 0 {
            limiter.signal("CONT");
        }
        let response = read_response(&mut client);
        assert_eq!((response.status, response.body), (200, body));
        assert_eq!((server.num_received(), server.num_connections()), (n, n));
        if n % 2 == 1 {
            // It finds the half line and the next request at once.
            limiter.signal("STOP");
        }
        wait_for("the half line", || num_half_lines.load(SeqCst) == n);
    }
}

/// Servers that write without end, wherever they can: the connection ends, memory stays within a quarter of what the
/// configuration allows, and the next request is served.
#[test]
fn an_endless_response_is_aborted_with_bounded_memory() {
    const MAX_MEMORY_KB: u64 = 48 << 10;
    let (head, many) = ("HTTP/1.1 200 OK\r\n", "x".repeat(1 << 16));
    for (begin, repeated) in [
        (format!("{head}Content-Length: 3000000000\r\n\r\n"), many.clone()),
        (format!("{head}Transfer-Encoding: chunked\r\n\r\n"), format!("10000\r\n{many}\r\n")),
        (format!("{head}\r\n"), many.clone()),
        (head.to_string(), "X-More: more\r\n".repeat(4096)),
        (format!("{head}X-More: "), many),
        (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(4096)),
    ] {
        let case = format!("{begin:?}");
        let server = StubServer::new(move |request, stream| {
            if request.body == "fine" {
                return write_ok(stream, "fine");
            }
            let _ = stream.write_all(begin.as_bytes());
            while stream.write_all(repeated.as_bytes()).is_ok() {}
            false
        });
        let limiter = LimiterProcess::in_front_of(&server);
        assert_eq!(status_of_only_response(&limiter, &request_with_key("k", "x")), 502, "{case}");
        assert_retried_with_key(&attempts_of_x(&server));
        let memory_kb = limiter.peak_memory_kb();
        assert!(memory_kb < MAX_MEMORY_KB, "{memory_kb} kB, {case}");
        wait_connections_closed(&server);
    }
}
