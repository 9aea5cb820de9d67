//! Bytes that were read ahead of hyper, with the times of their arrival.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::io::ReadBuf;

use super::chunk::Chunk;
use super::memory::ReadAheadShare;
use super::request_framer::RequestFramer;
use crate::runtime::arrival::Arrival;

/// Largest number of chunks in a buffer; further bytes are added to the last chunk. Each chunk stores its
/// time of arrival and has some overhead: a client that sends byte by byte must not occupy that memory for
/// each byte.
const MAX_CHUNKS: usize = 16;
/// Bytes that arrive within this time of the first byte of a chunk are added to that chunk, and are treated
/// as having arrived at the same time as its first byte.
const MIN_CHUNK_INTERVAL: Duration = Duration::from_millis(10);

/// Returned when bytes do not fit into the memory that is available to the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the read-ahead buffer is full")]
pub struct BufferFull;

/// The bytes that a client has sent after its open request, in the order in which they arrived.
pub struct ReadAheadBuffer {
    chunks: VecDeque<Chunk>,
    /// Number of bytes in all chunks.
    length: usize,
    /// The memory that is reserved for the bytes.
    memory: ReadAheadShare,
}

impl ReadAheadBuffer {
    /// Creates an empty buffer that reserves its memory from `memory`.
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
                last.push(received);
            }
            _ => self.chunks.push_back(Chunk::new(received, arrival)),
        }
        Ok(())
    }

    /// Inserts bytes that a read by hyper took from the socket past the end of a request at the front of the
    /// buffer. hyper reads the socket only while the buffer is empty, and one read by hyper is shorter than
    /// the bytes that are guaranteed to each connection, so that the memory is always available.
    pub fn push_front(&mut self, bytes: &[u8], arrival: Arrival) {
        self.length += bytes.len();
        self.memory.resize(self.length);
        self.chunks.push_front(Chunk::new(bytes, arrival));
    }

    /// Moves bytes of the first chunk into `output`, up to the end of the request that `framer` follows.
    /// Returns when the bytes arrived, or `None` if nothing is buffered. One call moves bytes of one chunk
    /// only, so that they have one time of arrival.
    pub fn read_into(&mut self, output: &mut ReadBuf<'_>, framer: &mut RequestFramer) -> Option<Arrival> {
        let chunk = self.chunks.front_mut()?;
        let piece = chunk.first_piece();
        let max_length = piece.len().min(output.remaining());
        let length = framer.advance(&piece[..max_length]);
        output.put_slice(&piece[..length]);
        chunk.advance(length);
        let arrival = chunk.arrival;
        if chunk.is_empty() {
            self.chunks.pop_front();
        }
        self.length -= length;
        self.memory.resize(self.length);
        Some(arrival)
    }
}
