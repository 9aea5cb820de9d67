//! Clients that disconnect: what they request, when they go, and what came to the servers.

use std::io::Write;
use std::net::TcpStream;

use super::{
    read_response, request_with_long_timeout, serving, sleep_ms, wait_for, Configuration, HttpMessage,
    LimiterProcess, StubServer,
};

/// What the client does before the event that would have its request forwarded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientBehaviour {
    /// Stays: shows that the request is forwarded then.
    StaysConnected,
    /// Leaves, and the limiter has noticed.
    DisconnectsBeforeEvent,
    /// Leaves while the limiter is stopped: it finds that and what follows at once, but more than 0.1 s later.
    DisconnectsDuringStall,
}

/// Requests are held for as long as it takes, and there is a plan for [`has_pending_request`].
pub fn allow_long_pending_requests(configuration: Configuration) -> Configuration {
    configuration.with_long_latency_objective().with_rejecting_plan()
}

/// Whether the request c-1 is open: only then is another one with its id rejected for it. This one is rejected in any
/// case, before it is forwarded.
pub fn has_pending_request(limiter: &LimiterProcess) -> bool {
    limiter.request(&request_with_long_timeout("c-1").replace("basic", "refused")).status == 409
}

/// The program without servers, and the request c-1, which therefore waits, with its client.
pub fn start_with_queued_request() -> (LimiterProcess, TcpStream) {
    let limiter = LimiterProcess::with_endpoints(&[], allow_long_pending_requests);
    let client = send_and_wait_until_pending(&limiter);
    (limiter, client)
}

/// Sends the request c-1 and waits until the program has taken it.
pub fn send_and_wait_until_pending(limiter: &LimiterProcess) -> TcpStream {
    let client = limiter.send(&request_with_long_timeout("c-1"));
    wait_for("the request to be taken", || has_pending_request(limiter));
    client
}

pub fn wait_until_disconnect_is_detected(limiter: &LimiterProcess) {
    wait_for("the disconnect to be noticed", || !has_pending_request(limiter));
}

/// Has the client leave before an event, or stay; then this is its response's status.
pub fn race_client_with_event(
    limiter: &LimiterProcess,
    mut client: TcpStream,
    behaviour: ClientBehaviour,
    event: impl FnOnce(),
) -> Option<u16> {
    if behaviour == ClientBehaviour::StaysConnected {
        event();
        return Some(read_response(&mut client).status);
    }
    if behaviour == ClientBehaviour::DisconnectsDuringStall {
        limiter.signal("STOP");
    }
    drop(client);
    if behaviour == ClientBehaviour::DisconnectsBeforeEvent {
        wait_until_disconnect_is_detected(limiter);
    }
    event();
    if behaviour == ClientBehaviour::DisconnectsDuringStall {
        // No wait for anything: from here on nothing may begin.
        sleep_ms(200);
        limiter.signal("CONT");
    }
    None
}

/// Ends the program and returns the ids of all requests that came to the servers until then, sorted.
pub fn shut_down_and_collect_ids(mut limiter: LimiterProcess, servers: &[StubServer]) -> Vec<String> {
    const LAST_ID: &str = "c-last";
    limiter.signal("TERM");
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
    let mut ids = Vec::new();
    for server in servers {
        // Connections are accepted in their order: with this one all of them have been read.
        let mut last = TcpStream::connect(server.addr).expect("connect");
        last.write_all(request_with_long_timeout(LAST_ID).as_bytes()).expect("write");
        wait_for("the last one", || server.num_received_with_id(LAST_ID) > 0);
        drop(last);
        wait_for("all to be read", || server.num_closed_connections() == server.num_connections());
        ids.extend(
            server.received_requests().iter().map(HttpMessage::correlation_id).filter(|id| id != LAST_ID),
        );
    }
    ids.sort();
    ids
}
