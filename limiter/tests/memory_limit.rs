//! The memory limit: whatever clients send and however slowly, the process stays below it.

mod stubs;

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

use stubs::*;

/// The lowest memory limit of a deployment, in megabytes, and a middle number of descriptors.
const MEMORY_MB: u32 = 32;
const DESCRIPTORS: u32 = 512;
/// Bytes in a KiB and in a megabyte, as the kernel and as the platform count them.
const BYTES_PER_KIB: u64 = 1024;
const BYTES_PER_MB: u64 = 1_000_000;
/// The longest body that the protocol allows, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// The servers, as many as are needed for the limiter to admit requests on all its connections.
const SERVER_NAMES: [&str; 12] =
    ["s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7", "s-8", "s-9", "s-10", "s-11", "s-12"];
/// Time that a server takes for a request, in milliseconds. Long enough that requests occupy all connections.
const SERVICE_MS: u64 = 250;
/// Interval between two measurements of the memory.
const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(2);

/// A limiter with [`MEMORY_MB`] of memory in front of servers that answer with the longest body.
struct SmallLimiter {
    process: LimiterProcess,
    _servers: Vec<StubServer>,
}

impl SmallLimiter {
    fn start() -> SmallLimiter {
        let servers: Vec<StubServer> = SERVER_NAMES.iter().map(|_| slow_server()).collect();
        let endpoints: Vec<Endpoint> =
            SERVER_NAMES.iter().zip(&servers).map(|(name, server)| serving(name, server)).collect();
        let process = LimiterProcess::with_endpoints(&endpoints, |configuration| {
            configuration.with_memory_mb(MEMORY_MB).with_max_descriptors(DESCRIPTORS)
        });
        SmallLimiter { process, _servers: servers }
    }

    /// Runs clients, each in a thread of its own, and asserts that the memory stays below the limit until all
    /// of them have ended.
    fn assert_memory_stays_below_limit(&self, clients: Vec<Client>) {
        let num_running = Arc::new(AtomicUsize::new(clients.len()));
        for client in clients {
            let addr = self.process.addr;
            let num_running = num_running.clone();
            spawn(move || {
                client(addr);
                num_running.fetch_sub(1, Ordering::SeqCst);
            });
        }
        let mut peak_kib = 0;
        while num_running.load(Ordering::SeqCst) > 0 {
            peak_kib = peak_kib.max(self.process.anonymous_memory_kib());
            sleep(MEASUREMENT_INTERVAL);
        }
        assert_is_below_limit(peak_kib);
    }
}

fn assert_is_below_limit(memory_kib: u64) {
    let memory_bytes = memory_kib * BYTES_PER_KIB;
    let limit_bytes = u64::from(MEMORY_MB) * BYTES_PER_MB;
    assert!(memory_bytes < limit_bytes, "{memory_bytes} bytes of {limit_bytes}");
}

/// What a client does at the address of the limiter.
type Client = Box<dyn FnOnce(SocketAddr) + Send>;

fn slow_server() -> StubServer {
    let body = "y".repeat(MAX_BODY_BYTES);
    StubServer::new(move |_, stream| {
        sleep_ms(SERVICE_MS);
        write_ok(stream, &body)
    })
}

/// Returns a request with the longest body. Its client waits for as long as the test may take.
fn long_request(id: &str) -> String {
    request_with_key(id, &"x".repeat(MAX_BODY_BYTES)).replace("Left: 3.0", "Left: 20")
}

/// Connects and sends a text. The limiter may close the connection at any time.
fn send_to(addr: SocketAddr, text: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    Some(stream)
}

/// A client that sends several long requests at once, and reads the responses until the connection ends.
struct PipeliningClient {
    id: usize,
}

impl PipeliningClient {
    const NUM_ROUNDS: usize = 4;
    const REQUESTS_AT_ONCE: usize = 3;

    fn run(&self, addr: SocketAddr) {
        for round in 0..PipeliningClient::NUM_ROUNDS {
            let Ok(mut stream) = TcpStream::connect(addr) else { continue };
            stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout");
            let mut writer = stream.try_clone().expect("a clone of the stream");
            let requests: String =
                (0..PipeliningClient::REQUESTS_AT_ONCE).map(|number| self.request(round, number)).collect();
            // The responses are read meanwhile: the limiter does not read on while they are not.
            let writing = spawn(move || writer.write_all(requests.as_bytes()));
            for _ in 0..PipeliningClient::REQUESTS_AT_ONCE {
                if read_message(&mut stream).is_err() {
                    break;
                }
            }
            let _ = stream.shutdown(Shutdown::Both);
            let _ = writing.join();
        }
    }

    fn request(&self, round: usize, number: usize) -> String {
        long_request(&format!("{}-{round}-{number}", self.id))
    }
}

/// Guards against a process that is killed because many clients send several long requests at once (review
/// case 8).
#[test]
fn long_pipelined_requests_of_many_clients_stay_below_the_memory_limit() {
    const NUM_CLIENTS: usize = 140;
    let limiter = SmallLimiter::start();
    let client = |id| Box::new(move |addr| PipeliningClient { id }.run(addr)) as Client;
    limiter.assert_memory_stays_below_limit((0..NUM_CLIENTS).map(client).collect());
}

/// Sends a part of a long request with many header fields, and waits until the limiter ends the connection;
/// several times.
fn stall_within_long_request(addr: SocketAddr, id: usize) {
    const NUM_ROUNDS: usize = 4;
    const NUM_FIELDS: usize = 80;
    let fields: Vec<String> = (0..NUM_FIELDS).map(|number| format!("f{number}:v\r\n")).collect();
    let fields = fields.concat();
    for round in 0..NUM_ROUNDS {
        let body = "x".repeat(MAX_BODY_BYTES);
        let request = request_with_key_and_headers(&format!("stalled-{id}-{round}"), &fields, &body);
        let incomplete = &request[..request.len() - 1];
        if let Some(mut stream) = send_to(addr, incomplete) {
            let _ = read_message(&mut stream);
        }
    }
}

/// Guards against a process that is killed because hundreds of clients stop within a long request with many
/// header fields, beside others that send several long requests at once.
#[test]
fn clients_that_stop_within_long_requests_stay_below_the_memory_limit() {
    const NUM_STALLED_CLIENTS: usize = 300;
    const NUM_PIPELINING_CLIENTS: usize = 40;
    let limiter = SmallLimiter::start();
    let stalled = |id| Box::new(move |addr| stall_within_long_request(addr, id)) as Client;
    let pipelining = |id| Box::new(move |addr| PipeliningClient { id }.run(addr)) as Client;
    let clients = (0..NUM_STALLED_CLIENTS).map(stalled).chain((0..NUM_PIPELINING_CLIENTS).map(pipelining));
    limiter.assert_memory_stays_below_limit(clients.collect());
}

/// Sends requests at full speed on one connection after another, each connection until the limiter ends it,
/// and reads all that the limiter sends. `request` returns the request with a number.
fn flood(addr: SocketAddr, is_ended: &AtomicBool, request: impl Fn(usize) -> String) {
    const REQUESTS_PER_WRITE: usize = 50;
    let mut number = 0;
    while !is_ended.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(addr) else { return };
        let mut reader = stream.try_clone().expect("a clone of the stream");
        let reading = spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
        let mut is_open = true;
        while is_open && !is_ended.load(Ordering::SeqCst) {
            let requests: Vec<String> = (number..number + REQUESTS_PER_WRITE).map(&request).collect();
            number += REQUESTS_PER_WRITE;
            is_open = stream.write_all(requests.concat().as_bytes()).is_ok();
        }
        let _ = stream.shutdown(Shutdown::Both);
        let _ = reading.join();
    }
}

/// What the client of a flood sends, by the number of the request.
const FLOODS: [fn(usize) -> String; 3] = [
    |_| READINESS_REQUEST.to_string(),
    |_| "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n".to_string(),
    // A new customer and a new id in each request, and no time left for it.
    |number| {
        idempotent_request_with_id(&format!("flood-{number}"))
            .replace(DEFAULT_CUSTOMER, &format!("{number:016x}"))
            .replace("Left: 3.0", "Left: 0")
    },
];

/// Guards against a client that keeps all others waiting, or fills the memory, because it sends small or
/// invalid requests at full speed on one connection.
#[test]
fn a_flood_of_one_client_neither_delays_others_nor_fills_the_memory() {
    const NUM_USUAL_REQUESTS: usize = 40;
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::with_server(&server, |configuration| {
        configuration.with_memory_mb(MEMORY_MB).with_long_latency_objective()
    });
    for request in FLOODS {
        let is_ended = Arc::new(AtomicBool::new(false));
        let flooding = {
            let addr = limiter.addr;
            let is_ended = is_ended.clone();
            spawn(move || flood(addr, &is_ended, request))
        };
        for number in 0..NUM_USUAL_REQUESTS {
            let request = request_with_long_timeout(&format!("usual-{number}"));
            assert_eq!(limiter.request(&request).body, "fine");
        }
        is_ended.store(true, Ordering::SeqCst);
        flooding.join().expect("the end of the flood");
    }
    assert_is_below_limit(limiter.anonymous_memory_kib());
}
