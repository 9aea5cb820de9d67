//! The limit on client connections: a client that waits in the accept queue is answered in time, whatever the
//! clients do that hold the open connections.

mod stubs;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use stubs::*;

/// Number of descriptors in the configuration of each limiter.
const DESCRIPTORS: u32 = 100;
/// Number of clients that stall, several times the connections that the limiter accepts with [`DESCRIPTORS`].
const NUM_STALLED_CLIENTS: usize = 400;
/// Highest number of requests that the limiter accepts and has not answered, with [`DESCRIPTORS`]: half of
/// the descriptors that are not reserved.
const MAX_OPEN_REQUESTS: usize = 42;
/// Time in seconds that the client of a usual request waits.
const TIME_LEFT_S: u64 = 10;
/// Time after its timeout within which a request still has to be answered.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Returns an idempotent request whose client waits [`TIME_LEFT_S`].
fn usual_request() -> String {
    idempotent_request_with_id("usual").replace("Left: 3.0", &format!("Left: {TIME_LEFT_S}"))
}

/// Returns a request whose client stops within the body.
fn request_stalled_in_body(id: usize) -> String {
    request_with_key(&format!("stalled-{id}"), "hello").replace("hello", "he")
}

/// Starts a limiter with [`DESCRIPTORS`] descriptors in front of a server.
fn start_limiter(server: &StubServer, alter: impl Fn(Configuration) -> Configuration) -> LimiterProcess {
    LimiterProcess::with_server(server, |configuration| {
        alter(configuration.with_max_descriptors(DESCRIPTORS))
    })
}

/// Sends the usual request on a new connection, and asserts that its response arrives within the time of the
/// client and [`ANSWER_GRACE`].
fn assert_usual_request_is_answered_in_time(limiter: &LimiterProcess) -> HttpMessage {
    let mut client = limiter.send(&usual_request());
    let max_wait = Duration::from_secs(TIME_LEFT_S) + ANSWER_GRACE;
    let sent_at = Instant::now();
    client.set_read_timeout(Some(max_wait)).expect("a read timeout");
    let response = read_message(&mut client).expect("a response in the time of the client");
    assert!(sent_at.elapsed() <= max_wait, "the response took {:?}", sent_at.elapsed());
    response
}

/// Opens connections until there are several times as many as the limiter accepts, and stops within the body
/// of a request on each.
fn stall_within_bodies(limiter: &LimiterProcess) -> Vec<TcpStream> {
    (0..NUM_STALLED_CLIENTS).map(|id| limiter.send(&request_stalled_in_body(id))).collect()
}

/// Guards against a request that waits unread in the accept queue beyond its time, because clients that stop
/// within a body hold all connections.
#[test]
fn clients_that_stall_within_a_body_do_not_keep_out_other_clients() {
    let server = StubServer::responding_with("fine");
    let limiter = start_limiter(&server, |configuration| configuration);
    let stalled = stall_within_bodies(&limiter);
    let response = assert_usual_request_is_answered_in_time(&limiter);
    assert_eq!(response.status, 200);
    assert_eq!(response.body, "fine");
    drop(stalled);
}

/// Guards against a reset of a client that is evicted while it sends a body slowly. It gets a response after
/// which it may send the request again, and nothing is forwarded.
#[test]
fn a_client_that_is_evicted_within_a_body_gets_a_response() {
    let server = StubServer::responding_with("fine");
    let limiter = start_limiter(&server, |configuration| {
        configuration.replace(r#""MayTell":true"#, r#""MayTell":true,"RetryAfter":true"#)
    });
    let mut stalled = stall_within_bodies(&limiter);
    let response = read_response(&mut stalled[0]);
    assert_eq!(response.status, 503);
    assert_eq!(response.header("connection").as_deref(), Some("close"));
    let retry_after = response.header("retry-after").expect("advice on when to retry");
    assert!(retry_after.parse::<f64>().is_ok_and(|seconds| seconds > 0.0), "{retry_after}");
    assert_eq!(read_until_closed(&mut stalled[0], Instant::now()).received_text, "");
    assert_eq!(server.num_received(), 0);
}

/// A limiter whose server drains, and clients whose requests wait for another server. No further request may
/// be submitted.
struct FullLimiter {
    server: StubServer,
    limiter: LimiterProcess,
    waiting_clients: Vec<TcpStream>,
}

impl FullLimiter {
    /// Starts a limiter, and returns when [`MAX_OPEN_REQUESTS`] requests have been submitted.
    fn start() -> FullLimiter {
        let server = StubServer::responding_with("fine");
        let limiter = start_limiter(&server, Configuration::with_long_latency_objective);
        limiter.discovery.send(&list_change(2, &[draining_at("s-1", server.addr)]));
        limiter.wait_until_logged("state=draining");
        let waiting_clients = (0..MAX_OPEN_REQUESTS)
            .map(|id| limiter.send(&request_with_long_timeout(&format!("waiting-{id}"))))
            .collect();
        limiter.wait_until_counted(&format!("limiter_requests_total value={MAX_OPEN_REQUESTS}"));
        FullLimiter { server, limiter, waiting_clients }
    }

    /// Announces that the server serves again, and returns when each of the waiting clients has a response.
    fn finish_waiting_requests(&mut self) {
        self.limiter.discovery.send(&list_change(3, &[serving("s-1", &self.server)]));
        for client in &mut self.waiting_clients {
            // All are forwarded at once, and there are fewer connections to servers than requests.
            let status = read_response(client).status;
            assert!([200, 429].contains(&status), "status {status}");
        }
    }
}

/// Guards against a request that waits unread in the accept queue beyond its time, because every connection
/// has an open request that waits for a server.
#[test]
fn a_request_beyond_the_limit_is_answered_while_the_open_requests_wait() {
    let mut full = FullLimiter::start();
    assert_eq!(assert_usual_request_is_answered_in_time(&full.limiter).status, 503);
    full.finish_waiting_requests();
    assert_eq!(full.server.num_received_with_id("usual"), 0);
    assert_eq!(full.limiter.request(&usual_request()).status, 200, "there must be capacity again");
}

/// Guards against a connection that is closed with the first 503, although another request has arrived on it
/// and was not read.
#[test]
fn all_pipelined_requests_beyond_the_limit_are_answered() {
    let full = FullLimiter::start();
    let requests = pad_to_one_read(&usual_request()) + &request_with_long_timeout("second");
    let mut client = full.limiter.send(&requests);
    assert_eq!(read_response(&mut client).status, 503);
    assert_eq!(read_response(&mut client).status, 503);
}

/// Clients that stop within the body of a request, and do the same on a new connection when the limiter ends
/// the old one. Dropping the value ends them.
struct PersistentStalledClients {
    is_ended: Arc<AtomicBool>,
}

impl PersistentStalledClients {
    /// Number of clients: with [`DESCRIPTORS`], two thirds of them wait in the accept queue.
    const NUM_CLIENTS: usize = 150;

    /// Starts the clients, each in a thread of its own.
    fn start(limiter: &LimiterProcess) -> PersistentStalledClients {
        let is_ended = Arc::new(AtomicBool::new(false));
        for id in 0..PersistentStalledClients::NUM_CLIENTS {
            let addr = limiter.addr;
            let is_ended = is_ended.clone();
            std::thread::spawn(move || stall_until_ended(addr, &request_stalled_in_body(id), &is_ended));
        }
        PersistentStalledClients { is_ended }
    }
}

impl Drop for PersistentStalledClients {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::SeqCst);
    }
}

/// Sends an incomplete request on one connection after another, until the listener or the clients end.
fn stall_until_ended(addr: SocketAddr, incomplete_request: &str, is_ended: &AtomicBool) {
    while !is_ended.load(Ordering::SeqCst) {
        let Ok(mut client) = TcpStream::connect(addr) else { return };
        if client.write_all(incomplete_request.as_bytes()).is_ok() {
            read_until_closed(&mut client, Instant::now());
        }
    }
}

/// Guards against more open descriptors than the configuration allows, when clients wait in the accept queue
/// while the listener is closed.
#[test]
fn the_descriptors_stay_within_the_limit_when_the_accept_queue_is_full_at_the_shutdown() {
    let server = StubServer::responding_with("fine");
    let mut limiter = start_limiter(&server, |configuration| configuration);
    let clients = PersistentStalledClients::start(&limiter);
    limiter.wait_until_counted(r#"limiter_shed_requests_total{reason="evicted"}"#);
    limiter.signal("TERM");
    let mut max_open_descriptors = 0;
    while limiter.is_running() {
        max_open_descriptors = max_open_descriptors.max(limiter.num_open_descriptors());
    }
    assert!(max_open_descriptors <= DESCRIPTORS as usize, "{max_open_descriptors} descriptors were open");
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
    drop(clients);
}
