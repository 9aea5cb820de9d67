//! A TCP listener.

use std::io;
use std::net::SocketAddr;
use std::task::{ready, Context, Poll};

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

use super::errors::is_failed_connection;
use super::stream::Stream;

/// A TCP listener.
pub struct Listener {
    socket: TcpListener,
}

impl Listener {
    /// Listens on an address. Up to `queue_length` connections may wait in the accept queue, or fewer if the
    /// system has a lower limit.
    ///
    /// # Errors
    /// Those of `socket(2)`, `bind(2)` and `listen(2)`.
    pub fn bind(address: SocketAddr, queue_length: i32) -> io::Result<Listener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(queue_length)?;
        Ok(Listener { socket: TcpListener::from_std(socket.into())? })
    }

    /// Returns the address on which the socket listens.
    ///
    /// # Errors
    /// Those of `getsockname(2)`.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts the next connection. Returns `Poll::Pending` once an accept has found the queue empty, until
    /// the I/O driver reports another connection.
    ///
    /// # Errors
    /// The reason why this host cannot accept the connection, which stays in the accept queue.
    pub fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Stream>> {
        loop {
            match ready!(self.socket.poll_accept(cx)) {
                Ok((socket, _)) => return Poll::Ready(Ok(Stream::new(socket))),
                Err(error) if is_failed_connection(&error) => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Accepts a connection that waits in the accept queue, or returns `None` if the queue is empty. Makes
    /// the system call regardless of whether tokio considers the socket ready.
    ///
    /// # Errors
    /// The reason why this host cannot accept the connection, which stays in the accept queue.
    pub fn try_accept(&self) -> io::Result<Option<Stream>> {
        loop {
            match SockRef::from(&self.socket).accept() {
                Ok((socket, _)) => {
                    socket.set_nonblocking(true)?;
                    return Ok(Some(Stream::new(TcpStream::from_std(socket.into())?)));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) if is_failed_connection(&error) => {}
                Err(error) => return Err(error),
            }
        }
    }
}
