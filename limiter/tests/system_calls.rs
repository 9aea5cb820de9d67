//! System calls that fail, are interrupted or transfer only a part of their bytes, as the documentation of
//! Linux allows. Every request is answered nevertheless, and the process runs until SIGTERM.

mod stubs;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use stubs::*;

/// Number of clients that send requests at the same time.
const NUM_CLIENTS: usize = 4;
/// Number of requests of each client.
const REQUESTS_PER_CLIENT: usize = 150;
/// Length of each body in bytes, large enough to need several reads and writes.
const BODY_BYTES: usize = 9_000;
/// The longest time to a response: the 3 s that a client waits, and a margin for a busy machine.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(3500);

/// Starts the limiter in front of two servers that echo. `faults` contains environment variables of
/// `fault_shim` and their values; for most faults, the value is the number of failing calls per 1000.
fn start_with_faults(faults: &[(&str, &str)]) -> LimiterProcess {
    let servers = [StubServer::echoing(), StubServer::echoing()];
    let endpoints = [serving("s-1", &servers[0]), serving("s-2", &servers[1])];
    let discovery = StubDiscovery::new(complete_list(1, &endpoints));
    let limiter = LimiterProcess::with_faults(
        discovery,
        |configuration| configuration,
        DEFAULT_DESCRIPTOR_LIMIT,
        faults,
    );
    wait_for("readiness", || {
        let response = try_exchange(&limiter, READINESS_REQUEST);
        response.is_some_and(|response| response.status == 200)
    });
    limiter
}

/// Returns the response to a request on a new connection, or `None` if the connection fails or ends without a
/// response.
fn try_exchange(limiter: &LimiterProcess, request: &str) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect(limiter.addr).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut stream).ok()
}

fn request(client_number: usize, request_number: usize) -> String {
    let body = "x".repeat(BODY_BYTES);
    request_with_key(&format!("k-{client_number}-{request_number}"), &body)
}

/// The responses that one or more clients received.
#[derive(Default)]
struct ClientReport {
    statuses: Vec<u16>,
    /// Connections that ended while a response was outstanding.
    num_unanswered: usize,
    /// The longest time from a request to its response or to the end of its connection.
    max_response_time: Duration,
}

impl ClientReport {
    fn merge(&mut self, other: ClientReport) {
        self.statuses.extend(other.statuses);
        self.num_unanswered += other.num_unanswered;
        self.max_response_time = self.max_response_time.max(other.max_response_time);
    }

    /// Asserts that every request was answered in time, with one of these statuses.
    fn assert_all_answered(&self, allowed_statuses: &[u16]) {
        let is_unexpected = |status: &&u16| !allowed_statuses.contains(status);
        let unexpected: Vec<&u16> = self.statuses.iter().filter(is_unexpected).collect();
        assert!(unexpected.is_empty(), "responses with status {unexpected:?}");
        assert_eq!(self.num_unanswered, 0, "requests without a response");
        let max_response_time = self.max_response_time;
        assert!(max_response_time < MAX_RESPONSE_TIME, "the slowest response took {max_response_time:?}");
    }
}

/// Sends the requests of one client, one after another. The client reuses its connection until the limiter
/// closes it.
fn send_requests(limiter: &LimiterProcess, client_number: usize) -> ClientReport {
    let mut report = ClientReport::default();
    let mut idle_connection: Option<TcpStream> = None;
    for request_number in 0..REQUESTS_PER_CLIENT {
        let mut stream = idle_connection.take().unwrap_or_else(|| limiter.connect());
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout");
        let sent_at = Instant::now();
        let written = stream.write_all(request(client_number, request_number).as_bytes());
        let response = written.and_then(|()| read_message(&mut stream));
        report.max_response_time = report.max_response_time.max(sent_at.elapsed());
        let Ok(response) = response else {
            report.num_unanswered += 1;
            continue;
        };
        report.statuses.push(response.status);
        let is_closing = response.header("connection").is_some_and(|value| value == "close");
        if !is_closing {
            idle_connection = Some(stream);
        }
    }
    report
}

/// Sends the requests of all clients at the same time, and returns the merged report.
fn send_requests_of_all_clients(limiter: &LimiterProcess) -> ClientReport {
    let mut merged_report = ClientReport::default();
    std::thread::scope(|scope| {
        let mut client_threads = Vec::new();
        for client_number in 0..NUM_CLIENTS {
            client_threads.push(scope.spawn(move || send_requests(limiter, client_number)));
        }
        for client_thread in client_threads {
            merged_report.merge(client_thread.join().expect("the client's thread"));
        }
    });
    merged_report
}

fn assert_shuts_down(mut limiter: LimiterProcess) {
    limiter.signal("TERM");
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
    assert!(!limiter.has_logged("panicked"));
}

/// One read or write in five is short.
#[test]
fn short_reads_and_writes_do_not_stall_connections() {
    let limiter = start_with_faults(&[("FAULT_SHIM_SEED", "1"), ("FAULT_SHIM_SHORT", "200")]);
    send_requests_of_all_clients(&limiter).assert_all_answered(&[200]);
    assert_shuts_down(limiter);
}

/// One call in twenty is interrupted.
#[test]
fn interrupted_calls_do_not_close_connections() {
    let limiter = start_with_faults(&[("FAULT_SHIM_SEED", "2"), ("FAULT_SHIM_INTERRUPT", "50")]);
    send_requests_of_all_clients(&limiter).assert_all_answered(&[200]);
    assert_shuts_down(limiter);
}

/// Three calls in ten are interrupted, including those by which the process is notified of signals.
#[test]
fn interrupted_calls_neither_lose_signals_nor_crash_the_process() {
    let limiter = start_with_faults(&[("FAULT_SHIM_SEED", "3"), ("FAULT_SHIM_INTERRUPT", "300")]);
    for _ in 0..10 {
        limiter.reload(|configuration| configuration);
        assert!(try_exchange(&limiter, READINESS_REQUEST).is_some(), "the process has exited");
    }
    limiter.wait_until_logged("configuration reloaded, nothing changed");
    assert_shuts_down(limiter);
}

/// Three accepts in ten fail. The connections wait in the kernel, and each of them must be accepted and
/// served later.
#[test]
fn transient_accept_errors_lose_no_response() {
    let limiter = start_with_faults(&[("FAULT_SHIM_SEED", "4"), ("FAULT_SHIM_ACCEPT", "300")]);
    for request_number in 0..100 {
        let response = try_exchange(&limiter, &request(9, request_number));
        assert_eq!(response.map(|response| response.status), Some(200), "request {request_number}");
    }
    assert_shuts_down(limiter);
}

/// Connects and the creation of sockets fail because of the limiter's host, which proves nothing about a
/// server: a request is retried or rejected, no request fails, and no server is ejected.
#[test]
fn local_connect_errors_do_not_eject_a_server() {
    let limiter = start_with_faults(&[
        ("FAULT_SHIM_SEED", "5"),
        ("FAULT_SHIM_CONNECT", "300"),
        ("FAULT_SHIM_SOCKET", "200"),
    ]);
    send_requests_of_all_clients(&limiter).assert_all_answered(&[200, 429]);
    assert!(!limiter.has_logged("ejected"), "a server was ejected");
    assert_shuts_down(limiter);
}

/// All kinds of faults occur together, and the wall clock is repeatedly set back by an hour and corrected.
#[test]
fn all_faults_together_lose_no_response() {
    let limiter = start_with_faults(&[
        ("FAULT_SHIM_SEED", "6"),
        ("FAULT_SHIM_SHORT", "50"),
        ("FAULT_SHIM_INTERRUPT", "20"),
        ("FAULT_SHIM_BROKEN", "500"),
        ("FAULT_SHIM_ACCEPT", "50"),
        ("FAULT_SHIM_CONNECT", "50"),
        ("FAULT_SHIM_SOCKET", "50"),
        ("FAULT_SHIM_STEP_S", "-3600"),
    ]);
    send_requests_of_all_clients(&limiter).assert_all_answered(&[200, 429]);
    assert_shuts_down(limiter);
}

/// While the process starts, six of ten sockets cannot be created. The process must retry and complete its
/// start.
#[test]
fn transient_socket_errors_do_not_prevent_the_start() {
    for seed in ["1", "2", "3", "4", "5", "6"] {
        let limiter = start_with_faults(&[
            ("FAULT_SHIM_SEED", seed),
            ("FAULT_SHIM_SOCKET", "600"),
            ("FAULT_SHIM_EARLY", "1"),
        ]);
        assert_shuts_down(limiter);
    }
}
