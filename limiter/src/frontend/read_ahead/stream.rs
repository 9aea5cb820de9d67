//! The byte stream that is given to hyper.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::request_framer::RequestFramer;
use super::ReadAhead;
use crate::frontend::connection_state::ConnectionState;
use crate::runtime::arrival::Arrival;

/// The byte stream of a client, which gives hyper one request at a time.
///
/// Yields first the bytes that were read ahead, and then those in the socket. Yields no byte of a request
/// until the response to the previous request is written: a connection never holds two responses. Records in
/// the [`ConnectionState`] when bytes are read, because hyper reports a request only once its head is
/// complete. Also records there when all responses have been written.
pub struct ReadAheadStream {
    read_ahead: Rc<RefCell<ReadAhead>>,
    state: Rc<ConnectionState>,
    /// Finds the end of each request in the bytes that hyper is given.
    framer: RequestFramer,
    /// Whether a read by hyper was refused until the response is written. hyper does not read again by itself
    /// and has to be woken.
    has_refused_read: bool,
}

impl ReadAheadStream {
    /// Creates the stream of the connection with the given state.
    pub fn new(read_ahead: Rc<RefCell<ReadAhead>>, state: Rc<ConnectionState>) -> ReadAheadStream {
        ReadAheadStream { read_ahead, state, framer: RequestFramer::new(), has_refused_read: false }
    }

    /// Returns whether hyper may be given bytes now. Begins the next request if the response to the last one
    /// has been written.
    ///
    /// After a complete request, hyper reads on to detect the end of the stream. This read is refused, and
    /// [`ReadAhead::poll_disconnected`] detects the end of the stream instead. hyper reads again when it is
    /// woken after the response has been written.
    fn may_read(&mut self) -> bool {
        if !self.framer.is_complete() {
            return true;
        }
        let must_wait = self.state.awaits_response() || self.state.has_unwritten_response();
        if must_wait || self.state.has_last_response() {
            return false;
        }
        self.framer.begin_next();
        true
    }

    /// Moves bytes that were read ahead into `buffer`. Returns whether there were any.
    fn read_buffered(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        let arrival = self.read_ahead.borrow_mut().buffer.read_into(buffer, &mut self.framer);
        if let Some(arrival) = arrival {
            self.record_read(arrival);
        }
        arrival.is_some()
    }

    /// Reads the socket. Bytes after the end of the current request are moved to the read-ahead buffer.
    fn poll_read_socket(&mut self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let read_ahead = self.read_ahead.clone();
        let mut read_ahead = read_ahead.borrow_mut();
        let length_before = buffer.filled().len();
        let result = Pin::new(&mut read_ahead.socket).poll_read(cx, buffer);
        let received = &buffer.filled()[length_before..];
        if received.is_empty() {
            return result;
        }
        let arrival = read_ahead.estimate_arrival();
        let length = self.framer.advance(received);
        let pipelined = &received[length..];
        if !pipelined.is_empty() {
            read_ahead.buffer.push_front(pipelined, arrival);
        }
        buffer.set_filled(length_before + length);
        self.record_read(arrival);
        result
    }

    /// Records that hyper was given bytes and, if a request ends with them, that hyper has read the request.
    fn record_read(&self, arrival: Arrival) {
        self.state.record_bytes_received();
        self.state.record_bytes_read_by_hyper(arrival);
        if self.framer.is_complete() {
            self.state.record_request_read_by_hyper();
        }
    }
}

impl AsyncRead for ReadAheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if !this.may_read() {
            this.has_refused_read = true;
            return Poll::Pending;
        }
        if this.read_buffered(buffer) {
            return Poll::Ready(Ok(()));
        }
        this.poll_read_socket(cx, buffer)
    }
}

impl AsyncWrite for ReadAheadStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.read_ahead.borrow_mut().socket).poll_write(cx, data)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.read_ahead.borrow_mut().socket).poll_write_vectored(cx, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.read_ahead.borrow().socket.is_write_vectored()
    }

    /// Flushes the socket. hyper flushes when it has written all of its output. If a read was refused until
    /// then, hyper is woken to read again.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.read_ahead.borrow_mut().socket).poll_flush(cx);
        if result.is_ready() {
            let has_written_response = this.state.record_flush();
            if has_written_response && std::mem::take(&mut this.has_refused_read) {
                cx.waker().wake_by_ref();
            }
        }
        result
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.read_ahead.borrow_mut().socket).poll_shutdown(cx)
    }
}
