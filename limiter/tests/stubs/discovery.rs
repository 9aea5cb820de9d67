//! A stub of discovery, which answers watch requests and sends endpoint lists and heartbeats on the watches.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{lock, read_message, sleep_ms, wait_for, HttpMessage};

/// The text that a watch sends while the endpoint list does not change.
pub const HEARTBEAT: &str = "\n";
/// Time between two heartbeats of a watch, in milliseconds. The limiter reopens a watch that is silent for
/// 2.5 s.
const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// State that a stub shares with its threads.
#[derive(Default)]
struct State {
    /// Heads of the watch requests that opened a watch without [`StubDiscovery::resume_with`], oldest first.
    answered_heads: Mutex<Vec<String>>,
    /// Watches that the stub has not closed, oldest first.
    watches: Mutex<Vec<TcpStream>>,
    heartbeats_stopped: AtomicBool,
    /// Whether watch requests are accepted but not answered until the stub resumes.
    is_unresponsive: AtomicBool,
    /// Connections of the watch requests that are not answered until the stub resumes.
    unanswered_streams: Mutex<Vec<TcpStream>>,
    /// Number of watch requests that were received, answered or not.
    num_watch_requests: AtomicUsize,
    /// Number of watch requests that are yet to be closed without an answer.
    num_remaining_failures: AtomicUsize,
    /// Time between a watch request and its answer.
    response_delay: Duration,
    /// The first text of each new watch. `None` for a heartbeat. The text is kept until the test sends
    /// another one, stops the heartbeats or closes the watches: on a busy machine the limiter may abandon a
    /// slow watch request, and the watch of the next request must begin with the same text.
    first_message: Mutex<Option<String>>,
}

impl State {
    fn accept_watch_requests(self: Arc<State>, listener: &TcpListener) {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let Ok(request) = read_message(&mut stream) else { continue };
            self.num_watch_requests.fetch_add(1, Ordering::SeqCst);
            // The lock is taken before the flag is read, so that no request is added after the stub has
            // resumed.
            let mut unanswered_streams = lock(&self.unanswered_streams);
            if self.is_unresponsive.load(Ordering::SeqCst) {
                unanswered_streams.push(stream);
                continue;
            }
            drop(unanswered_streams);
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

    /// Opens a watch, or closes the connection while requests are yet to fail.
    fn answer(&self, stream: TcpStream, request: HttpMessage) {
        let decrement = |num_failures: usize| num_failures.checked_sub(1);
        if self.num_remaining_failures.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement).is_ok() {
            return;
        }
        self.open_watch(stream);
        lock(&self.answered_heads).push(request.head);
    }

    fn open_watch(&self, mut stream: TcpStream) {
        let text = lock(&self.first_message).clone().unwrap_or_else(|| HEARTBEAT.to_string());
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        write_chunk(&mut stream, &text);
        lock(&self.watches).push(stream);
    }

    fn send_heartbeats(&self) {
        loop {
            sleep_ms(HEARTBEAT_INTERVAL_MS);
            if !self.heartbeats_stopped.load(Ordering::SeqCst) {
                for watch in lock(&self.watches).iter_mut() {
                    write_chunk(watch, HEARTBEAT);
                }
            }
        }
    }
}

/// Writes a chunk to a watch. Errors are ignored, because the limiter may have closed the watch.
fn write_chunk(stream: &mut TcpStream, text: &str) {
    let _ = write!(stream, "{:x}\r\n{text}\r\n", text.len());
}

/// A stub of discovery whose watches send what the test determines.
pub struct StubDiscovery {
    /// Address at which the stub accepts watch requests.
    pub addr: SocketAddr,
    state: Arc<State>,
}

impl StubDiscovery {
    /// Starts a stub that answers watch requests immediately. Each new watch begins with `first_message`.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn new(first_message: String) -> StubDiscovery {
        StubDiscovery::with_response_delay_ms(first_message, 0)
    }

    /// Starts a stub like [`StubDiscovery::new`] that answers each watch request after a delay.
    pub fn with_response_delay_ms(first_message: String, response_delay_ms: u64) -> StubDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let addr = listener.local_addr().expect("a local address");
        let state = Arc::new(State {
            first_message: Mutex::new(Some(first_message)),
            response_delay: Duration::from_millis(response_delay_ms),
            ..State::default()
        });
        let accepting_state = state.clone();
        std::thread::spawn(move || accepting_state.accept_watch_requests(&listener));
        let heartbeat_state = state.clone();
        std::thread::spawn(move || heartbeat_state.send_heartbeats());
        StubDiscovery { addr, state }
    }

    /// Starts a stub like [`StubDiscovery::with_response_delay_ms`] that closes the first `num_failures`
    /// watch requests after the delay without an answer.
    pub fn with_slow_failures(first_message: String, delay_ms: u64, num_failures: usize) -> StubDiscovery {
        let discovery = StubDiscovery::with_response_delay_ms(first_message, delay_ms);
        discovery.state.num_remaining_failures.store(num_failures, Ordering::SeqCst);
        discovery
    }

    /// Returns a stub that refuses connections: nothing listens at its address.
    pub fn unreachable() -> StubDiscovery {
        StubDiscovery { addr: SocketAddr::from(([127, 0, 0, 1], 1)), state: Arc::default() }
    }

    /// Starts a stub that accepts watch requests and does not answer them until
    /// [`StubDiscovery::resume_with`].
    pub fn unresponsive() -> StubDiscovery {
        let discovery = StubDiscovery::new(HEARTBEAT.to_string());
        discovery.stop_responding();
        discovery
    }

    /// Waits until a watch has been opened, and sends a text on the newest one. If the text does not end with
    /// a line end, heartbeats are stopped until the test sends a text that does.
    ///
    /// # Panics
    ///
    /// Panics if no watch is opened within [`super::WAIT_TIMEOUT`].
    pub fn send(&self, text: &str) {
        wait_for("a watch", || self.num_opened_watches() > 0);
        *lock(&self.state.first_message) = None;
        if let Some(watch) = lock(&self.state.watches).last_mut() {
            // A heartbeat would end an incomplete line, so no heartbeat may follow this text.
            self.state.heartbeats_stopped.store(true, Ordering::SeqCst);
            write_chunk(watch, text);
        }
        self.state.heartbeats_stopped.store(!text.ends_with('\n'), Ordering::SeqCst);
    }

    /// Returns the heads of the watch requests that opened a watch, oldest first. Requests that were answered
    /// by [`StubDiscovery::resume_with`] are not included.
    pub fn watch_request_heads(&self) -> Vec<String> {
        lock(&self.state.answered_heads).clone()
    }

    /// Returns the length of [`StubDiscovery::watch_request_heads`].
    pub fn num_opened_watches(&self) -> usize {
        lock(&self.state.answered_heads).len()
    }

    /// Returns the number of watch requests that were received, answered or not.
    pub fn num_watch_requests(&self) -> usize {
        self.state.num_watch_requests.load(Ordering::SeqCst)
    }

    /// Stops heartbeats, and stops answering watch requests until [`StubDiscovery::resume_with`].
    pub fn stop_responding(&self) {
        self.stop_heartbeats();
        self.state.is_unresponsive.store(true, Ordering::SeqCst);
    }

    /// Answers the outstanding watch requests and all further ones. The new watches begin with this text.
    /// Heartbeats stay stopped until [`StubDiscovery::send`].
    pub fn resume_with(&self, text: &str) {
        *lock(&self.state.first_message) = Some(text.to_string());
        let mut unanswered_streams = lock(&self.state.unanswered_streams);
        self.state.is_unresponsive.store(false, Ordering::SeqCst);
        for stream in unanswered_streams.drain(..) {
            self.state.open_watch(stream);
        }
    }

    /// Stops heartbeats on all watches. New watches still begin with one heartbeat.
    pub fn stop_heartbeats(&self) {
        *lock(&self.state.first_message) = None;
        self.state.heartbeats_stopped.store(true, Ordering::SeqCst);
    }

    /// Closes all open watches. New watches begin with a heartbeat.
    pub fn close_watches(&self) {
        *lock(&self.state.first_message) = None;
        for watch in lock(&self.state.watches).drain(..) {
            let _ = watch.shutdown(Shutdown::Both);
        }
    }
}
