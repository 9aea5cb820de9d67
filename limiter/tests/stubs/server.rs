//! A stub server, which records what it receives.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use super::{lock, read_message, sleep_ms, wait_for, write_ok, HttpMessage};

#[derive(Default)]
struct Record {
    received: Mutex<Vec<HttpMessage>>,
    num_connections: AtomicUsize,
    num_open: AtomicUsize,
    max_open: AtomicUsize,
    num_closed: AtomicUsize,
    stops_listening: AtomicBool,
}

/// A server that answers as a closure says.
pub struct StubServer {
    pub addr: SocketAddr,
    record: Arc<Record>,
}

impl StubServer {
    /// `respond` answers each request on its connection; false ends the connection.
    pub fn new(respond: impl Fn(&HttpMessage, &mut TcpStream) -> bool + Send + Sync + 'static) -> StubServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let addr = listener.local_addr().expect("address");
        let (record, respond) = (Arc::new(Record::default()), Arc::new(respond));
        let server = StubServer { addr, record: record.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if record.stops_listening.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                record.open_connection();
                let (record, respond) = (record.clone(), respond.clone());
                std::thread::spawn(move || record.serve(stream, &*respond));
            }
        });
        server
    }

    /// Answers each request with the same body.
    pub fn responding_with(body: &str) -> StubServer {
        let body = body.to_string();
        StubServer::new(move |_, stream| write_ok(stream, &body))
    }

    /// Answers each request with the same body, after a time.
    pub fn responding_after_ms(ms: u64, body: &'static str) -> StubServer {
        StubServer::new(move |_, stream| {
            sleep_ms(ms);
            write_ok(stream, body)
        })
    }

    /// Answers each request with its own body.
    pub fn echoing() -> StubServer {
        StubServer::new(|request, stream| write_ok(stream, &request.body))
    }

    /// Takes requests and says nothing.
    pub fn unresponsive() -> StubServer {
        StubServer::new(|_, stream| ignore_until_closed(stream))
    }

    pub fn received_requests(&self) -> Vec<HttpMessage> {
        lock(&self.record.received).clone()
    }

    pub fn num_received(&self) -> usize {
        lock(&self.record.received).len()
    }

    /// How often a request with this id came.
    pub fn num_received_with_id(&self, id: &str) -> usize {
        lock(&self.record.received).iter().filter(|request| request.correlation_id() == id).count()
    }

    pub fn num_connections(&self) -> usize {
        self.record.num_connections.load(Ordering::SeqCst)
    }

    /// The most connections that were open at once.
    pub fn max_open_connections(&self) -> usize {
        self.record.max_open.load(Ordering::SeqCst)
    }

    /// Connections that have ended, by either side.
    pub fn num_closed_connections(&self) -> usize {
        self.record.num_closed.load(Ordering::SeqCst)
    }

    /// Returns when connections are refused.
    pub fn stop_listening(&self) {
        self.record.stops_listening.store(true, Ordering::SeqCst);
        wait_for("the listener to close", || TcpStream::connect(self.addr).is_err());
    }
}

impl Record {
    fn open_connection(&self) {
        self.num_connections.fetch_add(1, Ordering::SeqCst);
        let num_open = self.num_open.fetch_add(1, Ordering::SeqCst) + 1;
        self.max_open.fetch_max(num_open, Ordering::SeqCst);
    }

    /// Answers the requests of one connection, one after the other, until either side ends it.
    fn serve(&self, mut stream: TcpStream, respond: &impl Fn(&HttpMessage, &mut TcpStream) -> bool) {
        while let Ok(request) = read_message(&mut stream) {
            lock(&self.received).push(request.clone());
            if !respond(&request, &mut stream) {
                break;
            }
        }
        self.num_closed.fetch_add(1, Ordering::SeqCst);
        self.num_open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Says nothing until the client closes the connection; false, so that it ends here too.
pub fn ignore_until_closed(stream: &mut TcpStream) -> bool {
    while stream.read(&mut [0; 64]).is_ok_and(|length| length > 0) {}
    false
}
