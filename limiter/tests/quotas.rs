//! Quotas: rejections with a Retry-After header, the units that a request is charged, and gossip with peers.

mod stubs;

use std::io::Write;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use stubs::*;

/// A request that costs more than the burst of its quota is rejected immediately, not at the client's
/// deadline of 3 s. The Retry-After header states the time in which the quota refills by the cost of the
/// request: 3 units at 2 units a second, which is 1.5 s.
#[test]
fn a_rejection_is_immediate_and_carries_retry_after() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::with_server(&server, |configuration| {
        configuration
            .replace(r#""MayTell":true"#, r#""MayTell":true,"RetryAfter":true"#)
            .with_quota(r#""Rate":2,"StoreSize":1"#)
    });
    let sent_at = Instant::now();
    let response = limiter.request(&idempotent_request().replace("units=1", "units=3"));
    assert!(sent_at.elapsed() < Duration::from_secs(1), "{:?} of 3 s", sent_at.elapsed());
    assert_eq!(response.status, 429);
    assert_eq!(response.header("retry-after").as_deref(), Some("1.500"));
    assert!(server.received_requests().is_empty());
}

/// Requests of a valid customer with invalid header values must not consume the customer's quota. The plan
/// has a burst of four units, all of which must be left after the invalid requests.
#[test]
fn invalid_header_values_do_not_consume_the_quota_of_a_customer() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::with_server(&server, |configuration| {
        configuration.with_quota(r#""Rate":0.5,"StoreSize":4"#).with_max_cost_units(4)
    });
    let valid = idempotent_request();
    let with_repeated_header = |header: &str| request_of_class("look", &format!("{header}\r\n"));
    for request in [
        valid.replace("units=1", "units=5"),
        valid.replace("units=1", "units=1e3"),
        valid.replace("units=1", "units=nan"),
        valid.replace("units=1", "units="),
        valid.replace("units=1", "units=inf"),
        valid.replace("spread=1", "spread=2"),
        valid.replace("first=0", "first=-1"),
        with_repeated_header("X-Weight: units=4,spread=1,first=0"),
        with_repeated_header("X-Tariff: basic"),
        with_repeated_header("X-Time-Left: 1"),
        with_repeated_header("X-Correlation-Id: c-2"),
    ] {
        assert_eq!(limiter.request(&request).status, 400, "{request}");
    }
    assert!(server.received_requests().is_empty());
    for unit in 1..=4 {
        assert_eq!(limiter.request(&valid).status, 200, "unit {unit} of the customer's 4 must be left");
    }
}

/// Sends two requests, with an estimated cost of one unit each, to a server that reports this actual cost,
/// and asserts the statuses. The plan has a burst of two units.
fn assert_statuses_with_actual_cost(actual_cost: &'static str, expected_statuses: [u16; 2]) {
    let server = StubServer::new(move |_, stream| {
        write!(stream, "HTTP/1.1 200 OK\r\nX-True-Cost: {actual_cost}\r\nContent-Length: 0\r\n\r\n").is_ok()
    });
    let limiter = LimiterProcess::with_server(&server, |configuration| {
        configuration.with_quota(r#""Rate":0.25,"StoreSize":2"#).with_max_cost_units(4)
    });
    for expected_status in expected_statuses {
        let status = limiter.request(&idempotent_request()).status;
        assert_eq!(status, expected_status, "actual cost '{actual_cost}'");
    }
}

/// A request declares an estimated cost, but the quota is charged with the actual cost that a successful
/// response reports. An actual cost of 4 overdraws the burst of 2 units by 2, so that the next unit is
/// available after 3 units have been refilled at 0.25 units a second: 12 s. An actual cost that no request
/// can have is ignored, and the estimate is charged.
#[test]
fn the_quota_is_charged_with_the_actual_cost_of_a_response() {
    assert_statuses_with_actual_cost("4", [200, 429]);
    assert_statuses_with_actual_cost("1.0", [200, 200]);
    for invalid_cost in ["many", "-2", "NaN", "1e9", ""] {
        assert_statuses_with_actual_cost(invalid_cost, [200, 200]);
    }
}

/// Maximum size of a gossip message, in bytes.
const MAX_MESSAGE_BYTES: usize = 256;

/// Sends datagrams that are not gossip messages: empty, too short, of an allowed length, and too long.
fn send_malformed_datagrams(socket: &UdpSocket, limiter_address: SocketAddr) {
    for length in [0, 1, 64, MAX_MESSAGE_BYTES, MAX_MESSAGE_BYTES + 1, 4000] {
        socket.send_to(&vec![0xfb; length], limiter_address).expect("a sent datagram");
    }
}

/// Malformed datagrams from a peer or from an unknown sender do not affect service. A quota request to a peer
/// has a bounded size, and its source is the address by which peers identify this limiter.
#[test]
fn malformed_gossip_is_ignored_and_quota_requests_are_bounded() {
    let server = StubServer::responding_with("fine");
    let peer = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    peer.set_read_timeout(Some(Duration::from_secs(10))).expect("a read timeout");
    let peer_address = peer.local_addr().expect("a local address");
    // The socket is closed immediately, so that the limiter can bind its address.
    let limiter_address =
        UdpSocket::bind("127.0.0.1:0").expect("a socket").local_addr().expect("a local address");
    let limiter = LimiterProcess::with_server(&server, |configuration| {
        configuration.with_peers(&[limiter_address, peer_address]).with_quota(r#""Rate":100,"StoreSize":100"#)
    });
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    send_malformed_datagrams(&unknown_sender, limiter_address);
    send_malformed_datagrams(&peer, limiter_address);
    // Each of the two limiters owns the quotas of some of these customers. For the customers of the peer, the
    // limiter sends the peer a quota request, which the peer never answers.
    for customer in 0..16 {
        let request = idempotent_request()
            .replace(DEFAULT_CUSTOMER, &format!("{customer:016x}"))
            .replace("spread=1", "spread=2");
        assert_eq!(
            limiter.request(&request).status,
            200,
            "the even share must admit the request while an owner is silent"
        );
    }
    let mut buffer = [0; 1024];
    let (length, sender) = retry_on_interrupt(|| peer.recv_from(&mut buffer)).expect("a quota request");
    assert!(length <= MAX_MESSAGE_BYTES, "{length} bytes");
    assert_eq!(sender, limiter_address);
}
