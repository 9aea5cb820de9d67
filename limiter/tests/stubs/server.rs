//! A stub server that records the requests and connections that it receives.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use super::{lock, read_message, sleep_ms, wait_for, write_ok, HttpMessage};

/// Requests and connections that a server has received, shared with the threads of its connections.
#[derive(Default)]
struct Record {
    requests: Mutex<Vec<HttpMessage>>,
    num_connections: AtomicUsize,
    num_open_connections: AtomicUsize,
    max_open_connections: AtomicUsize,
    num_closed_connections: AtomicUsize,
    stop_requested: AtomicBool,
}

/// A server whose responses are given by a closure. Each connection is served by a thread of its own until
/// the test exits.
pub struct StubServer {
    /// Address at which the server listens.
    pub addr: SocketAddr,
    record: Arc<Record>,
}

impl StubServer {
    /// Starts a server. `respond` answers each request on its connection, and returns whether the connection
    /// stays open.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn new(respond: impl Fn(&HttpMessage, &mut TcpStream) -> bool + Send + Sync + 'static) -> StubServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let addr = listener.local_addr().expect("a local address");
        let record = Arc::new(Record::default());
        let server = StubServer { addr, record: record.clone() };
        std::thread::spawn(move || accept_connections(&listener, &record, &Arc::new(respond)));
        server
    }

    /// Starts a server that answers each request with status 200 and this body.
    pub fn responding_with(body: &str) -> StubServer {
        let body = body.to_string();
        StubServer::new(move |_, stream| write_ok(stream, &body))
    }

    /// Starts a server that answers each request after `ms` milliseconds, with status 200 and this body.
    pub fn responding_after_ms(ms: u64, body: &'static str) -> StubServer {
        StubServer::new(move |_, stream| {
            sleep_ms(ms);
            write_ok(stream, body)
        })
    }

    /// Starts a server that answers each request with status 200 and the body of the request.
    pub fn echoing() -> StubServer {
        StubServer::new(|request, stream| write_ok(stream, &request.body))
    }

    /// Starts a server that receives requests and never responds.
    pub fn unresponsive() -> StubServer {
        StubServer::new(|_, stream| ignore_until_closed(stream))
    }

    /// Returns all requests that have been received so far, oldest first.
    pub fn received_requests(&self) -> Vec<HttpMessage> {
        lock(&self.record.requests).clone()
    }

    /// Returns the number of requests that have been received so far.
    pub fn num_received(&self) -> usize {
        lock(&self.record.requests).len()
    }

    /// Returns the number of requests with this correlation id that have been received so far.
    pub fn num_received_with_id(&self, id: &str) -> usize {
        lock(&self.record.requests).iter().filter(|request| request.correlation_id() == id).count()
    }

    /// Returns the number of connections that have been accepted so far.
    pub fn num_connections(&self) -> usize {
        self.record.num_connections.load(Ordering::SeqCst)
    }

    /// Returns the largest number of connections that have been open at the same time.
    pub fn max_open_connections(&self) -> usize {
        self.record.max_open_connections.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that either side has closed so far.
    pub fn num_closed_connections(&self) -> usize {
        self.record.num_closed_connections.load(Ordering::SeqCst)
    }

    /// Performs an action and asserts that the server receives no request before the action returns.
    ///
    /// # Panics
    ///
    /// Panics if the server receives a request.
    pub fn assert_receives_nothing_during(&self, action: impl FnOnce()) {
        let num_received_before = self.num_received();
        action();
        assert_eq!(
            self.num_received(),
            num_received_before,
            "the server at {} received a request",
            self.addr
        );
    }

    /// Closes the listener, and returns when new connections are refused.
    ///
    /// # Panics
    ///
    /// Panics if connections are still accepted after [`super::WAIT_TIMEOUT`].
    pub fn stop_listening(&self) {
        self.record.stop_requested.store(true, Ordering::SeqCst);
        // The accepting thread checks the flag after each accept, which these connects cause.
        wait_for("the listener to close", || TcpStream::connect(self.addr).is_err());
    }
}

/// Accepts connections until the server stops listening, and serves each of them in a thread.
fn accept_connections<R>(listener: &TcpListener, record: &Arc<Record>, respond: &Arc<R>)
where
    R: Fn(&HttpMessage, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    for stream in listener.incoming() {
        if record.stop_requested.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else { continue };
        record.count_connection();
        let record = record.clone();
        let respond = respond.clone();
        std::thread::spawn(move || record.serve(stream, &*respond));
    }
}

impl Record {
    fn count_connection(&self) {
        self.num_connections.fetch_add(1, Ordering::SeqCst);
        let num_open = self.num_open_connections.fetch_add(1, Ordering::SeqCst) + 1;
        self.max_open_connections.fetch_max(num_open, Ordering::SeqCst);
    }

    /// Answers the requests of one connection, one after another, until either side closes the connection.
    fn serve(&self, mut stream: TcpStream, respond: &impl Fn(&HttpMessage, &mut TcpStream) -> bool) {
        while let Ok(request) = read_message(&mut stream) {
            lock(&self.requests).push(request.clone());
            if !respond(&request, &mut stream) {
                break;
            }
        }
        self.num_closed_connections.fetch_add(1, Ordering::SeqCst);
        self.num_open_connections.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Reads and discards all bytes until the limiter closes the connection, without a response. Returns false,
/// so that a stub server closes the connection as well.
pub fn ignore_until_closed(stream: &mut TcpStream) -> bool {
    while stream.read(&mut [0; 64]).is_ok_and(|length| length > 0) {}
    false
}
