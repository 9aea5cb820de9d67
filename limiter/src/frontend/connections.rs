//! The table of open client connections: sweep, eviction, graceful shutdown.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::futures::Notified;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::connection_state::ConnectionState;
use super::read_ahead::{ReadAheadMemory, ReadAheadShare};
use crate::observability::labels::EvictedState;

/// Interval at which the table is searched for overdue connections. A few searches per second cost less than
/// a timer for each request.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Identifies a connection. Ids ascend in the order in which connections were accepted.
pub(super) type ConnectionId = u64;

/// The table of open client connections.
pub(super) struct Connections {
    /// Ordered by id, and thus in the order in which the connections were accepted.
    by_id: RefCell<BTreeMap<ConnectionId, Rc<ConnectionState>>>,
    /// The id of the connection that was added last.
    last_id: Cell<ConnectionId>,
    /// Notified when a connection has closed.
    closed: Notify,
    is_shutting_down: Cell<bool>,
    read_ahead_memory: ReadAheadMemory,
}

impl Connections {
    /// Creates an empty table. `read_ahead_bytes` limits the total of the bytes that connections read ahead
    /// beyond the bytes that are guaranteed to each of them.
    pub(super) fn new(read_ahead_bytes: usize) -> Connections {
        Connections {
            by_id: RefCell::default(),
            last_id: Cell::default(),
            closed: Notify::new(),
            is_shutting_down: Cell::new(false),
            read_ahead_memory: ReadAheadMemory::new(read_ahead_bytes),
        }
    }

    /// Creates the share of a new connection in the memory for reading ahead.
    pub(super) fn new_read_ahead_share(&self) -> ReadAheadShare {
        self.read_ahead_memory.new_share()
    }

    /// Returns the number of open connections.
    pub(super) fn len(&self) -> usize {
        self.by_id.borrow().len()
    }

    /// Returns the number of connections with a request that has been read and not been answered completely.
    pub(super) fn num_busy(&self) -> usize {
        let now = Instant::now();
        let is_shutting_down = self.is_shutting_down();
        let by_id = self.by_id.borrow();
        by_id.values().filter(|state| state.facts_at(now, is_shutting_down).is_busy()).count()
    }

    /// Adds a connection that has just been accepted. Dropping the returned guard removes the connection.
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

    /// Returns whether the graceful shutdown of the connections has begun. From then on, a response ends its
    /// connection unless another request has been pipelined after the answered one.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    /// Closes the connections that are overdue: idle for too long, with a request that has not arrived
    /// completely in time, or with a response that the client does not read. Runs in a separate task and
    /// never completes. Cancelling only ends the checks: nothing is borrowed or changed during the sleep.
    pub(super) async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let now = Instant::now();
            for state in self.by_id.borrow().values() {
                if state.facts_at(now, self.is_shutting_down()).is_overdue() {
                    state.close_signals().request_abort();
                }
            }
        }
    }

    /// Returns whether the shutdown has to wait for any connection.
    pub(super) fn blocks_shutdown(&self) -> bool {
        let is_shutting_down = self.is_shutting_down();
        let now = Instant::now();
        self.by_id.borrow().values().any(|state| state.facts_at(now, is_shutting_down).blocks_shutdown())
    }

    /// Evicts the connection with the lowest [`ConnectionState::eviction_rank`] among those that may be
    /// evicted, if there is one. Clients with idle connections or partial requests must not keep out other
    /// clients. Returns what the chosen connection was doing.
    pub(super) fn evict_one(&self) -> Option<EvictedState> {
        let is_shutting_down = self.is_shutting_down();
        let now = Instant::now();
        let by_id = self.by_id.borrow();
        let eviction = |state: &ConnectionState| state.facts_at(now, is_shutting_down).eviction();
        let evictable = by_id.values().filter(|state| eviction(state).is_some());
        let state = evictable.min_by_key(|state| state.eviction_rank())?;
        Some(state.evict(eviction(state)?))
    }

    /// Begins the graceful shutdown of all connections. The task of a connection does one of three things:
    ///
    /// - If the connection is idle between two requests and nothing has been read ahead, hyper (1.12,
    ///   `Conn::disable_keep_alive`) closes it for reading and writing within the call of
    ///   `graceful_shutdown`, even if the kernel has received bytes for the connection. These bytes are not
    ///   read, so that no request in them is forwarded, and the client sends the request again.
    /// - If nothing has been read from a new connection, hyper closes it in the same way.
    /// - On any other connection, a request is open, read ahead, or partially read. All requests that were
    ///   read are answered completely, the last one with `Connection: close`, and nothing after it is read.
    ///   If a response was already being written, the connection is examined again when the response has
    ///   been written.
    ///
    /// In all cases, the limiter reads only requests to which it can still write the response.
    ///
    /// A connection on which a request is probably in transit, such as one that has just been accepted, is
    /// not asked to shut down. It ends with the response to that request.
    pub(super) fn shut_down(&self) {
        self.is_shutting_down.set(true);
        let now = Instant::now();
        for state in self.by_id.borrow().values() {
            if !state.facts_at(now, true).expects_request_soon() {
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
