//! A client's stream that is read ahead while a request is open, so that a disconnect of the client is noticed.

use std::cell::RefCell;
use std::io::{self, Read};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connection_state::{ConnectionState, DisconnectWatch};

/// At most this much is kept of what comes behind an open request. Clients send one request at a time: what exceeds
/// this is dropped, and the connection ends with the response.
const MAX_READ_AHEAD_BYTES: usize = 32 << 10;
/// Read at once while looking for a disconnect.
const READ_CHUNK_BYTES: usize = 4096;

/// A client's stream, and what was read ahead of it.
pub(super) struct ReadAhead {
    stream: TcpStream,
    bytes: BytesMut,
}

impl ReadAhead {
    /// Nothing is read ahead yet.
    pub(super) fn new(stream: TcpStream) -> ReadAhead {
        ReadAhead { stream, bytes: BytesMut::new() }
    }

    /// Waits for the client to disconnect while its request is open. hyper reads no further than to the first bytes
    /// behind an open request, so that it would never see the end behind them.
    ///
    /// Polled by the connection's task, after hyper: both register the same waker. Nothing is held between two polls
    /// but `self`, so that cancelling loses no bytes.
    pub(super) fn poll_disconnected(&mut self, state: &ConnectionState, cx: &mut Context<'_>) -> Poll<()> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            let read = match state.disconnect_watch() {
                DisconnectWatch::Off => return Poll::Pending,
                DisconnectWatch::ReadSocket => match self.read_socket(&mut chunk) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                        state.set_disconnect_watch(DisconnectWatch::PollStream);
                        continue;
                    }
                    read => read,
                },
                DisconnectWatch::PollStream => match self.poll_stream(&mut chunk, cx) {
                    Poll::Ready(read) => read,
                    Poll::Pending => return Poll::Pending,
                },
            };
            match read {
                Ok(length) if length > 0 => self.keep(&chunk[..length], state),
                _ => return Poll::Ready(()),
            }
        }
    }

    /// Reads the socket itself. A client that has waited for long to be accepted may have left before its request was
    /// read; yet tokio takes a new stream to be readable, and not to be after the first short read, before it has
    /// heard of the end from the system.
    fn read_socket(&self, chunk: &mut [u8]) -> io::Result<usize> {
        (&*SockRef::from(&self.stream)).read(chunk)
    }

    fn poll_stream(&mut self, chunk: &mut [u8], cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut buffer = ReadBuf::new(chunk);
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buffer);
        read.map_ok(|()| buffer.filled().len())
    }

    fn keep(&mut self, received: &[u8], state: &ConnectionState) {
        state.bytes_received();
        if self.bytes.len() + received.len() > MAX_READ_AHEAD_BYTES {
            state.set_read_ahead_overflowed();
        } else if !state.read_ahead_overflowed() {
            self.bytes.extend_from_slice(received);
        }
    }
}

/// The stream that hyper serves: yields what was read ahead first, and records when bytes arrive (hyper reports a
/// request only once its head is complete) and when all is written.
pub(super) struct ReadAheadStream {
    read_ahead: Rc<RefCell<ReadAhead>>,
    state: Rc<ConnectionState>,
}

impl ReadAheadStream {
    /// The stream of a connection with this state.
    pub(super) fn new(read_ahead: Rc<RefCell<ReadAhead>>, state: Rc<ConnectionState>) -> ReadAheadStream {
        ReadAheadStream { read_ahead, state }
    }
}

impl AsyncRead for ReadAheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read_ahead = &mut *self.read_ahead.borrow_mut();
        if !read_ahead.bytes.is_empty() {
            let length = read_ahead.bytes.len().min(buffer.remaining());
            buffer.put_slice(&read_ahead.bytes.split_to(length));
            return Poll::Ready(Ok(()));
        }
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut read_ahead.stream).poll_read(cx, buffer);
        if buffer.filled().len() > filled_before {
            self.state.bytes_received();
        }
        result
    }
}

impl AsyncWrite for ReadAheadStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.read_ahead.borrow_mut().stream).poll_write(cx, data)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.read_ahead.borrow_mut().stream).poll_write_vectored(cx, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.read_ahead.borrow().stream.is_write_vectored()
    }

    /// hyper flushes once it has handed over all it has.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.read_ahead.borrow_mut().stream).poll_flush(cx);
        if result.is_ready() {
            self.state.flushed();
        }
        result
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.read_ahead.borrow_mut().stream).poll_shutdown(cx)
    }
}
