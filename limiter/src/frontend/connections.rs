//! The table of open client connections: sweep, eviction, graceful shutdown.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::futures::Notified;
use tokio::sync::Notify;

use super::connection_state::ConnectionState;
use super::read_ahead::{ReadAheadMemory, ReadAheadShare};

/// How often connections are checked for being overdue. A few passes a second cost less than a timer for each
/// request.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Identifies a connection; ids ascend in the order of the accepts.
pub(super) type ConnectionId = u64;

/// The open client connections.
pub(super) struct Connections {
    /// Ordered by id, hence in the order in which they were accepted.
    by_id: RefCell<BTreeMap<ConnectionId, Rc<ConnectionState>>>,
    /// The id given to the newest connection.
    last_id: Cell<ConnectionId>,
    /// Notified when a connection has closed.
    closed: Notify,
    is_shutting_down: Cell<bool>,
    read_ahead_memory: ReadAheadMemory,
}

impl Connections {
    /// Creates an empty table. `read_ahead_bytes` bounds the bytes that are read ahead on all connections
    /// together, beyond those that are guaranteed to each connection.
    pub(super) fn new(read_ahead_bytes: usize) -> Connections {
        Connections {
            by_id: RefCell::default(),
            last_id: Cell::default(),
            closed: Notify::new(),
            is_shutting_down: Cell::new(false),
            read_ahead_memory: ReadAheadMemory::new(read_ahead_bytes),
        }
    }

    /// Returns a new connection's share of the memory for reading ahead.
    pub(super) fn share_read_ahead_memory(&self) -> ReadAheadShare {
        self.read_ahead_memory.share()
    }

    /// Returns the number of open connections.
    pub(super) fn len(&self) -> usize {
        self.by_id.borrow().len()
    }

    /// Adds a connection that has just been accepted. It is removed when the returned guard is dropped.
    pub(super) fn add(self: &Rc<Self>) -> OpenConnection {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let state = Rc::new(ConnectionState::new());
        self.by_id.borrow_mut().insert(id, state.clone());
        OpenConnection { id, state, connections: self.clone() }
    }

    /// Completes after a connection has closed. Awaited by the accept loop; cancelling loses no notification.
    pub(super) fn closed(&self) -> Notified<'_> {
        self.closed.notified()
    }

    /// Returns whether the graceful shutdown of the connections has begun: no requests are accepted but those
    /// that were already on their way.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    /// Closes connections that have been idle for too long, or whose request has not arrived completely in
    /// time. Runs in a separate task and never completes. Cancelling only ends the checks: nothing is
    /// borrowed or changed during the sleep.
    pub(super) async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            for state in self.by_id.borrow().values() {
                if state.facts(self.is_shutting_down()).is_overdue() {
                    state.close_signals().request_abort();
                }
            }
        }
    }

    /// Returns whether the shutdown has to wait for any connection.
    pub(super) fn blocks_shutdown(&self) -> bool {
        let is_shutting_down = self.is_shutting_down();
        self.by_id.borrow().values().any(|state| state.facts(is_shutting_down).blocks_shutdown())
    }

    /// Closes the connection of the lowest [`ConnectionState::eviction_rank`], if any may be evicted. Clients
    /// with idle connections or partial requests must not exclude other clients.
    pub(super) fn evict_one(&self) {
        let is_shutting_down = self.is_shutting_down();
        let by_id = self.by_id.borrow();
        let evictable = by_id.values().filter(|state| state.facts(is_shutting_down).may_evict());
        if let Some(state) = evictable.min_by_key(|state| state.eviction_rank()) {
            state.close_signals().request_abort();
        }
    }

    /// Begins the graceful shutdown of all connections. Each connection's task then does one of three things:
    ///
    /// - A connection that is idle between two requests, with nothing read ahead, is closed for reading and
    ///   writing by hyper (1.12, `Conn::disable_keep_alive`) within the call itself, whatever the kernel has
    ///   received for it. Nothing of that is read, let alone forwarded, and the client sends the request
    ///   again.
    /// - A new connection of which nothing has been read is closed in the same way.
    /// - On any other connection a request is open, read ahead, or partially read. All requests that were
    ///   read are answered completely, the last one with `Connection: close`, and nothing after it is read.
    ///   A connection whose response was already being written is examined again when the response has been
    ///   written.
    ///
    /// So no request is read whose response could not be written.
    ///
    /// A connection that has just been accepted has a request on its way. It is not asked to shut down, and
    /// ends with the response.
    pub(super) fn shut_down(&self) {
        self.is_shutting_down.set(true);
        for state in self.by_id.borrow().values() {
            if !state.facts(true).expects_request_soon() {
                state.close_signals().request_shutdown();
            }
        }
    }
}

/// A connection in the table. Dropping it removes the connection, and notifies the accept loop.
pub(super) struct OpenConnection {
    id: ConnectionId,
    state: Rc<ConnectionState>,
    connections: Rc<Connections>,
}

impl OpenConnection {
    /// Returns the id of the connection.
    pub(super) fn id(&self) -> ConnectionId {
        self.id
    }

    /// Returns the state of the connection.
    pub(super) fn state(&self) -> &Rc<ConnectionState> {
        &self.state
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.by_id.borrow_mut().remove(&self.id);
        self.connections.closed.notify_one();
    }
}
