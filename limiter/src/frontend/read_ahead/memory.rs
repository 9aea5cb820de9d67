//! Limits the total of the bytes that are read ahead on all client connections.

use std::cell::Cell;
use std::rc::Rc;

/// Number of bytes that each connection may buffer regardless of other connections. The memory that the
/// connection limits reserve for one connection includes these bytes.
pub const GUARANTEED_BYTES: usize = 16 << 10;

/// Memory that connections share for the bytes that they buffer beyond [`GUARANTEED_BYTES`].
pub struct ReadAheadMemory {
    free_bytes: Rc<Cell<usize>>,
}

impl ReadAheadMemory {
    /// Creates a shared memory of `bytes` bytes, all of which are free.
    pub fn new(bytes: usize) -> ReadAheadMemory {
        ReadAheadMemory { free_bytes: Rc::new(Cell::new(bytes)) }
    }

    /// Creates the share of a new connection, which has reserved nothing yet.
    pub fn new_share(&self) -> ReadAheadShare {
        ReadAheadShare { free_bytes: self.free_bytes.clone(), reserved_bytes: 0 }
    }
}

/// The shared memory that one connection has reserved. Dropping the share releases the memory.
pub struct ReadAheadShare {
    free_bytes: Rc<Cell<usize>>,
    reserved_bytes: usize,
}

impl ReadAheadShare {
    /// Reserves or releases memory so that the connection can buffer `length` bytes. Returns `false`, and
    /// changes nothing, if too little memory is free. Always succeeds for a smaller length than before.
    pub fn resize(&mut self, length: usize) -> bool {
        let needed_bytes = length.saturating_sub(GUARANTEED_BYTES);
        let available_bytes = self.free_bytes.get() + self.reserved_bytes;
        if needed_bytes > available_bytes {
            return false;
        }
        self.free_bytes.set(available_bytes - needed_bytes);
        self.reserved_bytes = needed_bytes;
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
