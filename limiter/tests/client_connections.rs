//! Client connections: slow, idle or too many clients do not affect other clients, and connections without a
//! complete request time out.

mod stubs;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use stubs::*;

/// The time within which a test expects a connection without a complete request to be closed: twice the 3 s
/// that the limiter guarantees, because the machine that runs the test may be busy.
const MAX_TIME_TO_CLOSE: Duration = Duration::from_secs(6);

/// The first bytes of a request; the rest never arrives.
const INCOMPLETE_REQUEST: &str = "GET /look/00";

/// A connection whose last request is incomplete.
struct IncompleteRequest {
    text: String,
    client: TcpStream,
    sent_at: Instant,
}

impl IncompleteRequest {
    /// Sends a text, which is empty or an incomplete request, on a new connection.
    fn send(limiter: &LimiterProcess, text: String) -> IncompleteRequest {
        let client = limiter.send(&text);
        IncompleteRequest { text, client, sent_at: Instant::now() }
    }

    /// Sends a complete request and the beginning of a second one, reads the response to the first, and sends
    /// another byte of the second.
    fn send_after_complete_request(limiter: &LimiterProcess) -> IncompleteRequest {
        let text = idempotent_request() + INCOMPLETE_REQUEST;
        let mut client = limiter.send(&text);
        assert_eq!(read_response(&mut client).status, 200);
        client.write_all(b"0").expect("a written byte");
        IncompleteRequest { text, client, sent_at: Instant::now() }
    }
}

/// Sends one byte after another until the limiter closes the connection. Asserts that this takes less than
/// [`MAX_TIME_TO_CLOSE`]: further bytes must not extend the time within which a request has to arrive.
fn assert_trickling_client_times_out(limiter: &LimiterProcess) {
    let mut client = limiter.connect();
    let started_at = Instant::now();
    while client.write_all(b"x").is_ok() {
        assert!(started_at.elapsed() < MAX_TIME_TO_CLOSE, "the connection is still open");
        sleep_ms(100);
    }
}

/// Guards against connections that are occupied without limit by clients which send nothing, an incomplete
/// request, or one byte after another. The limiter closes each of them in bounded time, with or without an
/// error response. An idle connection whose requests have been answered stays open.
#[test]
fn connections_without_a_complete_request_time_out() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::in_front_of(&server);
    let mut idle_client = limiter.connect();
    assert_eq!(send_and_receive(&mut idle_client, &idempotent_request()).status, 200);
    let incomplete_body = request_with_key("k", "hello").replace("hello", "he");
    let incomplete_requests = [
        IncompleteRequest::send(&limiter, String::new()),
        IncompleteRequest::send(&limiter, INCOMPLETE_REQUEST.to_string()),
        IncompleteRequest::send(&limiter, incomplete_body),
        IncompleteRequest::send_after_complete_request(&limiter),
    ];
    assert_trickling_client_times_out(&limiter);
    for IncompleteRequest { text, mut client, sent_at } in incomplete_requests {
        let closed = read_until_closed(&mut client, sent_at);
        let elapsed = closed.elapsed;
        assert!(elapsed < MAX_TIME_TO_CLOSE, "{text:?}: {:?} after {elapsed:?}", closed.received_text);
    }
    assert_eq!(
        send_and_receive(&mut idle_client, &idempotent_request()).status,
        200,
        "the idle connection must still be open"
    );
}

/// More clients connect than the limiter has descriptors for, and send nothing, an incomplete request or
/// garbage. Clients with complete requests must still be served.
#[test]
fn idle_and_slow_clients_do_not_affect_other_clients() {
    const DESCRIPTORS: u32 = 100;
    const NUM_CLIENTS: usize = 120;
    const FIRST_BYTES: [&[u8]; 3] = [b"", INCOMPLETE_REQUEST.as_bytes(), b"\0\xff\xfe\r\n"];
    let server = StubServer::responding_with("fine");
    let limiter =
        LimiterProcess::with_server(&server, |configuration| configuration.with_max_descriptors(DESCRIPTORS));
    let mut open_clients = Vec::new();
    for first_bytes in FIRST_BYTES.into_iter().cycle().take(NUM_CLIENTS) {
        let mut client = limiter.connect();
        // The write may fail, because the limiter may have closed the connection already.
        let _ = client.write_all(first_bytes);
        open_clients.push(client);
    }
    for _ in 0..5 {
        assert_eq!(limiter.request(&idempotent_request()).status, 200);
    }
}

/// The process gets fewer descriptors than its configuration states, so that accepting connections fails. The
/// limiter must retry, and serve requests again once descriptors are free.
#[test]
fn service_resumes_after_descriptor_exhaustion() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::with_os_descriptor_limit(&server, 24);
    let open_clients: Vec<TcpStream> = (0..60).map(|_| limiter.connect()).collect();
    limiter.wait_until_logged("accept failed error=");
    drop(open_clients);
    wait_for("service", || limiter.request(&idempotent_request()).status == 200);
}

/// Longest time for sending a request slowly. A request that is sent within this time is complete before the
/// limiter times it out, 2 s after the accept.
const MAX_SEND_TIME: Duration = Duration::from_millis(1700);

/// Sends a request byte by byte, while another client exchanges requests and must be answered. Returns the
/// response, or `None` if the machine was too busy to send the request in time.
fn exchange_slowly(
    limiter: &LimiterProcess,
    other_client: &mut TcpStream,
    request: &str,
) -> Option<HttpMessage> {
    let mut client = limiter.connect();
    client.set_nodelay(true).expect("a socket without delay");
    let started_at = Instant::now();
    for (index, byte) in request.bytes().enumerate() {
        client.write_all(&[byte]).ok()?;
        sleep_ms(2);
        if index % 40 == 20 {
            let response = send_and_receive(other_client, &request_with_key("other", "other"));
            assert_eq!(response.body, "other");
        }
    }
    if started_at.elapsed() >= MAX_SEND_TIME {
        return None;
    }
    Some(read_response(&mut client))
}

/// Both a head and a body may arrive byte by byte. The request is served if it is complete in time, and the
/// requests of other clients are served in between.
#[test]
fn a_slow_client_is_served_and_does_not_delay_other_clients() {
    let server = StubServer::echoing();
    let limiter = LimiterProcess::in_front_of(&server);
    let mut other_client = limiter.connect();
    let request_without_body = idempotent_request();
    let request_with_body = request_with_key("slow", "slow");
    for (request, expected_body) in [(request_without_body, ""), (request_with_body, "slow")] {
        let mut response = None;
        // The request is sent again if a busy machine delayed it for too long.
        wait_for("a request that is sent in time", || {
            response = exchange_slowly(&limiter, &mut other_client, &request);
            response.is_some()
        });
        let response = response.expect("the response to a request that was sent in time");
        assert_eq!(response.status, 200);
        assert_eq!(response.body, expected_body);
    }
}
