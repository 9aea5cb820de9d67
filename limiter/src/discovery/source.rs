//! The sources of the endpoint list, and which one of them is the newest.

use std::cell::Cell;
use std::net::SocketAddr;

use tokio::sync::Notify;

/// Number of a source, in the order in which the configuration has named the sources, from 0.
pub type SourceNumber = u32;

/// Number of the source that the configuration named at the start.
pub const FIRST_SOURCE: SourceNumber = 0;

/// The address of discovery to watch. A reload of the configuration may change the address; each change
/// creates a new source.
pub struct WatchTarget {
    /// Address of the newest source.
    address: Cell<SocketAddr>,
    /// Number of the newest source.
    newest: Cell<SourceNumber>,
    /// Number of the newest source that has announced a list; the first source if there is none.
    newest_announced: Cell<SourceNumber>,
    changed: Notify,
}

impl WatchTarget {
    /// Creates a target with one source, which has not announced a list.
    pub fn new(address: SocketAddr) -> WatchTarget {
        WatchTarget {
            address: Cell::new(address),
            newest: Cell::new(FIRST_SOURCE),
            newest_announced: Cell::new(FIRST_SOURCE),
            changed: Notify::new(),
        }
    }

    /// Changes the address to watch. Returns whether the new address differs from the current one.
    pub fn change_to(&self, address: SocketAddr) -> bool {
        let is_different = self.address.replace(address) != address;
        if is_different {
            self.newest.set(self.newest.get() + 1);
            self.changed.notify_one();
        }
        is_different
    }

    /// Returns the address of the newest source.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Returns the number of the newest source.
    pub fn newest(&self) -> SourceNumber {
        self.newest.get()
    }

    /// Waits for a change of the address. If the address has changed since the last wait, returns
    /// immediately; several such changes complete only one wait. Cancelling loses no change.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Records that a source has announced a list.
    pub fn record_announcement(&self, source: SourceNumber) {
        self.newest_announced.set(source);
    }

    /// Returns whether a newer source has announced a list, which replaces the list of this source.
    pub fn is_superseded(&self, source: SourceNumber) -> bool {
        self.newest_announced.get() > source
    }
}

/// A source, and the version up to which its list has been read.
#[derive(Clone)]
pub struct WatchSource {
    /// Address of discovery.
    pub address: SocketAddr,
    /// Number of the source.
    pub number: SourceNumber,
    /// The last version of the list that was read; `None` requests the complete list.
    pub version: Option<u64>,
}
