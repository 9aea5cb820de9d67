//! A stub of discovery, and the endpoint lists that it sends.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{lock, read_message, sleep_ms, wait_for, HttpMessage, StubServer};

/// What a watch sends while there is nothing to say.
pub const HEARTBEAT: &str = "\n";
const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// A server as discovery announces it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    id: &'static str,
    addr: SocketAddr,
    state: &'static str,
}

pub fn serving(id: &'static str, server: &StubServer) -> Endpoint {
    serving_at(id, server.addr)
}

pub fn serving_at(id: &'static str, addr: SocketAddr) -> Endpoint {
    Endpoint { id, addr, state: "active" }
}

pub fn draining_at(id: &'static str, addr: SocketAddr) -> Endpoint {
    Endpoint { id, addr, state: "leaving" }
}

pub fn removed_at(id: &'static str, addr: SocketAddr) -> Endpoint {
    Endpoint { id, addr, state: "left" }
}

/// A line of discovery that announces all servers.
pub fn complete_list(version: u64, endpoints: &[Endpoint]) -> String {
    endpoint_list(version, true, endpoints)
}

/// A line of discovery that announces those that have changed.
pub fn list_change(version: u64, endpoints: &[Endpoint]) -> String {
    endpoint_list(version, false, endpoints)
}

fn endpoint_list(version: u64, is_complete: bool, endpoints: &[Endpoint]) -> String {
    let entry = |Endpoint { id, addr, state }: &Endpoint| {
        format!(
            r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"m","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
        )
    };
    let entries: Vec<String> = endpoints.iter().map(entry).collect();
    let entries = entries.join(",");
    format!("{{\"version\":{version},\"full\":{is_complete},\"servers\":[{entries}]}}\n")
}

#[derive(Default)]
struct State {
    /// The head of each watch that has begun.
    watch_requests: Mutex<Vec<String>>,
    watches: Mutex<Vec<TcpStream>>,
    heartbeats_stopped: AtomicBool,
    /// Calls are taken and not answered.
    is_unresponsive: AtomicBool,
    unanswered_calls: Mutex<Vec<TcpStream>>,
    num_calls: AtomicUsize,
    /// So many calls are closed in place of an answer.
    num_failures: AtomicUsize,
    /// Time until a call is answered, if it is not at once.
    response_delay: Duration,
    /// What a new watch begins with, if not a heartbeat: until something else has been sent, or a watch has ended. A
    /// call that a busy machine has made too slow is given up, and the next one has to get it.
    first_message: Mutex<Option<String>>,
}

impl State {
    /// Takes calls as they come.
    fn accept_calls(self: Arc<State>, listener: &TcpListener) {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let Ok(request) = read_message(&mut stream) else { continue };
            self.num_calls.fetch_add(1, Ordering::SeqCst);
            let mut unanswered_calls = lock(&self.unanswered_calls);
            if self.is_unresponsive.load(Ordering::SeqCst) {
                unanswered_calls.push(stream);
                continue;
            }
            drop(unanswered_calls);
            if self.response_delay.is_zero() {
                self.answer(stream, request);
            } else {
                let state = self.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(state.response_delay);
                    state.answer(stream, request);
                });
            }
        }
    }

    fn answer(&self, stream: TcpStream, request: HttpMessage) {
        let fewer = |left: usize| left.checked_sub(1);
        if self.num_failures.fetch_update(Ordering::SeqCst, Ordering::SeqCst, fewer).is_ok() {
            return;
        }
        self.begin_watch(stream);
        lock(&self.watch_requests).push(request.head);
    }

    fn begin_watch(&self, mut stream: TcpStream) {
        let text = lock(&self.first_message).clone().unwrap_or_else(|| HEARTBEAT.to_string());
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        write_chunk(&mut stream, &text);
        lock(&self.watches).push(stream);
    }

    fn send_heartbeats(&self) {
        loop {
            sleep_ms(HEARTBEAT_INTERVAL_MS);
            if !self.heartbeats_stopped.load(Ordering::SeqCst) {
                lock(&self.watches).iter_mut().for_each(|watch| write_chunk(watch, HEARTBEAT));
            }
        }
    }
}

fn write_chunk(stream: &mut TcpStream, text: &str) {
    let _ = write!(stream, "{:x}\r\n{text}\r\n", text.len());
}

/// Discovery: watches that send what the test says, and heartbeats.
pub struct StubDiscovery {
    pub addr: SocketAddr,
    state: Arc<State>,
}

impl StubDiscovery {
    /// New watches begin with this text.
    pub fn new(first_message: String) -> StubDiscovery {
        StubDiscovery::with_response_delay_ms(first_message, 0)
    }

    /// The same, with calls that are answered late.
    pub fn with_response_delay_ms(first_message: String, response_delay_ms: u64) -> StubDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let addr = listener.local_addr().expect("address");
        let response_delay = Duration::from_millis(response_delay_ms);
        let first_message = Mutex::new(Some(first_message));
        let state = Arc::new(State { first_message, response_delay, ..State::default() });
        let (accepting, beating) = (state.clone(), state.clone());
        std::thread::spawn(move || accepting.accept_calls(&listener));
        std::thread::spawn(move || beating.send_heartbeats());
        StubDiscovery { addr, state }
    }

    /// The same, with calls at first that are closed late in place of an answer.
    pub fn with_slow_failures(first_message: String, delay_ms: u64, num_failures: usize) -> StubDiscovery {
        let discovery = StubDiscovery::with_response_delay_ms(first_message, delay_ms);
        discovery.state.num_failures.store(num_failures, Ordering::SeqCst);
        discovery
    }

    /// An address where nothing listens.
    pub fn unreachable() -> StubDiscovery {
        StubDiscovery { addr: SocketAddr::from(([127, 0, 0, 1], 1)), state: Arc::default() }
    }

    /// One that is silent: it takes calls and says nothing.
    pub fn unresponsive() -> StubDiscovery {
        let discovery = StubDiscovery::new(HEARTBEAT.to_string());
        discovery.stop_responding();
        discovery
    }

    /// Sends a text on the newest watch.
    pub fn send(&self, text: &str) {
        wait_for("a watch", || !self.watch_request_heads().is_empty());
        *lock(&self.state.first_message) = None;
        if let Some(watch) = lock(&self.state.watches).last_mut() {
            // A heartbeat would end a half line: it is held back from now on.
            self.state.heartbeats_stopped.store(true, Ordering::SeqCst);
            write_chunk(watch, text);
        }
        self.state.heartbeats_stopped.store(!text.ends_with('\n'), Ordering::SeqCst);
    }

    /// The heads of the watches that have begun.
    pub fn watch_request_heads(&self) -> Vec<String> {
        lock(&self.state.watch_requests).clone()
    }

    pub fn num_opened_watches(&self) -> usize {
        lock(&self.state.watch_requests).len()
    }

    /// Calls so far, answered or not.
    pub fn num_watch_requests(&self) -> usize {
        self.state.num_calls.load(Ordering::SeqCst)
    }

    /// Says nothing more, on old watches or to new calls.
    pub fn stop_responding(&self) {
        self.stop_heartbeats();
        self.state.is_unresponsive.store(true, Ordering::SeqCst);
    }

    /// Answers the calls that wait with a text, and all that come from now on.
    pub fn resume_with(&self, text: &str) {
        *lock(&self.state.first_message) = Some(text.to_string());
        let mut unanswered_calls = lock(&self.state.unanswered_calls);
        self.state.is_unresponsive.store(false, Ordering::SeqCst);
        unanswered_calls.drain(..).for_each(|stream| self.state.begin_watch(stream));
    }

    pub fn stop_heartbeats(&self) {
        *lock(&self.state.first_message) = None;
        self.state.heartbeats_stopped.store(true, Ordering::SeqCst);
    }

    /// Ends all watches.
    pub fn close_watches(&self) {
        *lock(&self.state.first_message) = None;
        for watch in lock(&self.state.watches).drain(..) {
            let _ = watch.shutdown(Shutdown::Both);
        }
    }
}
