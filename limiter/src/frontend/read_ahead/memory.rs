//! The bound on the bytes that are read ahead on all client connections together.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that each connection may buffer, whatever other connections buffer. The memory that the connection
/// limits reserve for one connection covers this.
pub const GUARANTEED_BYTES: usize = 32 << 10;

/// Memory that connections share for what they buffer beyond [`GUARANTEED_BYTES`].
pub struct ReadAheadMemory {
    free_bytes: Rc<Cell<usize>>,
}

impl ReadAheadMemory {
    /// Creates a memory of `bytes` bytes, all of which are free.
    pub fn new(bytes: usize) -> ReadAheadMemory {
        ReadAheadMemory { free_bytes: Rc::new(Cell::new(bytes)) }
    }

    /// Returns the share of a new connection, which has taken nothing yet.
    pub fn share(&self) -> ReadAheadShare {
        ReadAheadShare { free_bytes: self.free_bytes.clone(), taken_bytes: 0 }
    }
}

/// The memory that one connection has taken. Dropping the share returns it.
pub struct ReadAheadShare {
    free_bytes: Rc<Cell<usize>>,
    taken_bytes: usize,
}

impl ReadAheadShare {
    /// Takes or returns memory until the share suffices for `length` buffered bytes. Returns `false`, and
    /// changes nothing, if not enough is free. A smaller length than before always succeeds.
    pub fn resize(&mut self, length: usize) -> bool {
        let needed_bytes = length.saturating_sub(GUARANTEED_BYTES);
        let available_bytes = self.free_bytes.get() + self.taken_bytes;
        if needed_bytes > available_bytes {
            return false;
        }
        self.free_bytes.set(available_bytes - needed_bytes);
        self.taken_bytes = needed_bytes;
        true
    }
}

impl Drop for ReadAheadShare {
    fn drop(&mut self) {
        self.resize(0);
    }
}

#[cfg(test)]
mod tests;
