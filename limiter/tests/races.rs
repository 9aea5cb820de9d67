//! Connections to a server that come up late: after the server began to drain, after the client has left, after the
//! dedup window. Each test makes the bad order happen, with a server that accepts on command.

mod stubs;

use stubs::*;

/// Time enough for a connection to come up late: the first bytes of it are sent again after 1 s, 2 s, 4 s.
const LONG_CONNECT_TIMEOUT_MS: u32 = 15_000;

/// The program in front of a server that accepts no connection yet.
fn start_before(
    server: &ServerWithFullBacklog,
    alter: impl Fn(Configuration) -> Configuration,
) -> LimiterProcess {
    let limiter = LimiterProcess::with_endpoints(&[], |configuration| {
        alter(allow_long_pending_requests(configuration).with_connect_timeout_ms(LONG_CONNECT_TIMEOUT_MS))
    });
    limiter.discovery.send(&list_change(2, &[serving_at("s-1", server.addr)]));
    limiter.wait_until_ready();
    limiter
}

#[test]
fn a_connection_established_after_a_drain_carries_no_request() {
    let server = ServerWithFullBacklog::new();
    let other = StubServer::responding_with("other");
    let limiter = start_before(&server, |configuration| configuration);
    let mut client = send_and_wait_until_pending(&limiter);
    let changes = [draining_at("s-1", server.addr), serving("s-2", &other)];
    limiter.discovery.send(&list_change(3, &changes));
    limiter.wait_until_logged("state=draining");
    let late = server.accept_all();
    assert_eq!(read_response(&mut client).body, "other");
    late.wait_for_count(1);
    assert_eq!(late.num_with_request(), 0);
}

/// Where attempts cannot be cancelled, the connection of the first request comes up besides that of the next one.
#[test]
fn a_connection_established_after_the_client_disconnected_carries_no_request() {
    assert_late_connections_after_disconnect(false, 2);
}

/// Where attempts can be cancelled, the connection is given up with the client: none comes up but that of the next
/// request.
#[test]
fn a_connect_is_cancelled_with_its_client_if_attempts_may_be_cancelled() {
    assert_late_connections_after_disconnect(true, 1);
}

/// A client leaves before the connection for its request has come up, and another one sends a request. The requests
/// on connections are counted once the program has ended.
fn assert_late_connections_after_disconnect(can_cancel: bool, num_connections: usize) {
    let server = ServerWithFullBacklog::new();
    let mut limiter = start_before(&server, |configuration| {
        configuration.replace(r#""Cancelling":true"#, &format!("\"Cancelling\":{can_cancel}"))
    });
    let client = send_and_wait_until_pending(&limiter);
    drop(client);
    wait_until_disconnect_is_detected(&limiter);
    let late = server.accept_all();
    let next = limiter.request(&request_with_long_timeout("c-2"));
    assert_eq!((next.status, next.body.as_str()), (200, "late"));
    late.wait_for_count(num_connections);
    limiter.signal("TERM");
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
    assert_eq!(late.num_with_request(), 1, "the second one alone");
    assert_eq!(late.count(), num_connections, "no other has come up");
}

/// A request with a key may have run, and the connection for its retry comes up after the window in which servers
/// drop duplicates: it carries nothing, and the client learns no more than that its request failed.
#[test]
fn a_connection_established_after_the_dedup_window_carries_no_request() {
    let (late_server, gate) = (ServerWithFullBacklog::new(), Gate::default());
    let breaks_off_at = gate.clone();
    let first_server = StubServer::new(move |_, _| {
        breaks_off_at.wait_until_open();
        false
    });
    let limiter = LimiterProcess::with_server(&first_server, |configuration| {
        configuration
            .with_long_latency_objective()
            .with_connect_timeout_ms(LONG_CONNECT_TIMEOUT_MS)
            .replace(r#""AimMs":2500"#, r#""AimMs":600000"#)
            .replace(r#""WindowMs":8000"#, r#""WindowMs":1000"#)
    });
    let mut client = limiter.send(&request_with_key("k", "x").replace("Left: 3.0", "Left: 60"));
    wait_for("the first attempt", || first_server.num_received() == 1);
    limiter.discovery.send(&list_change(2, &[serving_at("s-2", late_server.addr)]));
    limiter.wait_until_logged("endpoint changed server=s-2 ");
    gate.open();
    wait_for("the first attempt to break off", || first_server.num_closed_connections() == 1);
    // The window counts from before the first attempt was received.
    sleep_ms(1200);
    let late = late_server.accept_all();
    assert_eq!(read_response(&mut client).status, 502);
    late.wait_for_count(1);
    assert_eq!(late.num_with_request(), 0, "sent again after the window");
}
