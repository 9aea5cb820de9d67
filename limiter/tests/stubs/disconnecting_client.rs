//! Clients that disconnect: what they request, when they go, and what came to the servers.

use std::io::Write;
use std::net::TcpStream;

use super::{
    patient_request, pause_ms, read_response, serving, wait_for, Configuration, HttpMessage, NodeProcess,
    StubServer,
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
pub fn holding_requests(configuration: Configuration) -> Configuration {
    configuration.without_latency_objective().with_rejecting_plan()
}

/// Whether the request c-1 is open: only then is another one with its id rejected for it. This one is rejected in any
/// case, before it is forwarded.
pub fn has_open_request(node: &NodeProcess) -> bool {
    node.request(&patient_request("c-1").replace("basic", "refused")).status == 409
}

/// The program without servers, and the request c-1, which therefore waits, with its client.
pub fn start_with_waiting_request() -> (NodeProcess, TcpStream) {
    let node = NodeProcess::with_endpoints(&[], holding_requests);
    let client = send_open_request(&node);
    (node, client)
}

/// Sends the request c-1 and waits until the program has taken it.
pub fn send_open_request(node: &NodeProcess) -> TcpStream {
    let client = node.send(&patient_request("c-1"));
    wait_for("the request to be taken", || has_open_request(node));
    client
}

pub fn wait_disconnect_noticed(node: &NodeProcess) {
    wait_for("the disconnect to be noticed", || !has_open_request(node));
}

/// Has the client leave before an event, or stay; then this is its response's status.
pub fn race(
    node: &NodeProcess,
    mut client: TcpStream,
    behaviour: ClientBehaviour,
    event: impl FnOnce(),
) -> Option<u16> {
    if behaviour == Stays {
        event();
        return Some(read_response(&mut client).status);
    }
    if behaviour == LeavesUnnoticed {
        node.signal("STOP");
    }
    drop(client);
    if behaviour == LeavesNoticed {
        wait_disconnect_noticed(node);
    }
    event();
    if behaviour == LeavesUnnoticed {
        // No wait for anything: from here on nothing may begin.
        pause_ms(200);
        node.signal("CONT");
    }
    None
}

/// Ends the program and returns the ids of all requests that came to the servers until then, sorted.
pub fn shut_down_and_collect_ids(mut node: NodeProcess, servers: &[StubServer]) -> Vec<String> {
    const LAST_ID: &str = "c-last";
    node.signal("TERM");
    assert_eq!(node.exit_code(), Some(0));
    let mut ids = Vec::new();
    for server in servers {
        // Connections are accepted in their order: with this one all of them have been read.
        let mut last = TcpStream::connect(server.addr).expect("connect");
        last.write_all(patient_request(LAST_ID).as_bytes()).expect("write");
        wait_for("the last one", || server.num_received_with_id(LAST_ID) > 0);
        drop(last);
        wait_for("all to be read", || server.num_closed() == server.num_connections());
        ids.extend(server.received().iter().map(HttpMessage::correlation_id).filter(|id| id != LAST_ID));
    }
    ids.sort();
    ids
}
