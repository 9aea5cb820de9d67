//! What clients may send: good requests are forwarded unchanged, bad ones are answered at once and go nowhere, and
//! slow, idle or too many clients hurt nobody but themselves.

mod stubs;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use stubs::*;

#[test]
fn request_and_response_bodies_are_forwarded_unchanged() {
    let body: String = ('a'..='z').cycle().take(50_000).collect();
    let server = StubServer::responding_with(&body);
    let limiter = LimiterProcess::in_front_of(&server);
    let response = limiter.request(&request_with_key_and_headers("k1", "X-Ignored: 1\r\n", "hello"));
    assert_eq!((response.status, response.body.as_str()), (200, body.as_str()));
    let received = server.received_requests();
    assert_eq!(received.len(), 1);
    let request = &received[0];
    assert!(request.head.starts_with("POST /book/00000000b4d65521?x=1 HTTP/1.1\r\n"), "{}", request.head);
    assert_eq!(request.header("x-correlation-id").as_deref(), Some("c-k1"));
    assert_eq!(request.header("idempotency-key").as_deref(), Some("k1"));
    let time_left_s = request.header("x-time-left").and_then(|time| time.parse::<f64>().ok());
    let time_left_s = time_left_s.expect("time left");
    assert!(time_left_s > 0.0 && time_left_s <= 3.0, "{time_left_s}");
    assert_eq!(request.body, "hello");
}

fn without_header(request: &str, name: &str) -> String {
    let kept: Vec<&str> = request.split("\r\n").filter(|line| !line.starts_with(name)).collect();
    kept.join("\r\n")
}

/// Guards against bad input reaching the decisions or a server, or ending the program.
#[test]
fn invalid_requests_are_rejected_immediately_and_not_forwarded() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::in_front_of(&server);
    let good = idempotent_request();
    let without = |name: &str| without_header(&good, name);
    let too_long = "x".repeat(70_000);
    for (status, request) in [
        (400, request_of_class("nothing", "")),
        (400, good.replace(DEFAULT_CUSTOMER, "b4d65521")),
        (400, good.replace(DEFAULT_CUSTOMER, "00000000b4d6552g")),
        (400, good.replace(DEFAULT_CUSTOMER, "f0000000b4d65521")),
        (400, good.replace("X-Tariff: basic", "X-Tariff: unheard")),
        (400, without("X-Tariff")),
        (400, without("X-Correlation-Id")),
        (400, without("X-Time-Left")),
        (400, good.replace("X-Time-Left: 3.0", "X-Time-Left: NaN")),
        (400, good.replace("X-Time-Left: 3.0", "X-Time-Left: -1")),
        (400, without("X-Weight")),
        (400, good.replace("units=1", "units=-1")),
        (400, good.replace("spread=1", "spread=0")),
        (400, good.replace("first=0", "first=9")),
        (400, request_with_key("k", "").replace("Idempotency-Key: k\r\n", "")),
        (405, good.replacen("GET", "DELETE", 1)),
        (404, good.replace("/look/", "/look/more/")),
        (404, good.replace("/look/00000000b4d65521?x=1", "/")),
        (413, request_with_key("k", &too_long)),
        (400, "GARBAGE\r\n\r\n".to_string()),
    ] {
        let began = Instant::now();
        assert_eq!(limiter.request(&request).status, status, "{request:.300}");
        assert!(began.elapsed() < Duration::from_secs(3), "{request:.300}");
    }
    assert_eq!(limiter.request(&good).status, 200);
    assert_eq!(server.num_received(), 1, "only the good one reached the server");
}

/// Guards against a request hidden in a body: two readers that go by different framing headers would see another
/// request behind the first. All of these are rejected, and nothing behind them is read.
#[test]
fn ambiguous_framing_is_rejected_and_the_connection_closed() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::in_front_of(&server);
    let hidden = idempotent_request_with_id("c-hidden");
    let (chunked, length) = ("Transfer-Encoding: chunked\r\n", "Content-Length: 5\r\n");
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
        let began = Instant::now();
        // The rejection may close the connection before all of it is written.
        let _ = client.write_all(format!("{head}0\r\n\r\n{hidden}").as_bytes());
        let text = read_until_closed(&mut client, began).received_text;
        assert!(text.is_empty() || text.starts_with("HTTP/1.1 4"), "{framing}: {text}");
        assert!(!text.contains("200 OK"), "{framing}: {text}");
    }
    assert!(server.received_requests().is_empty(), "{:?}", server.num_received());
}

/// Two requests with one id could not be told apart at the servers: the second is rejected while the first is open.
#[test]
fn the_correlation_id_of_a_pending_request_is_rejected() {
    let InFlightRequest { servers, limiter, client: mut first } = InFlightRequest::start_at_slow_server();
    let of_other_customer = idempotent_request().replace(DEFAULT_CUSTOMER, "00000000b4d65522");
    assert_eq!(limiter.request(&of_other_customer).status, 409);
    assert_eq!(read_response(&mut first).status, 200);
    assert_eq!(servers[0].num_received(), 1);
    assert_eq!(limiter.request(&idempotent_request()).status, 200, "free again once it is answered");
}

/// What comes behind an open request is the next one: read ahead, it is neither lost nor reordered.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = StubServer::echoing();
    let QueuedRequest { limiter, mut client } = QueuedRequest::start();
    for n in 0..20 {
        let request = request_with_key(&format!("k{n}"), &format!("body {n}"));
        client.write_all(request.as_bytes()).expect("write");
    }
    limiter.discovery.send(&list_change(2, &[serving("s-1", &server)]));
    assert_eq!(read_response(&mut client).status, 200);
    for n in 0..20 {
        assert_eq!(read_response(&mut client).body, format!("body {n}"));
    }
}

/// Guards against connections held by silence, by half a request or by one that trickles: each has an error or a
/// close within 3 s of its first byte. One that has been answered may stay.
#[test]
fn connections_without_a_complete_request_time_out() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::in_front_of(&server);
    let mut keep_alive = limiter.connect();
    assert_eq!(send_and_receive(&mut keep_alive, &idempotent_request()).status, 200);
    let half_body = request_with_key("k", "hello").replace("hello", "he");
    let half_behind_a_good_one = idempotent_request() + "GET /look/00";
    let parts = [String::new(), "GET /look/00".to_string(), half_body, half_behind_a_good_one];
    let mut incomplete: Vec<(TcpStream, Instant)> = parts
        .iter()
        .map(|part| {
            let mut client = limiter.send(part);
            if part.contains("\r\n\r\nGET") {
                assert_eq!(read_response(&mut client).status, 200);
                client.write_all(b"0").expect("write");
            }
            (client, Instant::now())
        })
        .collect();
    let mut trickling = limiter.connect();
    let began = Instant::now();
    while trickling.write_all(b"x").is_ok() {
        assert!(began.elapsed() < Duration::from_secs(6), "trickled bytes must not extend the time");
        sleep_ms(100);
    }
    for ((client, began), part) in incomplete.iter_mut().zip(&parts) {
        let ClosedConnection { received_text, elapsed } = read_until_closed(client, *began);
        assert!(elapsed < Duration::from_secs(6), "{part:?}: {received_text:?} after {elapsed:?}");
    }
    assert_eq!(
        send_and_receive(&mut keep_alive, &idempotent_request()).status,
        200,
        "an idle good one is kept"
    );
}

/// Idle connections, half requests and garbage beyond the bound must not shut others out.
#[test]
fn idle_and_slow_clients_do_not_affect_other_clients() {
    let server = StubServer::responding_with("fine");
    let limiter =
        LimiterProcess::with_server(&server, |configuration| configuration.with_max_descriptors(100));
    let mut held = Vec::new();
    for n in 0..120 {
        let mut client = limiter.connect();
        let text: &[u8] = [&b""[..], b"GET /look/00", b"\0\xff\xfe\r\n"][n % 3];
        let _ = client.write_all(text);
        held.push(client);
    }
    for _ in 0..5 {
        assert_eq!(limiter.request(&idempotent_request()).status, 200);
    }
}

/// Fewer descriptors than the configuration promises: accepting fails, is tried again, and service goes on.
#[test]
fn service_resumes_after_descriptor_exhaustion() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::with_os_descriptor_limit(&server, 24);
    let held: Vec<TcpStream> = (0..60).map(|_| limiter.connect()).collect();
    limiter.wait_until_logged("accept failed error=");
    drop(held);
    wait_for("service", || limiter.request(&idempotent_request()).status == 200);
}

/// A client whose request comes byte by byte, in less than the time that it has, is served, and those beside it are.
#[test]
fn a_slow_client_is_served_and_does_not_delay_other_clients() {
    let server = StubServer::echoing();
    let limiter = LimiterProcess::in_front_of(&server);
    let mut neighbour = limiter.connect();
    for (request, body) in [(idempotent_request(), ""), (request_with_key("slow", "slow"), "slow")] {
        // One that a busy machine has made too slow is sent once more.
        wait_for("a request in time", || {
            let mut client = limiter.connect();
            client.set_nodelay(true).expect("no delay");
            let (began, mut is_complete) = (Instant::now(), true);
            for (n, byte) in request.bytes().enumerate() {
                is_complete &= client.write_all(&[byte]).is_ok();
                sleep_ms(2);
                if n % 40 == 20 {
                    let beside = send_and_receive(&mut neighbour, &request_with_key("beside", "beside"));
                    assert_eq!(beside.body, "beside");
                }
            }
            let in_time = is_complete && began.elapsed() < Duration::from_millis(1700);
            if in_time {
                let response = read_response(&mut client);
                assert_eq!((response.status, response.body.as_str()), (200, body));
            }
            in_time
        });
    }
}

/// A client sends many requests at once and reads afterwards: what was read of its connection is owed an answer, though
/// it is more than a usual connection holds.
#[test]
fn all_pipelined_requests_of_a_large_batch_are_answered() {
    const REQUESTS: usize = 500;
    let is_first = AtomicBool::new(true);
    let server = StubServer::new(move |_, stream| {
        if is_first.swap(false, Ordering::SeqCst) {
            // All that was sent has been read by then.
            sleep_ms(500);
        }
        write_ok(stream, "fine")
    });
    let limiter = LimiterProcess::with_server(&server, allow_long_pending_requests);
    let requests: String = (0..REQUESTS).map(|n| request_with_long_timeout(&format!("c-{n}"))).collect();
    assert!(requests.len() > 64 << 10, "{} bytes", requests.len());
    let mut client = limiter.send(&requests);
    for n in 0..REQUESTS {
        assert_eq!(read_response(&mut client).status, 200, "request {n}");
    }
}
