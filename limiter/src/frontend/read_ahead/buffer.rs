//! Bytes that were read ahead of hyper, each with the time of its arrival.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::ReadBuf;

use super::memory::ReadAheadShare;
use super::request_framer::RequestFramer;
use crate::runtime::arrival::Arrival;

/// Largest number of chunks in a buffer. Each chunk has its time of arrival and some overhead: a client that
/// sends byte by byte must not take that memory for each byte.
const MAX_CHUNKS: usize = 16;
/// Bytes that arrive within this time of the first byte of a chunk are added to that chunk, and count as
/// having arrived at the same time as its first byte.
const MIN_CHUNK_INTERVAL: Duration = Duration::from_millis(10);

/// The bytes do not fit into the memory that the connection may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the read-ahead buffer is full")]
pub struct BufferFull;

/// Bytes that arrived together.
struct Chunk {
    bytes: BytesMut,
    /// When the first of the bytes arrived.
    arrival: Arrival,
}

/// The bytes that a client has sent after its open request, in their order.
pub struct ReadAheadBuffer {
    chunks: VecDeque<Chunk>,
    /// Number of bytes in all chunks.
    length: usize,
    /// The memory that the bytes may take.
    memory: ReadAheadShare,
}

impl ReadAheadBuffer {
    /// Creates an empty buffer that takes its memory from `memory`.
    pub fn new(memory: ReadAheadShare) -> ReadAheadBuffer {
        ReadAheadBuffer { chunks: VecDeque::new(), length: 0, memory }
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Appends bytes that have just been read.
    ///
    /// # Errors
    /// [`BufferFull`] if there is not enough memory for them. The buffer is then unchanged.
    pub fn try_push(&mut self, received: &[u8], arrival: Arrival) -> Result<(), BufferFull> {
        if !self.memory.resize(self.length + received.len()) {
            return Err(BufferFull);
        }
        self.length += received.len();
        let may_add_chunk = self.chunks.len() < MAX_CHUNKS;
        match self.chunks.back_mut() {
            Some(last) if !may_add_chunk || arrival.read_at - last.arrival.read_at < MIN_CHUNK_INTERVAL => {
                last.bytes.extend_from_slice(received);
            }
            _ => self.chunks.push_back(Chunk { bytes: BytesMut::from(received), arrival }),
        }
        Ok(())
    }

    /// Returns bytes that hyper read past the end of a request to the front of the buffer. hyper reads the
    /// socket only while the buffer is empty, and one read of hyper is shorter than the guarantee of each
    /// connection, so that the memory for the bytes is always available.
    pub fn push_front(&mut self, bytes: &[u8], arrival: Arrival) {
        self.length += bytes.len();
        self.memory.resize(self.length);
        self.chunks.push_front(Chunk { bytes: BytesMut::from(bytes), arrival });
    }

    /// Moves bytes of the first chunk into `output`, up to the end of the request that `framer` follows.
    /// Returns when they arrived, or `None` if nothing is buffered. One call moves bytes of one chunk only,
    /// so that all of them arrived together.
    pub fn read_into(&mut self, output: &mut ReadBuf<'_>, framer: &mut RequestFramer) -> Option<Arrival> {
        let chunk = self.chunks.front_mut()?;
        let max_length = chunk.bytes.len().min(output.remaining());
        let length = framer.advance(&chunk.bytes[..max_length]);
        output.put_slice(&chunk.bytes.split_to(length));
        let arrival = chunk.arrival;
        if chunk.bytes.is_empty() {
            self.chunks.pop_front();
        }
        self.length -= length;
        self.memory.resize(self.length);
        Some(arrival)
    }
}
