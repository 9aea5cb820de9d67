//! Detection of disconnects: a limiter detects that a client has closed or reset its connection, even if
//! unread bytes precede the end of the connection, and forwards nothing for this client.
//! `client_disconnects.rs` tests what follows from a detected disconnect.

mod stubs;

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::Instant;

use stubs::*;

/// Bytes that a client sends after its request, and how the client ends its connection.
#[derive(Clone, Copy, Debug)]
struct UnreadBytesCase {
    num_bytes: usize,
    /// Whether the client closes only its direction of the connection.
    is_half_closed: bool,
}

const UNREAD_BYTES_CASES: [UnreadBytesCase; 5] = [
    UnreadBytesCase { num_bytes: 0, is_half_closed: false },
    UnreadBytesCase { num_bytes: 12, is_half_closed: false },
    UnreadBytesCase { num_bytes: 12, is_half_closed: true },
    UnreadBytesCase { num_bytes: 20_000, is_half_closed: false },
    // More than the limiter may always read ahead on each connection.
    UnreadBytesCase { num_bytes: 300_000, is_half_closed: true },
];

/// A client with a queued request sends more bytes and disconnects. The end of the connection follows bytes
/// that the limiter need not read yet. The limiter must detect the disconnect nevertheless, so that no server
/// executes a request whose client has disconnected.
#[test]
fn a_disconnect_is_detected_after_unread_bytes() {
    for case in UNREAD_BYTES_CASES {
        let QueuedRequest { limiter, mut client } = QueuedRequest::start();
        let unread_bytes = vec![b'x'; case.num_bytes];
        // The bytes are written in two parts, because the first bytes after a request are read by the code
        // that looks for the head of the next request.
        let (first_part, second_part) = unread_bytes.split_at(case.num_bytes / 2);
        client.write_all(first_part).expect("a written first part");
        assert!(has_pending_request(&limiter));
        client.write_all(second_part).expect("a written second part");
        if case.is_half_closed {
            client.shutdown(Shutdown::Write).expect("a half closed connection");
        } else {
            drop(client);
        }
        wait_until_disconnect_is_detected(&limiter);
        assert_nothing_is_forwarded(&limiter, &format!("{case:?}"));
    }
}

/// A client with a pending request closes its connection while the response to an earlier request is still
/// unread, which resets the connection. The limiter must detect a reset in the same way as a close.
#[test]
fn a_reset_by_the_client_is_detected() {
    let limiter = LimiterProcess::with_endpoints(&[], allow_long_pending_requests);
    let mut client = client_with_unread_response(&limiter);
    client.write_all(request_with_long_timeout("c-1").as_bytes()).expect("a written request");
    wait_until_pending(&limiter);
    drop(client);
    wait_until_disconnect_is_detected(&limiter);
    assert_nothing_is_forwarded(&limiter, "after a reset");
}

/// Announces a server, waits until the limiter is ready, and asserts that the server has received no request.
fn assert_nothing_is_forwarded(limiter: &LimiterProcess, case: &str) {
    let server = StubServer::responding_with("fine");
    limiter.discovery.send(&list_change(2, &[serving("s-1", &server)]));
    limiter.wait_until_ready();
    assert!(server.received_requests().is_empty(), "{case}: a request was forwarded");
}

/// Returns a connection on which a response has arrived that the client has not read. Closing the connection
/// resets it.
fn client_with_unread_response(limiter: &LimiterProcess) -> TcpStream {
    let client = limiter.send(READINESS_REQUEST);
    retry_on_interrupt(|| client.peek(&mut [0])).expect("a response that remains unread");
    client
}

/// Many clients send complete requests and disconnect while the limiter is stopped, by closing, half closing
/// or resetting their connections. The limiter reads each request together with the end of its connection,
/// more than 0.1 s after the disconnect. It must forward none of these requests, whether connections to the
/// server are pooled or not.
#[test]
fn no_request_of_a_burst_of_disconnected_clients_is_forwarded() {
    for burst in BURSTS {
        let forwarded_ids = burst.run_and_collect_forwarded_ids();
        assert!(forwarded_ids.is_empty(), "{burst:?}: {forwarded_ids:?}");
    }
}

/// Number of clients in a burst that close or half close their connections.
const NUM_CLOSING_CLIENTS: usize = 75;
/// Number of clients in a burst that reset their connections.
const NUM_RESETTING_CLIENTS: usize = 25;
/// Part of the correlation ids of all requests whose clients disconnect.
const BURST_ID: &str = "burst";
/// Prefix of the correlation ids of the requests that open connections to the server before the burst.
const WARM_UP_ID: &str = "c-warm-up";
/// How long the limiter stays stopped after the last client has disconnected, in milliseconds. This is longer
/// than the 0.1 s for which a request may still be forwarded after its client has disconnected.
const STALL_AFTER_BURST_MS: u64 = 200;

/// Clients that send a request and disconnect while the limiter is stopped.
#[derive(Debug)]
struct DisconnectingBurst {
    /// Length of the body of each request. `None` for requests without a body.
    body_bytes: Option<usize>,
    /// Number of idle connections to the server when the burst begins.
    num_pooled_connections: usize,
    /// Number of bytes, at least, that each client sends after its request: further requests.
    pipelined_bytes: usize,
}

const BURSTS: [DisconnectingBurst; 8] = [
    DisconnectingBurst { body_bytes: None, num_pooled_connections: 0, pipelined_bytes: 0 },
    DisconnectingBurst { body_bytes: None, num_pooled_connections: 8, pipelined_bytes: 0 },
    DisconnectingBurst { body_bytes: Some(5), num_pooled_connections: 0, pipelined_bytes: 0 },
    DisconnectingBurst { body_bytes: Some(5), num_pooled_connections: 8, pipelined_bytes: 0 },
    DisconnectingBurst { body_bytes: Some(40_000), num_pooled_connections: 8, pipelined_bytes: 0 },
    // The end of the connection comes behind much that is unread, partly so much that it has not reached the
    // limiter's host: requests of clients that have left were forwarded.
    DisconnectingBurst { body_bytes: None, num_pooled_connections: 8, pipelined_bytes: 50_000 },
    DisconnectingBurst { body_bytes: None, num_pooled_connections: 8, pipelined_bytes: 500_000 },
    DisconnectingBurst { body_bytes: Some(5), num_pooled_connections: 0, pipelined_bytes: 1_500_000 },
];

impl DisconnectingBurst {
    /// Runs the burst with a new limiter and server. Returns the ids of the requests that were forwarded
    /// although their clients had disconnected.
    fn run_and_collect_forwarded_ids(&self) -> Vec<String> {
        let server = self.start_server();
        let limiter = LimiterProcess::with_server(&server, allow_long_pending_requests);
        self.open_pooled_connections(&limiter);

        let mut resetting_clients: Vec<TcpStream> = Vec::new();
        for _ in 0..NUM_RESETTING_CLIENTS {
            resetting_clients.push(client_with_unread_response(&limiter));
        }
        limiter.signal("STOP");
        let half_closed_clients = self.send_and_close(&limiter);
        self.send_and_reset(resetting_clients);
        // This sleep waits for no event. After it, the clients have been disconnected for so long that their
        // requests may no longer be forwarded.
        sleep_ms(STALL_AFTER_BURST_MS);
        limiter.signal("CONT");

        for mut client in half_closed_clients {
            read_until_closed(&mut client, Instant::now());
        }
        assert_eq!(limiter.request(&request_with_long_timeout("c-2")).status, 200);
        let mut ids = shut_down_and_collect_ids(limiter, &[server]);
        ids.retain(|id| id.contains(BURST_ID));
        ids
    }

    /// Starts a server that answers the warm-up requests only when all of them have arrived, so that each of
    /// them uses a connection of its own.
    fn start_server(&self) -> StubServer {
        let num_warm_up_requests = self.num_pooled_connections;
        let num_received = AtomicUsize::new(0);
        StubServer::new(move |request, stream| {
            if request.correlation_id().starts_with(WARM_UP_ID) {
                num_received.fetch_add(1, SeqCst);
                wait_for("all connections to be in use", || {
                    num_received.load(SeqCst) >= num_warm_up_requests
                });
            }
            write_ok(stream, "fine")
        })
    }

    /// Sends the warm-up requests at the same time, and returns when all of them are answered.
    fn open_pooled_connections(&self, limiter: &LimiterProcess) {
        let mut clients: Vec<TcpStream> = Vec::new();
        for number in 0..self.num_pooled_connections {
            clients.push(limiter.send(&request_with_long_timeout(&format!("{WARM_UP_ID}-{number}"))));
        }
        for client in &mut clients {
            assert_eq!(read_response(client).status, 200);
        }
    }

    /// Sends a request on each of the connections that are closed or half closed. Of every three clients, one
    /// half closes its connection after the request, one half closes it after a second, pipelined request,
    /// and one closes it. Returns the half closed connections.
    fn send_and_close(&self, limiter: &LimiterProcess) -> Vec<TcpStream> {
        let mut half_closed_clients = Vec::new();
        for number in 0..NUM_CLOSING_CLIENTS {
            let request = self.request(number) + &self.pipelined_requests(number);
            match number % 3 {
                0 => half_closed_clients.push(send_and_half_close(limiter, &request)),
                1 => {
                    let pipelined = request_with_long_timeout(&format!("c-{BURST_ID}-{number}-pipelined"));
                    half_closed_clients.push(send_and_half_close(limiter, &(request + &pipelined)));
                }
                _ => drop(limiter.send(&request)),
            }
        }
        half_closed_clients
    }

    /// Returns further requests of a client that closes or half closes its connection.
    fn pipelined_requests(&self, number: usize) -> String {
        let request = request_with_long_timeout(&format!("c-{BURST_ID}-{number}-further"));
        request.repeat(self.pipelined_bytes.div_ceil(request.len()))
    }

    /// Sends a request on each of these connections and resets them by closing them.
    fn send_and_reset(&self, resetting_clients: Vec<TcpStream>) {
        for (number, mut client) in (NUM_CLOSING_CLIENTS..).zip(resetting_clients) {
            client.write_all(self.request(number).as_bytes()).expect("a written request");
        }
    }

    fn request(&self, number: usize) -> String {
        match self.body_bytes {
            Some(length) => request_with_key(&format!("{BURST_ID}-{number}"), &"x".repeat(length)),
            None => request_with_long_timeout(&format!("c-{BURST_ID}-{number}")),
        }
    }
}

/// Sends a text on a new connection and closes the client's direction of the connection.
fn send_and_half_close(limiter: &LimiterProcess, text: &str) -> TcpStream {
    let client = limiter.send(text);
    client.shutdown(Shutdown::Write).expect("a half closed connection");
    client
}
