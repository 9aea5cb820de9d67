//! Requests of clients: valid requests are forwarded unchanged and answered in order; invalid requests are
//! rejected immediately and reach no server.

mod stubs;

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use stubs::*;

/// Checks both directions: the server receives the method, path, headers and body that the client sent, and
/// the client receives a response that is too large for a single read.
#[test]
fn request_and_response_bodies_are_forwarded_unchanged() {
    let response_body: String = ('a'..='z').cycle().take(50_000).collect();
    let server = StubServer::responding_with(&response_body);
    let limiter = LimiterProcess::in_front_of(&server);
    let response = limiter.request(&request_with_key_and_headers("k1", "X-Ignored: 1\r\n", "hello"));
    assert_eq!(response.status, 200);
    assert_eq!(response.body, response_body);
    let received = server.received_requests();
    assert_eq!(received.len(), 1);
    let request = &received[0];
    assert!(request.head.starts_with("POST /book/00000000b4d65521?x=1 HTTP/1.1\r\n"), "{}", request.head);
    assert_eq!(request.header("x-correlation-id").as_deref(), Some("c-k1"));
    assert_eq!(request.header("idempotency-key").as_deref(), Some("k1"));
    let time_left = request.header("x-time-left").expect("a time left");
    let time_left_s: f64 = time_left.parse().expect("a number of seconds");
    assert!(time_left_s > 0.0 && time_left_s <= 3.0, "{time_left_s}");
    assert_eq!(request.body, "hello");
}

/// A request that must be rejected.
struct InvalidRequest {
    expected_status: u16,
    text: String,
}

/// Returns a request that must be rejected with status 400.
fn bad_request(text: String) -> InvalidRequest {
    InvalidRequest { expected_status: 400, text }
}

/// Returns a request without the header line that starts with `name`.
fn without_header(request: &str, name: &str) -> String {
    let lines: Vec<&str> = request.split("\r\n").filter(|line| !line.starts_with(name)).collect();
    lines.join("\r\n")
}

/// Returns one request for each way in which the request line, the headers or the body can be invalid.
fn invalid_requests() -> Vec<InvalidRequest> {
    let valid = idempotent_request();
    let body_beyond_the_limit = "x".repeat(70_000);
    vec![
        bad_request(request_of_class("nothing", "")),
        bad_request(valid.replace(DEFAULT_CUSTOMER, "b4d65521")),
        bad_request(valid.replace(DEFAULT_CUSTOMER, "00000000b4d6552g")),
        bad_request(valid.replace(DEFAULT_CUSTOMER, "f0000000b4d65521")),
        bad_request(valid.replace("X-Tariff: basic", "X-Tariff: unknown")),
        bad_request(without_header(&valid, "X-Tariff")),
        bad_request(without_header(&valid, "X-Correlation-Id")),
        bad_request(without_header(&valid, "X-Time-Left")),
        bad_request(valid.replace("X-Time-Left: 3.0", "X-Time-Left: NaN")),
        bad_request(valid.replace("X-Time-Left: 3.0", "X-Time-Left: -1")),
        bad_request(without_header(&valid, "X-Weight")),
        bad_request(valid.replace("units=1", "units=-1")),
        bad_request(valid.replace("spread=1", "spread=0")),
        bad_request(valid.replace("first=0", "first=9")),
        bad_request(request_with_key("k", "").replace("Idempotency-Key: k\r\n", "")),
        bad_request("GARBAGE\r\n\r\n".to_string()),
        InvalidRequest { expected_status: 405, text: valid.replacen("GET", "DELETE", 1) },
        InvalidRequest { expected_status: 404, text: valid.replace("/look/", "/look/more/") },
        InvalidRequest { expected_status: 404, text: valid.replace("/look/00000000b4d65521?x=1", "/") },
        InvalidRequest { expected_status: 413, text: request_with_key("k", &body_beyond_the_limit) },
    ]
}

/// Guards against invalid input that reaches the decision logic or a server, or that terminates the process.
#[test]
fn invalid_requests_are_rejected_immediately_and_not_forwarded() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::in_front_of(&server);
    for InvalidRequest { expected_status, text } in invalid_requests() {
        let sent_at = Instant::now();
        assert_eq!(limiter.request(&text).status, expected_status, "{text:.300}");
        assert!(sent_at.elapsed() < Duration::from_secs(3), "{text:.300}");
    }
    assert_eq!(limiter.request(&idempotent_request()).status, 200);
    assert_eq!(server.num_received(), 1, "only the valid request may reach the server");
}

/// Guards against request smuggling: two HTTP parsers that use different framing headers disagree about where
/// a request ends, so that one of them reads a part of its body as another request. Each of these requests
/// must be rejected, and the bytes after it must not be read as a request.
#[test]
fn ambiguous_framing_is_rejected_and_the_connection_closed() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::in_front_of(&server);
    let smuggled_request = idempotent_request_with_id("c-smuggled");
    let chunked = "Transfer-Encoding: chunked\r\n";
    let length = "Content-Length: 5\r\n";
    for framing in [
        format!("{length}{chunked}"),
        format!("{chunked}{length}"),
        chunked.to_string(),
        "Transfer-Encoding: gzip, chunked\r\n".to_string(),
        format!("Transfer-Encoding: chunked, identity\r\n{length}"),
        format!("{length}Content-Length: 6\r\n"),
        "Content-Length: -5\r\n".to_string(),
        "Content-Length: +5\r\n".to_string(),
        "Content-Length: 99999999999999999999\r\n".to_string(),
    ] {
        let head = request_with_key("k", "").replace("Content-Length: 0\r\n", &framing);
        let mut client = limiter.connect();
        let sent_at = Instant::now();
        // The write may fail: the limiter may reject the head and close the connection before all bytes are
        // written.
        let _ = client.write_all(format!("{head}0\r\n\r\n{smuggled_request}").as_bytes());
        let text = read_until_closed(&mut client, sent_at).received_text;
        assert!(text.is_empty() || text.starts_with("HTTP/1.1 4"), "{framing}: {text}");
        assert!(!text.contains("200 OK"), "{framing}: {text}");
    }
    assert!(server.received_requests().is_empty(), "{} requests were forwarded", server.num_received());
}

/// Servers cannot distinguish two requests with the same correlation id, so the second request is rejected
/// while the first is pending. The id may be used again after the first request has been answered.
#[test]
fn a_second_request_with_the_correlation_id_of_a_pending_one_is_rejected() {
    let InFlightRequest { servers, limiter, client: mut first_client } =
        InFlightRequest::start_at_slow_server();
    let same_id_of_other_customer = idempotent_request().replace(DEFAULT_CUSTOMER, "00000000b4d65522");
    assert_eq!(limiter.request(&same_id_of_other_customer).status, 409);
    assert_eq!(read_response(&mut first_client).status, 200);
    assert_eq!(servers[0].num_received(), 1);
    assert_eq!(limiter.request(&idempotent_request()).status, 200, "the correlation id must be usable again");
}

/// A client pipelines requests while its first request waits for a server. The limiter reads the pipelined
/// requests ahead, and must neither lose nor reorder any of them.
#[test]
fn pipelined_requests_are_answered_in_order() {
    const NUM_PIPELINED: usize = 20;
    let server = StubServer::echoing();
    let QueuedRequest { limiter, mut client } = QueuedRequest::start();
    for index in 0..NUM_PIPELINED {
        let request = request_with_key(&format!("k{index}"), &format!("body {index}"));
        client.write_all(request.as_bytes()).expect("a written request");
    }
    limiter.discovery.send(&list_change(2, &[serving("s-1", &server)]));
    assert_eq!(read_response(&mut client).status, 200);
    for index in 0..NUM_PIPELINED {
        assert_eq!(read_response(&mut client).body, format!("body {index}"));
    }
}

/// A client writes a large batch of requests and reads the responses afterwards. The limiter reads more bytes
/// ahead on this connection than on a usual one, and must answer every request that it has read.
#[test]
fn all_pipelined_requests_of_a_large_batch_are_answered() {
    const NUM_REQUESTS: usize = 500;
    let is_first = AtomicBool::new(true);
    let server = StubServer::new(move |_, stream| {
        if is_first.swap(false, Ordering::SeqCst) {
            // The limiter reads the whole batch during this time.
            sleep_ms(500);
        }
        write_ok(stream, "fine")
    });
    let limiter = LimiterProcess::with_server(&server, allow_long_pending_requests);
    let requests: String =
        (0..NUM_REQUESTS).map(|index| request_with_long_timeout(&format!("c-{index}"))).collect();
    assert!(requests.len() > 64 << 10, "{} bytes", requests.len());
    let mut client = limiter.send(&requests);
    for index in 0..NUM_REQUESTS {
        assert_eq!(read_response(&mut client).status, 200, "request {index}");
    }
}
