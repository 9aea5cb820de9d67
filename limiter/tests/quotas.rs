//! Quotas on the wire: rejections with advice, what requests cost, and gossip with other limiters.

mod stubs;

use std::io::Write;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

use stubs::*;

/// What is given up on is answered at once, and the response says when to retry.
#[test]
fn a_rejection_is_immediate_and_carries_retry_after() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::with_server(&server, |configuration| {
        configuration
            .replace(r#""MayTell":true"#, r#""MayTell":true,"RetryAfter":true"#)
            .with_quota(r#""Rate":2,"StoreSize":1"#)
    });
    let began = Instant::now();
    let response = limiter.request(&idempotent_request().replace("units=1", "units=3"));
    assert!(began.elapsed() < Duration::from_secs(1), "{:?} of 3 s", began.elapsed());
    assert_eq!(response.status, 429);
    assert_eq!(response.header("retry-after").as_deref(), Some("1.500"));
    assert!(server.received_requests().is_empty());
}

/// Guards against figures that no plan has, in a usual customer's name: they must not touch its quota. The plan here
/// has a burst of 4 units.
#[test]
fn invalid_header_values_do_not_change_the_quota_of_a_customer() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::with_server(&server, |configuration| {
        configuration.with_quota(r#""Rate":0.5,"StoreSize":4"#).with_max_cost_units(4)
    });
    let good = idempotent_request();
    let twice = |header: &str| request_of_class("look", &format!("{header}\r\n"));
    for request in [
        good.replace("units=1", "units=5"),
        good.replace("units=1", "units=1e3"),
        good.replace("units=1", "units=nan"),
        good.replace("units=1", "units="),
        good.replace("units=1", "units=inf"),
        good.replace("spread=1", "spread=2"),
        good.replace("first=0", "first=-1"),
        twice("X-Weight: units=4,spread=1,first=0"),
        twice("X-Tariff: basic"),
        twice("X-Time-Left: 1"),
        twice("X-Correlation-Id: c-2"),
    ] {
        assert_eq!(limiter.request(&request).status, 400, "{request}");
    }
    assert!(server.received_requests().is_empty());
    for n in 0..4 {
        assert_eq!(limiter.request(&good).status, 200, "unit {n} of the customer's 4");
    }
}

/// A request comes with an estimate; the quota takes the cost that the server's good response tells. A figure that no
/// request can have leaves the estimate. The plan here has a burst of 2 units; a cost of 4 leaves it overdrawn for 12
/// s.
#[test]
fn the_quota_is_charged_with_the_actual_cost_of_a_response() {
    let num_served_by_cost = [("4", 1), ("1.0", 2), ("many", 2), ("-2", 2), ("NaN", 2), ("1e9", 2), ("", 2)];
    for (cost, num_served) in num_served_by_cost {
        let server = StubServer::new(move |_, stream| {
            write!(stream, "HTTP/1.1 200 OK\r\nX-True-Cost: {cost}\r\nContent-Length: 0\r\n\r\n").is_ok()
        });
        let limiter = LimiterProcess::with_server(&server, |configuration| {
            configuration.with_quota(r#""Rate":0.25,"StoreSize":2"#).with_max_cost_units(4)
        });
        for n in 0..2 {
            let expected = if n < num_served { 200 } else { 429 };
            let status = limiter.request(&idempotent_request()).status;
            assert_eq!(status, expected, "request {n}, cost '{cost}'");
        }
    }
}

/// Datagrams from unknown senders, oversized and malformed ones are ignored; what goes to a peer is 256 bytes at
/// most.
#[test]
fn gossip_is_attributed_to_peers_by_source_address() {
    let server = StubServer::responding_with("fine");
    let peer = UdpSocket::bind("127.0.0.1:0").expect("bind");
    peer.set_read_timeout(Some(Duration::from_secs(10))).expect("time-out");
    let own = UdpSocket::bind("127.0.0.1:0").expect("bind").local_addr().expect("address");
    let addresses = [own, peer.local_addr().expect("address")];
    let limiter = LimiterProcess::with_server(&server, |configuration| {
        configuration.with_peers(&addresses).with_quota(r#""Rate":100,"StoreSize":100"#)
    });
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("bind");
    for socket in [&unknown_sender, &peer] {
        for length in [0, 1, 64, 256, 257, 4000] {
            socket.send_to(&vec![0xfb; length], own).expect("send");
        }
    }
    // Owners are on both limiters: for some of these customers the peer is asked, which stays silent.
    for n in 0..16 {
        let request = idempotent_request().replace(DEFAULT_CUSTOMER, &format!("{n:016x}"));
        let request = request.replace("spread=1", "spread=2");
        assert_eq!(limiter.request(&request).status, 200, "the even share serves while an owner is silent");
    }
    let mut buffer = [0; 1024];
    let (length, from) = retry_on_interrupt(|| peer.recv_from(&mut buffer)).expect("a quota request");
    assert!(length <= 256 && from == own);
}
