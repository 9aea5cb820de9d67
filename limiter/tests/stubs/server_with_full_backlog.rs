//! A stub server whose connections come up late.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{lock, wait_for, write_ok};

/// A server whose connections do not come up: its backlog is full until it accepts.
pub struct ServerWithFullBacklog {
    pub addr: SocketAddr,
    listener: TcpListener,
    backlog: Vec<TcpStream>,
}

impl ServerWithFullBacklog {
    pub fn new() -> ServerWithFullBacklog {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
            socket.bind("127.0.0.1:0".parse().expect("an address")).expect("bind");
            socket.listen(1).expect("listen").into_std().expect("a listener")
        });
        listener.set_nonblocking(false).expect("blocking");
        let addr = listener.local_addr().expect("address");
        let mut backlog = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(300)) {
            backlog.push(stream);
        }
        ServerWithFullBacklog { addr, listener, backlog }
    }

    /// Lets connections come up, and responds.
    pub fn accept_all(self) -> LateConnections {
        let carried_request = Arc::new(Mutex::new(Vec::new()));
        let late = LateConnections { num_in_backlog: self.backlog.len(), carried_request };
        let carried_request = late.carried_request.clone();
        drop(self.backlog);
        std::thread::spawn(move || {
            for stream in self.listener.incoming() {
                let (Ok(stream), carried_request) = (stream, carried_request.clone()) else { continue };
                std::thread::spawn(move || serve(stream, &carried_request));
            }
        });
        late
    }
}

/// Responds to each request; notes of the connection whether it carries a request at all.
fn serve(mut stream: TcpStream, carried_request: &Mutex<Vec<bool>>) {
    let mut buffer = [0; 4096];
    let mut reads_request =
        move |stream: &mut TcpStream| stream.read(&mut buffer).is_ok_and(|length| length > 0);
    let mut has_request = reads_request(&mut stream);
    lock(carried_request).push(has_request);
    while has_request {
        write_ok(&mut stream, "late");
        has_request = reads_request(&mut stream);
    }
}

/// The connections that have come up at last, those of the backlog among them.
pub struct LateConnections {
    num_in_backlog: usize,
    /// Of each connection: whether a request came on it, or its end.
    carried_request: Arc<Mutex<Vec<bool>>>,
}

impl LateConnections {
    /// Connections of the program, once a request or the end has come on each.
    pub fn wait_for_count(&self, count: usize) {
        wait_for("the late connections", || self.num_all() == self.num_in_backlog + count);
    }

    fn num_all(&self) -> usize {
        lock(&self.carried_request).len()
    }

    /// Connections of the program; to be asked after [`Self::wait_for_count`].
    pub fn count(&self) -> usize {
        self.num_all() - self.num_in_backlog
    }

    pub fn num_with_request(&self) -> usize {
        lock(&self.carried_request).iter().filter(|carried| **carried).count()
    }
}
