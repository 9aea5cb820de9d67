//! The sources of the endpoint list, and which one of them counts.

use std::cell::Cell;
use std::net::SocketAddr;

use tokio::sync::Notify;

/// Position of a source among all sources that the configuration has named, from 0.
pub type SourceNumber = u32;

/// The source that the configuration named at the start.
pub const FIRST_SOURCE: SourceNumber = 0;

/// The address that is to be watched. A reload of the configuration may change it; each change creates a new
/// source.
pub struct WatchTarget {
    /// Address of the newest source.
    address: Cell<SocketAddr>,
    /// Number of the newest source.
    newest: Cell<SourceNumber>,
    /// The newest source that has announced a list.
    newest_announced: Cell<SourceNumber>,
    changed: Notify,
}

impl WatchTarget {
    /// Creates a target with one source, which has announced nothing.
    pub fn new(address: SocketAddr) -> WatchTarget {
        WatchTarget {
            address: Cell::new(address),
            newest: Cell::new(FIRST_SOURCE),
            newest_announced: Cell::new(FIRST_SOURCE),
            changed: Notify::new(),
        }
    }

    /// Changes the address that is to be watched. Returns whether it differs from the present one.
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

    /// Waits for a change of the address. A change before the call completes the wait at once; several
    /// changes count as one. Cancelling loses none.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Records that a source has announced a list.
    pub fn record_announcement(&self, source: SourceNumber) {
        self.newest_announced.set(source);
    }

    /// Returns whether a newer source than this one has announced a list, so that this one no longer counts.
    pub fn is_superseded(&self, source: SourceNumber) -> bool {
        self.newest_announced.get() > source
    }
}

/// A source, and how much of its list has been read.
#[derive(Clone)]
pub struct WatchSource {
    /// Address of discovery.
    pub address: SocketAddr,
    /// Number of the source.
    pub number: SourceNumber,
    /// The newest version of the list that was read; `None` requests the complete list.
    pub version: Option<u64>,
}
