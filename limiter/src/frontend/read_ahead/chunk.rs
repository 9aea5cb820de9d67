//! Bytes that arrived together, in pieces of bounded length.

use std::collections::VecDeque;

use bytes::BytesMut;

use crate::runtime::arrival::Arrival;

/// Largest number of bytes in a piece. Bounds the memory that is allocated for a piece and not filled, or
/// that has been read and is still allocated.
const MAX_PIECE_BYTES: usize = 4 << 10;

/// Bytes that are treated as having arrived together.
pub struct Chunk {
    /// The bytes in their order. No piece is empty.
    pieces: VecDeque<BytesMut>,
    /// When the first of the bytes arrived.
    pub arrival: Arrival,
}

impl Chunk {
    /// Creates a chunk of bytes that arrived at `arrival`.
    pub fn new(bytes: &[u8], arrival: Arrival) -> Chunk {
        let mut chunk = Chunk { pieces: VecDeque::new(), arrival };
        chunk.push(bytes);
        chunk
    }

    /// Returns whether all bytes have been read.
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// Appends bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        let rest = self.fill_last_piece(bytes);
        self.pieces.extend(rest.chunks(MAX_PIECE_BYTES).map(BytesMut::from));
    }

    /// Appends as many of the bytes to the last piece as fit there, and returns the remaining ones.
    fn fill_last_piece<'b>(&mut self, bytes: &'b [u8]) -> &'b [u8] {
        let Some(last) = self.pieces.back_mut() else { return bytes };
        let room = MAX_PIECE_BYTES.saturating_sub(last.len());
        let (fitting, rest) = bytes.split_at(bytes.len().min(room));
        last.extend_from_slice(fitting);
        rest
    }

    /// Returns the first piece; empty if the chunk is.
    pub fn first_piece(&self) -> &[u8] {
        self.pieces.front().map_or(&[], |piece| piece)
    }

    /// Removes bytes from the front of the first piece, which must have that many.
    pub fn advance(&mut self, length: usize) {
        let Some(first) = self.pieces.front_mut() else { return };
        let _ = first.split_to(length);
        if first.is_empty() {
            self.pieces.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
