//! A TCP connection.

use std::future::{poll_fn, Future};
use std::io::{self, IoSlice, Read, Write};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::task::{ready, Context, Poll};

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;

use super::errors::is_connect_in_progress;
use super::retry::retry_on_interrupt;

/// Number of bytes that may be read from one connection before the task yields to other tasks. This is the
/// length of the longest body.
const MAX_BYTES_BEFORE_YIELD: usize = 64 << 10;

/// A TCP connection.
pub struct Stream {
    socket: TcpStream,
    /// Largest number of bytes in one read.
    max_read_bytes: usize,
    /// Number of bytes read since the task last yielded or had nothing to read.
    bytes_since_yield: usize,
}

impl Stream {
    /// Wraps a connected socket.
    pub(super) fn new(socket: TcpStream) -> Stream {
        Stream { socket, max_read_bytes: usize::MAX, bytes_since_yield: 0 }
    }

    /// Returns the connection with a bound on the number of bytes in one read.
    pub fn with_max_read_bytes(self, max_read_bytes: usize) -> Stream {
        Stream { max_read_bytes, ..self }
    }

    /// Connects to an address. Cancelling abandons the connect and closes the socket.
    ///
    /// # Errors
    /// Those of `socket(2)` and `connect(2)`, except for interruptions.
    pub async fn connect(address: SocketAddr) -> io::Result<Stream> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        begin_connect(&socket, address)?;
        let stream = Stream::new(TcpStream::from_std(socket.into())?);
        poll_fn(|cx| stream.poll_write_call(cx, connect_result)).await?;
        Ok(stream)
    }

    /// Makes the system send small writes immediately.
    pub fn set_nodelay(&self) {
        // If this fails, small writes are merely delayed.
        let _ = self.socket.set_nodelay(true);
    }

    /// Reads what has arrived, without waiting and without registering a waker.
    ///
    /// # Errors
    /// `WouldBlock` if nothing has arrived; otherwise those of `recv(2)`.
    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        retry_on_interrupt(|| (&*SockRef::from(&self.socket)).read(buffer))
    }

    /// Makes a call that reads, and repeats the call whenever the socket becomes ready, until the call no
    /// longer returns `WouldBlock`.
    ///
    /// The first call is made regardless of whether tokio considers the socket ready: after a stall of the
    /// process, tasks may run before the I/O driver has reported the input that arrived during the stall.
    fn poll_read_call<R>(
        &self,
        cx: &mut Context<'_>,
        mut call: impl FnMut(&Socket) -> io::Result<R>,
    ) -> Poll<io::Result<R>> {
        match retry_on_interrupt(|| call(&SockRef::from(&self.socket))) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            match self.call(Interest::READABLE, &mut call) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Makes a call that writes whenever the socket is ready, until the call no longer returns `WouldBlock`.
    fn poll_write_call<R>(
        &self,
        cx: &mut Context<'_>,
        mut call: impl FnMut(&Socket) -> io::Result<R>,
    ) -> Poll<io::Result<R>> {
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            match self.call(Interest::WRITABLE, &mut call) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Makes a call on the underlying socket. tokio considers the socket ready until a call returns
    /// `WouldBlock`.
    fn call<R>(&self, interest: Interest, call: &mut impl FnMut(&Socket) -> io::Result<R>) -> io::Result<R> {
        self.socket.try_io(interest, || retry_on_interrupt(|| call(&SockRef::from(&self.socket))))
    }
}

/// Begins to connect. An interrupted connect continues in the background, and the repeated call reports that
/// the connect is in progress or has succeeded.
fn begin_connect(socket: &Socket, address: SocketAddr) -> io::Result<()> {
    match retry_on_interrupt(|| socket.connect(&address.into())) {
        Err(error) if is_connect_in_progress(&error) => Ok(()),
        result => result,
    }
}

/// Returns how a connect has ended, once the system reports the socket as writable.
///
/// # Errors
/// `WouldBlock` if the connect has not ended; otherwise the reason why it failed.
fn connect_result(socket: &Socket) -> io::Result<()> {
    if let Some(error) = socket.take_error()? {
        return Err(error);
    }
    match socket.peer_addr() {
        Err(error) if error.kind() == io::ErrorKind::NotConnected => Err(io::ErrorKind::WouldBlock.into()),
        connected => connected.map(|_| ()),
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.bytes_since_yield > MAX_BYTES_BEFORE_YIELD {
            // A peer that sends continuously must not delay other tasks. The I/O driver runs before this task
            // continues.
            self.bytes_since_yield = 0;
            let _ = pin!(yield_now()).poll(cx);
            return Poll::Pending;
        }
        let length = buffer.remaining().min(self.max_read_bytes);
        let read = self.poll_read_call(cx, |mut socket| socket.read(buffer.initialize_unfilled_to(length)));
        match &read {
            Poll::Ready(Ok(length)) => self.bytes_since_yield += length,
            _ => self.bytes_since_yield = 0,
        }
        read.map_ok(|length| buffer.advance(length))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_call(cx, |mut socket| socket.write(data))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_call(cx, |mut socket| socket.write_vectored(data))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
