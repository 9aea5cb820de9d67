//! Connections to a server that are established late: after the server has started to drain, after the client
//! has disconnected, or after the deduplication window. Such a connection must carry no request. Each test
//! forces this order with a server whose connections are established only when the test allows it.

mod stubs;

use stubs::*;

/// Connect timeout in milliseconds, which a late connection does not exceed: the kernel retransmits the SYN
/// segment of a connect after 1 s, 2 s and 4 s.
const LONG_CONNECT_TIMEOUT_MS: u32 = 15_000;

/// Starts the limiter in front of a server that does not accept connections yet.
fn start_in_front_of(
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

/// The server starts to drain while the connection is being established. The request must be forwarded to
/// another server.
#[test]
fn a_connection_established_after_a_drain_has_started_carries_no_request() {
    let server = ServerWithFullBacklog::new();
    let other_server = StubServer::responding_with("other");
    let limiter = start_in_front_of(&server, |configuration| configuration);
    let mut client = send_and_wait_until_pending(&limiter);
    let changes = [draining_at("s-1", server.addr), serving("s-2", &other_server)];
    limiter.discovery.send(&list_change(3, &changes));
    limiter.wait_until_logged("state=draining");
    let late_connections = server.accept_all();
    assert_eq!(read_response(&mut client).body, "other");
    late_connections.wait_for_count(1);
    assert_eq!(late_connections.num_with_request(), 0);
}

/// If the settings do not allow the limiter to cancel attempts, two connections are established: one for the
/// first request and one for the next one.
#[test]
fn a_connection_established_after_the_client_disconnected_carries_no_request() {
    assert_only_next_request_is_sent_after_disconnect(false, 2);
}

/// If the settings allow the limiter to cancel attempts, the connect is cancelled when the client
/// disconnects: only the connection for the next request is established.
#[test]
fn a_connect_is_cancelled_with_its_client_if_attempts_may_be_cancelled() {
    assert_only_next_request_is_sent_after_disconnect(true, 1);
}

/// A client disconnects before the connection for its request is established, and another client sends the
/// next request. Asserts that only the next request is sent, and that exactly `num_connections` connections
/// are established. The connections are counted after the process has exited, when no more can be
/// established.
fn assert_only_next_request_is_sent_after_disconnect(can_cancel: bool, num_connections: usize) {
    let server = ServerWithFullBacklog::new();
    let mut limiter = start_in_front_of(&server, |configuration| {
        configuration.replace(r#""Cancelling":true"#, &format!("\"Cancelling\":{can_cancel}"))
    });
    let client = send_and_wait_until_pending(&limiter);
    drop(client);
    wait_until_disconnect_is_detected(&limiter);
    let late_connections = server.accept_all();
    let next_response = limiter.request(&request_with_long_timeout("c-2"));
    assert_eq!(next_response.status, 200);
    assert_eq!(next_response.body, "late");
    late_connections.wait_for_count(num_connections);
    limiter.signal("TERM");
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
    assert_eq!(late_connections.num_with_request(), 1, "only the next request must be sent");
    assert_eq!(late_connections.count(), num_connections, "no further connection must be established");
}

/// The first attempt of a request with a key fails after the request may have been executed, and the
/// connection for the retry is established after the window in which servers drop duplicates. A retry could
/// then execute the request twice: the limiter must not send it, and the client receives 502, which says only
/// that the request failed.
#[test]
fn a_connection_established_after_the_deduplication_window_carries_no_request() {
    const DEDUPLICATION_WINDOW_MS: u32 = 1000;
    let late_server = ServerWithFullBacklog::new();
    let gate = Gate::default();
    let gate_of_server = gate.clone();
    let first_server = StubServer::new(move |_, _| {
        gate_of_server.wait_until_open();
        false
    });
    let limiter = LimiterProcess::with_server(&first_server, |configuration| {
        configuration
            .with_long_latency_objective()
            .with_connect_timeout_ms(LONG_CONNECT_TIMEOUT_MS)
            .replace(r#""AimMs":2500"#, r#""AimMs":600000"#)
            .replace(r#""WindowMs":8000"#, &format!("\"WindowMs\":{DEDUPLICATION_WINDOW_MS}"))
    });
    let mut client = limiter.send(&request_with_key("k", "x").replace("Left: 3.0", "Left: 60"));
    wait_for("the first attempt", || first_server.num_received() == 1);
    limiter.discovery.send(&list_change(2, &[serving_at("s-2", late_server.addr)]));
    limiter.wait_until_logged("endpoint changed server=s-2 ");
    gate.open();
    wait_for("the first attempt to fail", || first_server.num_closed_connections() == 1);
    // The window starts before the server received the first attempt, so it has ended after this time.
    sleep_ms(1200);
    let late_connections = late_server.accept_all();
    assert_eq!(read_response(&mut client).status, 502);
    late_connections.wait_for_count(1);
    assert_eq!(late_connections.num_with_request(), 0, "the retry was sent after the window");
}
