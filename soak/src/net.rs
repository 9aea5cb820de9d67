//! Socket options and listeners of the simulated components.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

/// Length of the accept queue in connections.
pub const ACCEPT_QUEUE_LENGTH: i32 = 1024;

/// Listens on an address, even immediately after another listener on that address was closed.
///
/// # Errors
/// The address is not available.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_QUEUE_LENGTH)?;
    TcpListener::from_std(socket.into())
}

/// Makes closing a connection reset it.
pub fn enable_reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Makes closing a connection graceful again.
pub fn disable_reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(None);
}
