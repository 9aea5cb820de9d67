//! Reads a client's socket ahead of hyper.
//!
//! hyper is given one request at a time, so that the limiter knows whether more bytes follow an open request.
//! While a response is awaited, hyper is given no bytes and does not see that the client disconnects.
//! [`ReadAhead`] then reads the socket instead: it detects the disconnect, and buffers what the client
//! pipelines after the open request.
//!
//! Modules, in the order in which to read them:
//!
//! | module | job |
//! | --- | --- |
//! | [`stream`] | the stream that hyper serves: one request at a time, buffered bytes first |
//! | [`client_socket`] | reports to the engine whether the client is still connected |
//! | `mod.rs` | [`ReadAhead`], the socket and the buffered bytes, which both of them share |
//! | [`buffer`] | the buffered bytes and the times of their arrival |
//! | [`chunk`] | bytes that arrived together, in pieces of bounded length |
//! | [`memory`] | the bound on the buffered bytes of all connections together |
//! | [`request_framer`] | finds where requests end |

mod buffer;
mod chunk;
mod client_socket;
mod memory;
mod request_framer;
mod stream;

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::Instant;

use super::connection_state::ConnectionState;
use crate::engine::ClientPresence;
use crate::net::Stream;
use crate::runtime::arrival::{Arrival, ArrivalClock};
use buffer::ReadAheadBuffer;
pub(super) use client_socket::ClientSocket;
pub(super) use memory::{ReadAheadMemory, ReadAheadShare};
pub(super) use stream::ReadAheadStream;

/// Largest number of bytes in one read of a check for a disconnect. The buffer is on the stack, so that an
/// idle connection needs no memory for it.
const READ_CHUNK_BYTES: usize = 4096;
/// Largest number of reads in one check for a disconnect. If all of them return bytes, it is unknown whether
/// the client is connected.
const MAX_READS_PER_CHECK: usize = 8;

/// A client's socket, and the bytes that were read from it ahead of hyper.
pub struct ReadAhead {
    socket: Stream,
    buffer: ReadAheadBuffer,
    clock: Rc<ArrivalClock>,
    /// The earliest time at which the connection may have entered the accept queue, if it may have waited
    /// there. Applies to the first bytes only, and is cleared when they are read.
    queued_since: Option<Instant>,
}

impl ReadAhead {
    /// Wraps the socket of a new connection, of which nothing has been read. `queued_since` is the earliest
    /// time at which the connection may have entered the accept queue, if it may have waited there.
    pub fn new(
        socket: Stream,
        memory: ReadAheadShare,
        clock: Rc<ArrivalClock>,
        queued_since: Option<Instant>,
    ) -> ReadAhead {
        ReadAhead { socket, buffer: ReadAheadBuffer::new(memory), clock, queued_since }
    }

    /// Returns whether any bytes that were read ahead have not been given to hyper.
    pub fn has_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Completes when the client disconnects. Reads the socket only while the client is watched for a
    /// disconnect according to `state`, and is pending otherwise. hyper is given nothing that follows an open
    /// request, and would therefore never see the end of the stream.
    ///
    /// Must be polled by the connection's task after hyper: both then register the same waker. Cancelling
    /// loses no bytes, as everything that was read is stored in `self` before this returns.
    pub fn poll_disconnected(&mut self, state: &ConnectionState, cx: &mut Context<'_>) -> Poll<()> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        while state.is_watching_for_disconnect() {
            match ready!(self.poll_read_chunk(&mut chunk, cx)) {
                Ok(length) if length > 0 => self.store(&chunk[..length], state),
                _ => return Poll::Ready(()),
            }
        }
        Poll::Pending
    }

    /// Returns whether the client is connected, without waiting. Reads ahead the bytes that have arrived, up
    /// to a bound. Reads nothing unless the client is watched for a disconnect according to `state`:
    /// otherwise hyper reads the socket itself.
    fn read_presence(&mut self, state: &ConnectionState) -> ClientPresence {
        let mut chunk = [0; READ_CHUNK_BYTES];
        for _ in 0..MAX_READS_PER_CHECK {
            if !state.is_watching_for_disconnect() {
                return ClientPresence::Connected;
            }
            match self.socket.try_read(&mut chunk) {
                Ok(length) if length > 0 => self.store(&chunk[..length], state),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return ClientPresence::Connected,
                _ => return ClientPresence::Disconnected,
            }
        }
        ClientPresence::Unknown
    }

    /// Reads into `chunk` and returns the number of bytes read; 0 at the end of the stream.
    fn poll_read_chunk(&mut self, chunk: &mut [u8], cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut buffer = ReadBuf::new(chunk);
        let result = Pin::new(&mut self.socket).poll_read(cx, &mut buffer);
        result.map_ok(|()| buffer.filled().len())
    }

    /// Buffers bytes that follow an open request. Once the buffer has overflowed, all further bytes are
    /// dropped, and the connection ends with the response to the open request.
    fn store(&mut self, received: &[u8], state: &ConnectionState) {
        state.record_bytes_received();
        if state.has_read_ahead_overflowed() {
            return;
        }
        let arrival = self.estimate_arrival();
        if self.buffer.try_push(received, arrival).is_err() {
            state.record_read_ahead_overflow();
        }
    }

    /// Estimates when the bytes that have just been read reached this host.
    fn estimate_arrival(&mut self) -> Arrival {
        let earliest = self.clock.earliest_arrival();
        match self.queued_since.take() {
            Some(queued_since) => Arrival::not_before(earliest.min(queued_since.into_std())),
            None => Arrival::not_before(earliest),
        }
    }
}
