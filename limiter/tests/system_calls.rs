//! System calls that fail, are interrupted or come short as Linux documents it: every request has its answer all the
//! same, and the program goes on until it is told to stop.

mod stubs;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use stubs::*;

/// Clients that send requests at the same time, and how many each sends.
const CLIENTS: usize = 4;
const REQUESTS: usize = 150;
/// Long enough to need several reads and writes.
const BODY_BYTES: usize = 9_000;

/// Starts the program before two servers that echo, with these faults.
fn start(faults: &[(&str, &str)]) -> LimiterProcess {
    let servers = [StubServer::echoing(), StubServer::echoing()];
    let endpoints = [serving("s-1", &servers[0]), serving("s-2", &servers[1])];
    let discovery = StubDiscovery::new(complete_list(1, &endpoints));
    let limiter = LimiterProcess::with_faults(discovery, |c| c, DEFAULT_DESCRIPTOR_LIMIT, faults);
    wait_for("readiness", || try_exchange(&limiter, READINESS_REQUEST).is_some_and(|r| r.status == 200));
    limiter
}

/// The response on a new connection; none if it ends without.
fn try_exchange(limiter: &LimiterProcess, request: &str) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect(limiter.addr).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut stream).ok()
}

fn request(client: usize, number: usize) -> String {
    let body = "x".repeat(BODY_BYTES);
    request_with_key(&format!("k-{client}-{number}"), &body)
}

/// What one client has seen.
#[derive(Default)]
struct Seen {
    statuses: Vec<u16>,
    /// Connections that ended while a response was owed.
    unanswered: usize,
    slowest: Duration,
}

/// Sends requests one after the other on a connection that is kept for as long as it lasts.
fn send_requests(limiter: &LimiterProcess, client: usize) -> Seen {
    let mut seen = Seen::default();
    let mut connection: Option<TcpStream> = None;
    for number in 0..REQUESTS {
        let mut stream = connection.take().unwrap_or_else(|| limiter.connect());
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("time-out");
        let began = Instant::now();
        let response = stream
            .write_all(request(client, number).as_bytes())
            .ok()
            .and_then(|()| read_message(&mut stream).ok());
        seen.slowest = seen.slowest.max(began.elapsed());
        match response {
            None => seen.unanswered += 1,
            Some(response) => {
                seen.statuses.push(response.status);
                let closes = response.header("connection").is_some_and(|value| value == "close");
                connection = (!closes).then_some(stream);
            }
        }
    }
    seen
}

/// Sends all requests at once from all clients; what they have seen together.
fn load(limiter: &LimiterProcess) -> Seen {
    let mut all = Seen::default();
    std::thread::scope(|scope| {
        let clients: Vec<_> =
            (0..CLIENTS).map(|client| scope.spawn(move || send_requests(limiter, client))).collect();
        for client in clients {
            let seen = client.join().expect("the client's thread");
            all.statuses.extend(seen.statuses);
            all.unanswered += seen.unanswered;
            all.slowest = all.slowest.max(seen.slowest);
        }
    });
    all
}

/// Every request has an answer in its time, and nothing but good ones and rejections.
fn assert_all_answered(seen: &Seen, allowed: &[u16]) {
    let others: Vec<_> = seen.statuses.iter().filter(|status| !allowed.contains(status)).collect();
    assert!(others.is_empty(), "answers with status {others:?}");
    assert_eq!(seen.unanswered, 0, "requests without an answer");
    assert!(seen.slowest < Duration::from_millis(3500), "the slowest took {:?}", seen.slowest);
}

fn assert_stops(mut limiter: LimiterProcess) {
    limiter.signal("TERM");
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
    assert!(!limiter.has_logged("panicked"));
}

#[test]
fn short_reads_and_writes_do_not_stall_connections() {
    let limiter = start(&[("FAULT_SHIM_SEED", "1"), ("FAULT_SHIM_SHORT", "200")]);
    assert_all_answered(&load(&limiter), &[200]);
    assert_stops(limiter);
}

#[test]
fn interrupted_calls_do_not_close_connections() {
    let limiter = start(&[("FAULT_SHIM_SEED", "2"), ("FAULT_SHIM_INTERRUPT", "50")]);
    assert_all_answered(&load(&limiter), &[200]);
    assert_stops(limiter);
}

/// One call in three is interrupted, also those by which the program hears of its signals.
#[test]
fn interrupted_calls_neither_lose_signals_nor_crash_the_process() {
    let limiter = start(&[("FAULT_SHIM_SEED", "3"), ("FAULT_SHIM_INTERRUPT", "300")]);
    for _ in 0..10 {
        limiter.reload(|configuration| configuration);
        assert!(try_exchange(&limiter, READINESS_REQUEST).is_some(), "the program has ended");
    }
    limiter.wait_until_logged("configuration reloaded, nothing changed");
    assert_stops(limiter);
}

#[test]
fn transient_accept_errors_lose_no_response() {
    let limiter = start(&[("FAULT_SHIM_SEED", "4"), ("FAULT_SHIM_ACCEPT", "300")]);
    for number in 0..100 {
        let response = try_exchange(&limiter, &request(9, number));
        assert_eq!(response.map(|response| response.status), Some(200), "request {number}");
    }
    assert_stops(limiter);
}

/// Connects and sockets that fail on this side say nothing of a server: a request is retried or rejected, none ends as
/// failed, and no server is ejected.
#[test]
fn local_connect_errors_do_not_count_against_the_server() {
    let faults = [("FAULT_SHIM_SEED", "5"), ("FAULT_SHIM_CONNECT", "300"), ("FAULT_SHIM_SOCKET", "200")];
    let limiter = start(&faults);
    assert_all_answered(&load(&limiter), &[200, 429]);
    assert!(!limiter.has_logged("ejected"), "a server was ejected");
    assert_stops(limiter);
}

#[test]
fn all_faults_together_lose_no_response() {
    let faults = [
        ("FAULT_SHIM_SEED", "6"),
        ("FAULT_SHIM_SHORT", "50"),
        ("FAULT_SHIM_INTERRUPT", "20"),
        ("FAULT_SHIM_BROKEN", "500"),
        ("FAULT_SHIM_ACCEPT", "50"),
        ("FAULT_SHIM_CONNECT", "50"),
        ("FAULT_SHIM_SOCKET", "50"),
        ("FAULT_SHIM_STEP_S", "-3600"),
    ];
    let limiter = start(&faults);
    assert_all_answered(&load(&limiter), &[200, 429]);
    assert_stops(limiter);
}

/// Sockets that cannot be made for a moment keep no process from starting.
#[test]
fn transient_socket_errors_do_not_prevent_the_start() {
    for seed in ["1", "2", "3", "4", "5", "6"] {
        let faults = [("FAULT_SHIM_SEED", seed), ("FAULT_SHIM_SOCKET", "600"), ("FAULT_SHIM_EARLY", "1")];
        let limiter = start(&faults);
        assert_stops(limiter);
    }
}
