//! Clients that disconnect while their requests are pending, and the requests that servers receive
//! nevertheless.

use std::io::Write;
use std::net::TcpStream;

use super::{
    read_response, request_with_long_timeout, sleep_ms, wait_for, Configuration, HttpMessage, LimiterProcess,
    StubServer,
};

/// Correlation id of the request that the functions of this module send.
const PENDING_ID: &str = "c-1";

/// How long the limiter stays stopped after a client has disconnected, in milliseconds. This is longer than
/// the 0.1 s for which the limiter may still forward a request whose client has disconnected.
const STALL_AFTER_DISCONNECT_MS: u64 = 200;

/// What a client does before an event that makes the limiter forward the client's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientBehaviour {
    /// The client stays connected. This case shows that the event makes the limiter forward the request.
    StaysConnected,
    /// The client disconnects, and the limiter detects the disconnect before the event.
    DisconnectsBeforeEvent,
    /// The client disconnects while the limiter is stopped by SIGSTOP. When the limiter continues, more than
    /// 0.1 s after the disconnect, it sees the disconnect and the event at the same time.
    DisconnectsDuringStall,
}

impl ClientBehaviour {
    /// All behaviours.
    pub const ALL: [ClientBehaviour; 3] = [
        ClientBehaviour::StaysConnected,
        ClientBehaviour::DisconnectsBeforeEvent,
        ClientBehaviour::DisconnectsDuringStall,
    ];

    /// All behaviours of a client that disconnects.
    pub const DISCONNECTS: [ClientBehaviour; 2] =
        [ClientBehaviour::DisconnectsBeforeEvent, ClientBehaviour::DisconnectsDuringStall];
}

/// Changes the configuration so that a request may stay pending until its client times out, and adds the plan
/// that [`has_pending_request`] needs.
pub fn allow_long_pending_requests(configuration: Configuration) -> Configuration {
    configuration.with_long_latency_objective().with_rejecting_plan()
}

/// Returns whether the request `c-1` is pending.
///
/// Sends a second request with the same correlation id and a plan whose requests are always rejected, so that
/// no server receives the second request. The limiter answers 409 only if the first request is pending.
///
/// # Panics
///
/// Panics if [`LimiterProcess::request`] panics.
pub fn has_pending_request(limiter: &LimiterProcess) -> bool {
    let duplicate = request_with_long_timeout(PENDING_ID).replace("basic", "refused");
    limiter.request(&duplicate).status == 409
}

/// A limiter without servers, and a client whose request `c-1` is queued in the limiter.
pub struct QueuedRequest {
    /// The limiter. Its configuration is that of [`allow_long_pending_requests`].
    pub limiter: LimiterProcess,
    /// The connection on which the request was sent.
    pub client: TcpStream,
}

impl QueuedRequest {
    /// Starts a limiter and sends the request. Returns when the request is queued.
    ///
    /// # Panics
    ///
    /// Panics if [`send_and_wait_until_pending`] panics.
    pub fn start() -> QueuedRequest {
        let limiter = LimiterProcess::with_endpoints(&[], allow_long_pending_requests);
        let client = send_and_wait_until_pending(&limiter);
        QueuedRequest { limiter, client }
    }
}

/// Sends the request `c-1`, waits until the request is pending, and returns the connection of its client. The
/// configuration must be that of [`allow_long_pending_requests`].
///
/// # Panics
///
/// Panics if the request is not pending within [`super::WAIT_TIMEOUT`].
pub fn send_and_wait_until_pending(limiter: &LimiterProcess) -> TcpStream {
    let client = limiter.send(&request_with_long_timeout(PENDING_ID));
    wait_until_pending(limiter);
    client
}

/// Waits until the request `c-1` is pending.
///
/// # Panics
///
/// Panics if the request is not pending within [`super::WAIT_TIMEOUT`].
pub fn wait_until_pending(limiter: &LimiterProcess) {
    wait_for("the request to be pending", || has_pending_request(limiter));
}

/// Waits until the request `c-1` is no longer pending because the limiter has detected that its client
/// disconnected.
///
/// # Panics
///
/// Panics if the request is still pending after [`super::WAIT_TIMEOUT`].
pub fn wait_until_disconnect_is_detected(limiter: &LimiterProcess) {
    wait_for("the disconnect to be detected", || !has_pending_request(limiter));
}

/// What the client of the request `c-1` and the servers have received by the time the limiter has exited.
#[derive(Debug, PartialEq)]
pub struct RaceOutcome {
    /// Status of the response to the request `c-1`. `None` if its client disconnected.
    pub client_status: Option<u16>,
    /// Correlation ids of all requests that the servers received, sorted.
    pub received_ids: Vec<String>,
}

impl RaceOutcome {
    /// Returns the outcome if the client stays connected and the request is served.
    pub fn served(received_ids: &[&str]) -> RaceOutcome {
        RaceOutcome { client_status: Some(200), received_ids: to_strings(received_ids) }
    }

    /// Returns the outcome if the client disconnects.
    pub fn disconnected(received_ids: &[&str]) -> RaceOutcome {
        RaceOutcome { client_status: None, received_ids: to_strings(received_ids) }
    }
}

fn to_strings(ids: &[&str]) -> Vec<String> {
    ids.iter().map(ToString::to_string).collect()
}

/// Performs this behaviour with the client of the request `c-1`, and triggers the event. Returns the status
/// of the response if the client stays connected, and `None` otherwise.
///
/// # Panics
///
/// Panics if the client stays connected and receives no response, or if the limiter does not detect a
/// disconnect within [`super::WAIT_TIMEOUT`].
pub fn race_client_with_event(
    limiter: &LimiterProcess,
    mut client: TcpStream,
    behaviour: ClientBehaviour,
    trigger_event: impl FnOnce(),
) -> Option<u16> {
    match behaviour {
        ClientBehaviour::StaysConnected => {
            trigger_event();
            Some(read_response(&mut client).status)
        }
        ClientBehaviour::DisconnectsBeforeEvent => {
            drop(client);
            wait_until_disconnect_is_detected(limiter);
            trigger_event();
            None
        }
        ClientBehaviour::DisconnectsDuringStall => {
            limiter.signal("STOP");
            drop(client);
            trigger_event();
            // This sleep waits for no event. After it, the client has been disconnected for so long that no
            // attempt may begin.
            sleep_ms(STALL_AFTER_DISCONNECT_MS);
            limiter.signal("CONT");
            None
        }
    }
}

/// Shuts the limiter down, and returns the correlation ids of all requests that the servers have received,
/// sorted.
///
/// # Panics
///
/// Panics if the limiter does not exit with code 0, or if a server does not read all of its connections,
/// within [`super::WAIT_TIMEOUT`].
pub fn shut_down_and_collect_ids(mut limiter: LimiterProcess, servers: &[StubServer]) -> Vec<String> {
    const LAST_ID: &str = "c-last";
    limiter.signal("TERM");
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
    let mut ids = Vec::new();
    for server in servers {
        // A server accepts connections in the order of their connects. Once a server has received the request
        // on this connection, the server has accepted all connections of the limiter.
        let mut last_client = TcpStream::connect(server.addr).expect("a connection to the server");
        last_client.write_all(request_with_long_timeout(LAST_ID).as_bytes()).expect("a written request");
        wait_for("the last request", || server.num_received_with_id(LAST_ID) > 0);
        drop(last_client);
        wait_for("all connections to be read to their end", || {
            server.num_closed_connections() == server.num_connections()
        });
        let received = server.received_requests();
        ids.extend(received.iter().map(HttpMessage::correlation_id).filter(|id| id != LAST_ID));
    }
    ids.sort();
    ids
}
