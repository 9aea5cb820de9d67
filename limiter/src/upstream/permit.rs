//! The limit on open connections to servers.

use std::cell::Cell;
use std::rc::Rc;

/// Bounds the number of open connections.
pub struct ConnectionLimit {
    num_open: Rc<Cell<usize>>,
    max_open: usize,
}

impl ConnectionLimit {
    /// Creates a limit that allows `max_open` connections, none of which is open.
    pub fn new(max_open: usize) -> ConnectionLimit {
        ConnectionLimit { num_open: Rc::default(), max_open }
    }

    /// Returns a permit to open one more connection, or `None` if `max_open` connections are open.
    pub fn try_acquire(&self) -> Option<ConnectionPermit> {
        if self.num_open.get() >= self.max_open {
            return None;
        }
        self.num_open.set(self.num_open.get() + 1);
        Some(ConnectionPermit { num_open: self.num_open.clone() })
    }
}

/// The permit for one open connection. Dropping it allows another connection to be opened.
pub struct ConnectionPermit {
    num_open: Rc<Cell<usize>>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.num_open.set(self.num_open.get() - 1);
    }
}
