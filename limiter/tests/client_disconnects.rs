//! Attempts after a disconnect: neither a first attempt nor a retry may begin more than 0.1 s after the
//! client has closed its connection. In most tests, a client disconnects before an event that would make the
//! limiter forward the client's request. `client_disconnects_before_grants.rs` tests quota grants as such
//! events, and `disconnect_detection.rs` tests the detection of disconnects.

mod stubs;

use std::collections::HashSet;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Mutex;

use stubs::*;

/// Returns the expected outcome of a race in which the first attempt of the request `c-1` fails or is
/// rejected, and the request `c-2` follows: `c-1` is retried only if its client stays connected.
fn outcome_with_retry_only_if_connected(behaviour: ClientBehaviour) -> RaceOutcome {
    match behaviour {
        ClientBehaviour::StaysConnected => RaceOutcome::served(&["c-1", "c-1", "c-2"]),
        ClientBehaviour::DisconnectsBeforeEvent | ClientBehaviour::DisconnectsDuringStall => {
            RaceOutcome::disconnected(&["c-1", "c-2"])
        }
    }
}

/// Returns a closure that the stub servers of a test share. The closure answers each request with 200, except
/// the first one: the first request waits until the gate is open and is answered by `respond_first`.
fn hold_first_request_at_gate(
    gate: &Gate,
    respond_first: impl Fn(&mut TcpStream) -> bool + Send + Sync + 'static,
) -> impl Fn(&HttpMessage, &mut TcpStream) -> bool + Send + Sync + 'static {
    let gate = gate.clone();
    let num_received = AtomicUsize::new(0);
    move |_, stream| {
        let is_first = num_received.fetch_add(1, SeqCst) == 0;
        if !is_first {
            return write_ok(stream, "fine");
        }
        gate.wait_until_open();
        respond_first(stream)
    }
}

/// A client disconnects while a server processes its request. The response, which arrives later, must not
/// reach another client, although the connection to the server may be reused.
#[test]
fn a_late_response_to_a_disconnected_client_does_not_reach_other_clients() {
    let server = StubServer::new(|request, stream| {
        if request.body == "slow" {
            sleep_ms(300);
        }
        write_ok(stream, &request.body)
    });
    let limiter = LimiterProcess::in_front_of(&server);
    let disconnecting_client = limiter.send(&request_with_key("k1", "slow"));
    wait_for("the request to arrive", || server.num_received() == 1);
    drop(disconnecting_client);
    // Requests of other clients follow for 0.5 s, so that the late response arrives among them.
    for n in 0..10 {
        let body = format!("fast{n}");
        let response = limiter.request(&request_with_key(&format!("f{n}"), &body));
        assert_eq!(response.status, 200);
        assert_eq!(response.body, body);
        sleep_ms(50);
    }
}

/// A server closes or resets the connection of an attempt without a response. The request is retried if its
/// client is connected, and not if its client has disconnected.
#[test]
fn a_failed_attempt_is_not_retried_for_a_disconnected_client() {
    for behaviour in ClientBehaviour::ALL {
        for is_reset in [false, true] {
            let outcome = race_with_failed_attempt(behaviour, is_reset);
            assert_eq!(
                outcome,
                outcome_with_retry_only_if_connected(behaviour),
                "{behaviour:?}, reset: {is_reset}"
            );
        }
    }
}

/// Races a client with this behaviour against a server that closes or resets the connection of the first
/// attempt.
fn race_with_failed_attempt(behaviour: ClientBehaviour, is_reset: bool) -> RaceOutcome {
    let gate = Gate::default();
    let respond = hold_first_request_at_gate(&gate, move |stream| {
        if is_reset {
            reset_on_close(stream);
        }
        false
    });
    let InFlightRequest { servers, limiter, client } =
        InFlightRequest::start(2, respond, &request_with_long_timeout("c-1"), allow_long_pending_requests);
    let client_status = race_client_with_event(&limiter, client, behaviour, || gate.open());
    assert_eq!(limiter.request(&request_with_long_timeout("c-2")).status, 200);
    RaceOutcome { client_status, received_ids: shut_down_and_collect_ids(limiter, &servers) }
}

/// Latency objective of the requests whose attempts time out.
const LATENCY_OBJECTIVE_MS: u32 = 5000;
/// How long the limiter is stopped while an attempt times out, in milliseconds. This is longer than 0.4 of
/// the latency objective, after which an attempt without a response times out.
const ATTEMPT_TIMEOUT_STALL_MS: u64 = 2300;

/// The first attempt of each request receives no response. After 0.4 of the latency objective, the limiter
/// cancels the attempt and retries the request at the other server. The request of a disconnected client must
/// not be retried. The request of the next client, `c-2`, is retried.
#[test]
fn a_timed_out_attempt_is_not_retried_for_a_disconnected_client() {
    for behaviour in ClientBehaviour::DISCONNECTS {
        let seen_ids = Mutex::new(HashSet::new());
        let respond = move |request: &HttpMessage, stream: &mut TcpStream| {
            let is_first_attempt = seen_ids
                .lock()
                .expect("no thread panicked while it held the lock")
                .insert(request.correlation_id());
            if is_first_attempt {
                ignore_until_closed(stream)
            } else {
                write_ok(stream, "fine")
            }
        };
        let alter = |configuration: Configuration| {
            configuration.with_latency_objective_ms(LATENCY_OBJECTIVE_MS).with_rejecting_plan()
        };
        let InFlightRequest { servers, limiter, client } =
            InFlightRequest::start(2, respond, &request_with_long_timeout("c-1"), alter);
        race_client_with_event(&limiter, client, behaviour, || {
            if behaviour == ClientBehaviour::DisconnectsDuringStall {
                sleep_ms(ATTEMPT_TIMEOUT_STALL_MS);
            }
        });
        // The retry of this request begins after the time at which the first request would have been retried.
        assert_eq!(limiter.request(&request_with_long_timeout("c-2")).status, 200);
        let received_ids = shut_down_and_collect_ids(limiter, &servers);
        assert_eq!(received_ids, ["c-1", "c-2", "c-2"], "{behaviour:?}");
    }
}

/// A draining server rejects a request, which is queued because no other server is serving. When the server
/// is serving again, the request is forwarded if its client is connected, and not if its client has
/// disconnected.
#[test]
fn a_queued_request_is_not_forwarded_for_a_disconnected_client() {
    for behaviour in ClientBehaviour::ALL {
        let gate = Gate::default();
        let respond = hold_first_request_at_gate(&gate, write_rejection);
        let request = request_with_long_timeout("c-1");
        let InFlightRequest { servers, limiter, client } =
            InFlightRequest::start(1, respond, &request, allow_long_pending_requests);
        let server = &servers[0];
        limiter.discovery.send(&list_change(2, &[draining_at("s-1", server.addr)]));
        limiter.wait_until_logged("state=draining");
        gate.open();
        wait_for("the connection to the draining server to be closed", || {
            server.num_closed_connections() == 1
        });
        assert!(has_pending_request(&limiter), "the request is no longer pending");
        let client_status = race_client_with_event(&limiter, client, behaviour, || {
            limiter.discovery.send(&list_change(3, &[serving("s-1", server)]));
        });
        limiter.wait_until_ready();
        assert_eq!(limiter.request(&request_with_long_timeout("c-2")).status, 200);
        let outcome =
            RaceOutcome { client_status, received_ids: shut_down_and_collect_ids(limiter, &servers) };
        assert_eq!(outcome, outcome_with_retry_only_if_connected(behaviour), "{behaviour:?}");
    }
}

/// The order in which a client with two pipelined requests disconnects and a server responds to the first
/// one.
#[derive(Clone, Copy, Debug)]
enum DisconnectOrder {
    /// The limiter detects the disconnect before the server responds.
    DisconnectDetectedBeforeResponse,
    /// The client disconnects before the server responds. The limiter is stopped and sees both events
    /// together.
    DisconnectBeforeResponseDuringStall,
    /// The server responds before the client disconnects. The limiter is stopped and sees both events
    /// together.
    ResponseBeforeDisconnectDuringStall,
}

/// A client pipelines two requests and disconnects before or after the server rejects or answers the first
/// one. A rejected first request must not be retried, and the second request must not be forwarded.
#[test]
fn a_pipelined_request_is_not_forwarded_for_a_disconnected_client() {
    for order in [
        DisconnectOrder::DisconnectDetectedBeforeResponse,
        DisconnectOrder::DisconnectBeforeResponseDuringStall,
        DisconnectOrder::ResponseBeforeDisconnectDuringStall,
    ] {
        for is_rejected in [true, false] {
            let received_ids = run_pipelined_requests(order, is_rejected);
            assert_eq!(received_ids, ["c-1", "c-2"], "{order:?}, rejected: {is_rejected}");
        }
    }
}

/// Runs a limiter whose client sends two pipelined requests and disconnects in this order of events, and
/// sends the request `c-2` of another client. Returns the ids of the requests that the server received.
fn run_pipelined_requests(order: DisconnectOrder, is_rejected: bool) -> Vec<String> {
    let gate = Gate::default();
    let response_written = Gate::default();
    let respond = hold_first_request_at_gate(&gate, {
        let response_written = response_written.clone();
        move |stream| {
            let is_open = if is_rejected { write_rejection(stream) } else { write_ok(stream, "fine") };
            response_written.open();
            is_open
        }
    });
    let requests = request_with_long_timeout("c-1") + &request_with_long_timeout("c-1-pipelined");
    let InFlightRequest { servers, limiter, client } =
        InFlightRequest::start(1, respond, &requests, allow_long_pending_requests);
    let trigger_response = || {
        gate.open();
        response_written.wait_until_open();
    };
    race_client_with_response(&limiter, client, order, trigger_response);
    assert_eq!(limiter.request(&request_with_long_timeout("c-2")).status, 200);
    shut_down_and_collect_ids(limiter, &servers)
}

/// Disconnects the client and triggers the response of the server, in this order of events.
fn race_client_with_response(
    limiter: &LimiterProcess,
    client: TcpStream,
    order: DisconnectOrder,
    trigger_response: impl FnOnce(),
) {
    match order {
        DisconnectOrder::DisconnectDetectedBeforeResponse => {
            let behaviour = ClientBehaviour::DisconnectsBeforeEvent;
            race_client_with_event(limiter, client, behaviour, trigger_response);
        }
        DisconnectOrder::DisconnectBeforeResponseDuringStall => {
            let behaviour = ClientBehaviour::DisconnectsDuringStall;
            race_client_with_event(limiter, client, behaviour, trigger_response);
        }
        DisconnectOrder::ResponseBeforeDisconnectDuringStall => {
            limiter.signal("STOP");
            trigger_response();
            let behaviour = ClientBehaviour::DisconnectsDuringStall;
            race_client_with_event(limiter, client, behaviour, || ());
        }
    }
}
