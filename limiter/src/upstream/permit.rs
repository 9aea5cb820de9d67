//! The bound on open connections to servers.

use std::cell::Cell;
use std::rc::Rc;

/// Bounds the number of open connections.
pub struct ConnectionLimit {
    open: Rc<Cell<usize>>,
    max_open: usize,
}

impl ConnectionLimit {
    /// Creates a limit that allows `max_open` connections, none of which is open.
    pub fn new(max_open: usize) -> ConnectionLimit {
        ConnectionLimit { open: Rc::default(), max_open }
    }

    /// Returns a permit to open one more connection, or `None` if as many are open as may be.
    pub fn try_acquire(&self) -> Option<ConnectionPermit> {
        if self.open.get() >= self.max_open {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionPermit { open: self.open.clone() })
    }
}

/// The permit of one open connection. Dropping it returns the permit.
pub struct ConnectionPermit {
    open: Rc<Cell<usize>>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
