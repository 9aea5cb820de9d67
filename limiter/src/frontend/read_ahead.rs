//! A client's stream that is read ahead while a request is open, so that a disconnect of the client is noticed.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use super::connection_state::ConnectionState;
use super::read_ahead_memory::ReadAheadShare;
use super::request_framer::RequestFramer;
use crate::engine::ClientConnection;
use crate::net::Stream;
use crate::runtime::arrival::{Arrival, ArrivalClock};

/// Read at once while looking for a disconnect.
const READ_CHUNK_BYTES: usize = 4096;
/// Reads in a row in one look at the socket: a client that sends more is there.
const MAX_READS_AT_ONCE: usize = 8;
/// Most chunks in which bytes are kept, each with the time of its arrival: a client that sends byte by byte must not
/// take memory for each.
const MAX_CHUNKS: usize = 16;
/// What arrives within this time counts as having arrived together, at its beginning.
const MIN_CHUNK_INTERVAL: Duration = Duration::from_millis(10);

/// A client's stream, and what was read ahead of it.
pub(super) struct ReadAhead {
    stream: Stream,
    /// What came behind an open request, in its order.
    chunks: VecDeque<Chunk>,
    /// Bytes of all chunks.
    length: usize,
    /// The memory that they may take. What exceeds it is dropped, and the connection ends with the response.
    memory: ReadAheadShare,
    clock: Rc<ArrivalClock>,
    /// Since when the connection may have waited to be accepted, until its first bytes are read.
    queued_since: Option<Instant>,
    framer: RequestFramer,
    /// hyper was told to wait with the next request. It does not ask again by itself.
    has_refused_read: bool,
}

/// Bytes that arrived together.
struct Chunk {
    bytes: BytesMut,
    /// Of the first of them.
    arrival: Arrival,
}

impl ReadAhead {
    /// Nothing is read ahead yet.
    pub(super) fn new(
        stream: Stream,
        memory: ReadAheadShare,
        clock: Rc<ArrivalClock>,
        queued_since: Option<Instant>,
    ) -> ReadAhead {
        ReadAhead {
            stream,
            chunks: VecDeque::new(),
            length: 0,
            memory,
            clock,
            queued_since,
            framer: RequestFramer::new(),
            has_refused_read: false,
        }
    }

    /// When the bytes arrived that were read now.
    fn arrival(&mut self) -> Arrival {
        let earliest = self.clock.earliest_arrival();
        let queued_since = self.queued_since.take().map(Instant::into_std);
        Arrival::not_before(queued_since.map_or(earliest, |since| since.min(earliest)))
    }

    /// Waits for the client to disconnect while its request is open. hyper is given nothing behind an open request, so
    /// that it would never see the end of the stream.
    ///
    /// Polled by the connection's task, after hyper: both register the same waker. Nothing is held between two polls
    /// but `self`, so that cancelling loses no bytes.
    pub(super) fn poll_disconnected(&mut self, state: &ConnectionState, cx: &mut Context<'_>) -> Poll<()> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        while state.watches_disconnect() {
            match ready!(self.poll_stream(&mut chunk, cx)) {
                Ok(length) if length > 0 => self.keep(&chunk[..length], state),
                _ => return Poll::Ready(()),
            }
        }
        Poll::Pending
    }

    fn poll_stream(&mut self, chunk: &mut [u8], cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut buffer = ReadBuf::new(chunk);
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buffer);
        read.map_ok(|()| buffer.filled().len())
    }

    fn keep(&mut self, received: &[u8], state: &ConnectionState) {
        state.bytes_received();
        if state.read_ahead_overflowed() {
            return;
        }
        if !self.memory.resize(self.length + received.len()) {
            return state.set_read_ahead_overflowed();
        }
        self.length += received.len();
        let arrival = self.arrival();
        self.push(received, arrival);
    }

    fn push(&mut self, received: &[u8], arrival: Arrival) {
        let has_room = self.chunks.len() < MAX_CHUNKS;
        match self.chunks.back_mut() {
            Some(last) if !has_room || arrival.read_at - last.arrival.read_at < MIN_CHUNK_INTERVAL => {
                last.bytes.extend_from_slice(received);
            }
            _ => self.chunks.push_back(Chunk { bytes: BytesMut::from(received), arrival }),
        }
    }

    /// Whether bytes were read ahead.
    pub(super) fn has_bytes(&self) -> bool {
        self.length > 0
    }

    /// Keeps what came behind the end of a request in one read of hyper's. Nothing is read ahead then, and what hyper reads
    /// at once is within the guarantee of each connection.
    fn keep_behind(&mut self, bytes: &[u8], arrival: Arrival) {
        self.length += bytes.len();
        self.memory.resize(self.length);
        self.chunks.push_front(Chunk { bytes: BytesMut::from(bytes), arrival });
    }

    /// Moves bytes of the first chunk to a buffer, up to the end of the present request; when they arrived, or none if
    /// nothing was read ahead. Chunks are handed over one by one, so that the bytes of each call arrived together.
    fn hand_over(&mut self, buffer: &mut ReadBuf<'_>) -> Option<Arrival> {
        let Chunk { bytes, arrival } = self.chunks.front_mut()?;
        let length = bytes.len().min(buffer.remaining());
        let length = self.framer.take(&bytes[..length]);
        buffer.put_slice(&bytes.split_to(length));
        self.length -= length;
        self.memory.resize(self.length);
        let (arrival, is_used_up) = (*arrival, bytes.is_empty());
        if is_used_up {
            self.chunks.pop_front();
        }
        Some(arrival)
    }
}

/// The socket of a client whose request is open, as the engine sees it.
pub(super) struct ClientSocket {
    read_ahead: Rc<RefCell<ReadAhead>>,
    state: Rc<ConnectionState>,
}

impl ClientSocket {
    /// The socket of a connection with this state.
    pub(super) fn new(read_ahead: Rc<RefCell<ReadAhead>>, state: Rc<ConnectionState>) -> ClientSocket {
        ClientSocket { read_ahead, state }
    }

    /// Whether the next request was read behind the open one, or a part of it.
    pub(super) fn has_bytes_behind(&self) -> bool {
        self.read_ahead.borrow().has_bytes()
    }
}

impl ClientConnection for ClientSocket {
    /// Reads ahead what is there. While hyper reads the stream by itself, nothing is read here.
    fn is_closed_by_client(&self) -> bool {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let read_ahead = &mut *self.read_ahead.borrow_mut();
        for _ in 0..MAX_READS_AT_ONCE {
            if !self.state.watches_disconnect() {
                return false;
            }
            match read_ahead.stream.try_read(&mut chunk) {
                Ok(length) if length > 0 => read_ahead.keep(&chunk[..length], &self.state),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                _ => return true,
            }
        }
        false
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

    /// Notes that hyper has been given a request to its end, if it has.
    fn note_end(&self, read_ahead: &ReadAhead) {
        if read_ahead.framer.is_complete() {
            self.state.request_handed_over();
        }
    }
}

impl AsyncRead for ReadAheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read_ahead = &mut *self.read_ahead.borrow_mut();
        if read_ahead.framer.is_complete() {
            // hyper reads on to see the end of the stream, which is looked for by `poll_disconnected`, and once more after
            // the response is written.
            if self.state.awaits_response() || self.state.has_last_response() {
                read_ahead.has_refused_read = true;
                return Poll::Pending;
            }
            read_ahead.framer.begin_next();
        }
        if let Some(arrival) = read_ahead.hand_over(buffer) {
            self.state.bytes_received();
            self.state.bytes_handed_over(arrival);
            self.note_end(read_ahead);
            return Poll::Ready(Ok(()));
        }
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut read_ahead.stream).poll_read(cx, buffer);
        if buffer.filled().len() > filled_before {
            let arrival = read_ahead.arrival();
            self.state.bytes_received();
            self.state.bytes_handed_over(arrival);
            let taken = read_ahead.framer.take(&buffer.filled()[filled_before..]);
            let behind = &buffer.filled()[filled_before + taken..];
            if !behind.is_empty() {
                read_ahead.keep_behind(behind, arrival);
            }
            buffer.set_filled(filled_before + taken);
            self.note_end(read_ahead);
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
        let read_ahead = &mut *self.read_ahead.borrow_mut();
        let result = Pin::new(&mut read_ahead.stream).poll_flush(cx);
        if result.is_ready() && self.state.flushed() && std::mem::take(&mut read_ahead.has_refused_read) {
            cx.waker().wake_by_ref();
        }
        result
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.read_ahead.borrow_mut().stream).poll_shutdown(cx)
    }
}
