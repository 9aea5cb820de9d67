//! The table of open client connections: sweep, eviction, graceful shutdown.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::futures::Notified;
use tokio::sync::Notify;

use super::connection_state::ConnectionState;
use super::read_ahead_memory::ReadAheadMemory;

/// How often connections are checked for being overdue. A few passes a second cost less than a timer for each request.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// The open client connections.
pub(super) struct Connections {
    /// By id, hence in the order in which they were accepted.
    by_id: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    last_id: Cell<u64>,
    closed: Notify,
    is_shutting_down: Cell<bool>,
    read_ahead_memory: ReadAheadMemory,
}

impl Connections {
    /// No connection; all together may hold so much of what is read ahead, beyond what each may.
    pub(super) fn new(read_ahead_bytes: usize) -> Connections {
        Connections {
            by_id: RefCell::default(),
            last_id: Cell::default(),
            closed: Notify::new(),
            is_shutting_down: Cell::new(false),
            read_ahead_memory: ReadAheadMemory::new(read_ahead_bytes),
        }
    }

    /// The memory for what is read ahead.
    pub(super) fn read_ahead_memory(&self) -> &ReadAheadMemory {
        &self.read_ahead_memory
    }

    /// How many are open.
    pub(super) fn len(&self) -> usize {
        self.by_id.borrow().len()
    }

    /// Adds a connection that was accepted now; its id and its state.
    pub(super) fn add(&self) -> (u64, Rc<ConnectionState>) {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let state = Rc::new(ConnectionState::new());
        self.by_id.borrow_mut().insert(id, state.clone());
        (id, state)
    }

    /// Removes a connection that is closed.
    pub(super) fn remove(&self, id: u64) {
        self.by_id.borrow_mut().remove(&id);
        self.closed.notify_one();
    }

    /// Awaited by the accept loop: completes after a connection has closed. Cancelling loses no notification.
    pub(super) fn closed(&self) -> Notified<'_> {
        self.closed.notified()
    }

    /// Whether no more requests are taken but those already on their way.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    /// Closes connections that have been idle for too long, or whose request has not arrived completely in time. Runs
    /// as a task of its own and never completes; it holds no borrow while it sleeps.
    pub(super) async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            for state in self.by_id.borrow().values() {
                if state.facts(self.is_shutting_down()).is_overdue() {
                    state.request_abort();
                }
            }
        }
    }

    /// Whether the shutdown has to wait for any connection.
    pub(super) fn blocks_shutdown(&self) -> bool {
        self.by_id.borrow().values().any(|state| state.facts(self.is_shutting_down()).blocks_shutdown())
    }

    /// Closes the connection of the lowest [`ConnectionState::eviction_rank`], if any may be evicted: clients that hold
    /// idle connections or send partial requests must not keep others out.
    pub(super) fn evict_one(&self) {
        let by_id = self.by_id.borrow();
        let evictable = by_id.values().filter(|state| state.facts(self.is_shutting_down()).may_evict());
        if let Some(state) = evictable.min_by_key(|state| state.eviction_rank()) {
            state.request_abort();
        }
    }

    /// Begins the graceful shutdown of all connections. Each connection's task then does one of three things:
    ///
    /// - One that rests between requests, with nothing read ahead, is closed for reading and writing by hyper (1.12,
    ///   `Conn::disable_keep_alive`) in the call itself, whatever the kernel has received for it: nothing of that is read,
    ///   let alone forwarded, and the client sends it again.
    /// - So is a new connection of which nothing has been read.
    /// - In any other a request is open, read ahead, or half read: all that was read is answered completely, the last one
    ///   with `Connection: close`; nothing after it is read. A connection whose response was on its way already is looked
    ///   at again once that is written.
    ///
    /// So no request is taken whose response could not be written.
    ///
    /// A connection that was accepted just now has a request on its way: it is left alone, and ends with its response.
    pub(super) fn shut_down(&self) {
        self.is_shutting_down.set(true);
        for state in self.by_id.borrow().values() {
            if !state.facts(true).expects_request_soon() {
                state.request_shutdown();
            }
        }
    }
}
