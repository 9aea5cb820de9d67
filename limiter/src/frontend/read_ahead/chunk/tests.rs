//! Tests of the bytes that arrived together.

use super::*;

/// Returns bytes that differ from their neighbours.
fn bytes(length: usize) -> Vec<u8> {
    (0..length).map(|index| index as u8).collect()
}

/// Reads a chunk to its end, and asserts that no piece is longer than allowed.
fn read_to_end(chunk: &mut Chunk) -> Vec<u8> {
    let mut read = Vec::new();
    while !chunk.is_empty() {
        let piece = chunk.first_piece();
        assert!(piece.len() <= MAX_PIECE_BYTES, "{} bytes", piece.len());
        let length = piece.len().min(1000);
        read.extend_from_slice(&piece[..length]);
        chunk.advance(length);
    }
    read
}

#[test]
fn bytes_are_read_in_the_order_in_which_they_were_pushed() {
    for lengths in [vec![1], vec![MAX_PIECE_BYTES], vec![10, 20, 3 * MAX_PIECE_BYTES + 1, 5], vec![7; 2000]] {
        let all = bytes(lengths.iter().sum());
        let mut rest = &all[..];
        let mut chunk = Chunk::new(&[], Arrival::not_before(std::time::Instant::now()));
        for length in lengths {
            chunk.push(&rest[..length]);
            rest = &rest[length..];
        }
        assert_eq!(read_to_end(&mut chunk), all);
    }
}
