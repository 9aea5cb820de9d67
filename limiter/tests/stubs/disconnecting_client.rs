//! Clients that disconnect: what they request, when they go, and what came to the servers.

use std::io::Write;
use std::net::TcpStream;

use super::{
    pause_ms, read_response, request_with_long_timeout, serving, wait_for, Configuration, HttpMessage,
    LimiterProcess, StubServer,
};

/// What the client does before the event that would have its request forwarded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientBehaviour {
    /// Stays: shows that the request is forwarded then.
    Stays,
    /// Leaves, and the limiter has noticed.
    LeavesNoticed,
    /// Leaves while the limiter is stopped: it finds that and what follows at once, but more than 0.1 s later.
    LeavesUnnoticed,
}
pub use ClientBehaviour::*;

/// Requests are held for as long as it takes, and there is a plan for [`has_open_request`].
pub fn without_latency_limits(configuration: Configuration) -> Configuration {
    configuration.without_latency_objective().with_rejecting_plan()
}

/// Whether the request c-1 is open: only then is another one with its id rejected for it. This one is rejected in any
/// case, before it is forwarded.
pub fn has_open_request(limiter: &LimiterProcess) -> bool {
    limiter.request(&request_with_long_timeout("c-1").replace("basic", "refused")).status == 409
}

/// The program without servers, and the request c-1, which therefore waits, with its client.
pub fn start_with_waiting_request() -> (LimiterProcess, TcpStream) {
    let limiter = LimiterProcess::with_endpoints(&[], without_latency_limits);
    let client = send_open_request(&limiter);
    (limiter, client)
}

/// Sends the request c-1 and waits until the program has taken it.
pub fn send_open_request(limiter: &LimiterProcess) -> TcpStream {
    let client = limiter.send(&request_with_long_timeout("c-1"));
    wait_for("the request to be taken", || has_open_request(limiter));
    client
}

pub fn wait_until_disconnect_is_detected(limiter: &LimiterProcess) {
    wait_for("the disconnect to be noticed", || !has_open_request(limiter));
}

/// Has the client leave before an event, or stay; then this is its response's status.
pub fn race(
    limiter: &LimiterProcess,
    mut client: TcpStream,
    behaviour: ClientBehaviour,
    event: impl FnOnce(),
) -> Option<u16> {
    if behaviour == Stays {
        event();
        return Some(read_response(&mut client).status);
    }
    if behaviour == LeavesUnnoticed {
        limiter.signal("STOP");
    }
    drop(client);
    if behaviour == LeavesNoticed {
        wait_until_disconnect_is_detected(limiter);
    }
    event();
    if behaviour == LeavesUnnoticed {
        // No wait for anything: from here on nothing may begin.
        pause_ms(200);
        limiter.signal("CONT");
    }
    None
}

/// Ends the program and returns the ids of all requests that came to the servers until then, sorted.
pub fn shut_down_and_collect_ids(mut limiter: LimiterProcess, servers: &[StubServer]) -> Vec<String> {
    const LAST_ID: &str = "c-last";
    limiter.signal("TERM");
    assert_eq!(limiter.exit_code(), Some(0));
    let mut ids = Vec::new();
    for server in servers {
        // Connections are accepted in their order: with this one all of them have been read.
        let mut last = TcpStream::connect(server.addr).expect("connect");
        last.write_all(request_with_long_timeout(LAST_ID).as_bytes()).expect("write");
        wait_for("the last one", || server.num_received_with_id(LAST_ID) > 0);
        drop(last);
        wait_for("all to be read", || server.num_closed() == server.num_connections());
        ids.extend(server.received().iter().map(HttpMessage::correlation_id).filter(|id| id != LAST_ID));
    }
    ids.sort();
    ids
}
