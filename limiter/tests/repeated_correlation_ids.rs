//! Correlation ids that come again after their clients have disconnected: a request that must not be executed
//! twice is not executed twice.

mod stubs;

use stubs::*;

/// The request whose client disconnects, and which comes again.
fn request() -> String {
    request_with_key("k1", "hello")
}

/// Makes the class of [`request`] unsafe to repeat.
fn with_non_idempotent_class(configuration: Configuration) -> Configuration {
    let keyed = r#""Effect":"idempotency_key","KeyScope":"all","WindowMs":8000"#;
    configuration.replace(keyed, r#""Effect":"non_idempotent""#)
}

/// Sends [`request`], closes its connection when the server has received it, and returns when the limiter has
/// cancelled the attempt.
fn abandon_request_at_server(limiter: &LimiterProcess, server: &StubServer) {
    let client = limiter.send(&request());
    wait_for("the request to arrive", || server.num_received() == 1);
    drop(client);
    wait_for("the attempt to be cancelled", || server.num_closed_connections() == 1);
}

/// Guards against an id that a server executes twice: the first execution was under way when the client left,
/// and the id came again.
#[test]
fn an_id_that_a_server_may_have_executed_is_not_executed_again() {
    let alterations: [fn(Configuration) -> Configuration; 2] = [with_non_idempotent_class, |keyed| keyed];
    for alter in alterations {
        let server = StubServer::unresponsive();
        let limiter = LimiterProcess::with_server(&server, alter);
        abandon_request_at_server(&limiter, &server);
        let response = limiter.request(&request());
        assert_eq!(response.status, 409);
        assert_eq!(response.body, "a request with this X-Correlation-Id may have been executed");
        assert_eq!(server.num_received(), 1);
    }
}

/// An id that no server has received may come again: the first request waited for a server.
#[test]
fn an_id_that_no_server_has_received_may_come_again() {
    let limiter = LimiterProcess::with_endpoints(&[], with_non_idempotent_class);
    let client = limiter.send(&request());
    limiter.wait_until_counted("limiter_requests_total value=1");
    drop(client);
    limiter.wait_until_counted(r#"limiter_responses_total{outcome="client_disconnected"} value=1"#);
    let server = StubServer::responding_with("fine");
    limiter.discovery.send(&list_change(2, &[serving("s-1", &server)]));
    limiter.wait_until_ready();
    assert_eq!(limiter.request(&request()).body, "fine");
    assert_eq!(server.num_received(), 1);
}

/// An id that is safe to repeat may come again, whether or not a server has executed it.
#[test]
fn an_idempotent_id_may_come_again() {
    let gate = Gate::default();
    let server_gate = gate.clone();
    let server = StubServer::new(move |_, stream| {
        server_gate.is_open() && write_ok(stream, "fine") || ignore_until_closed(stream)
    });
    let limiter = LimiterProcess::in_front_of(&server);
    let client = limiter.send(&idempotent_request());
    wait_for("the request to arrive", || server.num_received() == 1);
    drop(client);
    wait_for("the attempt to be cancelled", || server.num_closed_connections() == 1);
    gate.open();
    assert_eq!(limiter.request(&idempotent_request()).body, "fine");
    assert_eq!(server.num_received(), 2);
}
