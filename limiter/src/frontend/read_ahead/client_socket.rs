//! The engine's and the request handler's view of a client's socket.

use std::cell::RefCell;
use std::rc::Rc;

use super::ReadAhead;
use crate::engine::{ClientConnection, ClientPresence};
use crate::frontend::connection_state::ConnectionState;

/// The socket of a client whose request is open.
pub struct ClientSocket {
    read_ahead: Rc<RefCell<ReadAhead>>,
    state: Rc<ConnectionState>,
}

impl ClientSocket {
    /// Creates a view of the socket of the connection with the given state.
    pub fn new(read_ahead: Rc<RefCell<ReadAhead>>, state: Rc<ConnectionState>) -> ClientSocket {
        ClientSocket { read_ahead, state }
    }

    /// Returns whether the next request, or a part of it, has arrived while the current one is open. Reads
    /// the socket if the current request is complete: it may have been rejected before anything behind it was
    /// read, and a response that ends the connection would lose those bytes.
    pub fn has_pipelined_bytes(&self) -> bool {
        if self.state.awaits_response() {
            let watch = self.state.watch_for_disconnect();
            self.read_ahead.borrow_mut().read_presence(&self.state);
            drop(watch);
        }
        self.read_ahead.borrow().has_bytes()
    }
}

impl ClientConnection for ClientSocket {
    fn presence(&self) -> ClientPresence {
        self.read_ahead.borrow_mut().read_presence(&self.state)
    }
}
