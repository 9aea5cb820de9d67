//! A stub server on which connections are established only when the test allows it.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{lock, wait_for, write_ok};

/// The body of each response of the server.
const RESPONSE_BODY: &str = "late";
/// A connect that takes longer than this shows that the backlog is full.
const BACKLOG_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A server whose backlog is full. Until the server accepts connections, its kernel drops the SYN segment of
/// each further connect, which the kernel of the limiter retransmits after 1 s, 2 s and 4 s.
pub struct ServerWithFullBacklog {
    /// Address at which the server listens.
    pub addr: SocketAddr,
    listener: TcpListener,
    /// Connections of the test that fill the backlog.
    backlog: Vec<TcpStream>,
}

impl ServerWithFullBacklog {
    /// Starts a server and fills its backlog. Returns when a connect has timed out because the backlog is
    /// full.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn new() -> ServerWithFullBacklog {
        let listener = listener_with_smallest_backlog();
        let addr = listener.local_addr().expect("a local address");
        let mut backlog = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&addr, BACKLOG_CONNECT_TIMEOUT) {
            backlog.push(stream);
        }
        ServerWithFullBacklog { addr, listener, backlog }
    }

    /// Closes the connections that fill the backlog, and starts to accept connections and to answer their
    /// requests. Does not wait for the connections.
    pub fn accept_all(self) -> LateConnections {
        let carried_request = Arc::new(Mutex::new(Vec::new()));
        let late_connections =
            LateConnections { num_in_backlog: self.backlog.len(), carried_request: carried_request.clone() };
        drop(self.backlog);
        std::thread::spawn(move || accept_connections(&self.listener, &carried_request));
        late_connections
    }
}

/// Returns a listener with a backlog of one connection. The standard library cannot set the length of a
/// backlog.
fn listener_with_smallest_backlog() -> TcpListener {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let listener = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a bound socket");
        socket.listen(1).expect("a listener").into_std().expect("a listener without a runtime")
    });
    listener.set_nonblocking(false).expect("blocking mode");
    listener
}

fn accept_connections(listener: &TcpListener, carried_request: &Arc<Mutex<Vec<bool>>>) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else { continue };
        let carried_request = carried_request.clone();
        std::thread::spawn(move || serve(stream, &carried_request));
    }
}

/// Answers each request of a connection. As soon as the first request or the end of the connection is read,
/// records which of the two it was.
fn serve(mut stream: TcpStream, carried_request: &Mutex<Vec<bool>>) {
    let mut received_request = receive_request(&mut stream);
    lock(carried_request).push(received_request);
    while received_request {
        write_ok(&mut stream, RESPONSE_BODY);
        received_request = receive_request(&mut stream);
    }
}

/// Waits for a request, which a single read is expected to receive completely. Returns false if the
/// connection is closed.
fn receive_request(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 4096];
    stream.read(&mut buffer).is_ok_and(|length| length > 0)
}

/// The connections that were established after [`ServerWithFullBacklog::accept_all`], and the connections
/// that filled the backlog.
pub struct LateConnections {
    num_in_backlog: usize,
    /// One value for each connection on which a request or the end was read: true for a request.
    carried_request: Arc<Mutex<Vec<bool>>>,
}

impl LateConnections {
    /// Waits until a request or the end has been read on `count` connections of the limiter, and on all
    /// connections that filled the backlog.
    ///
    /// # Panics
    ///
    /// Panics if the number of these connections does not become exactly this sum within
    /// [`super::WAIT_TIMEOUT`].
    pub fn wait_for_count(&self, count: usize) {
        wait_for("the late connections", || self.num_observed() == self.num_in_backlog + count);
    }

    fn num_observed(&self) -> usize {
        lock(&self.carried_request).len()
    }

    /// Returns the number of connections of the limiter on which a request or the end was read.
    ///
    /// # Panics
    ///
    /// Panics if fewer connections have been read than filled the backlog, which is impossible after
    /// [`Self::wait_for_count`].
    pub fn count(&self) -> usize {
        self.num_observed() - self.num_in_backlog
    }

    /// Returns the number of connections of the limiter on which a request was read.
    pub fn num_with_request(&self) -> usize {
        lock(&self.carried_request).iter().filter(|carried_request| **carried_request).count()
    }
}
