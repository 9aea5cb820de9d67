//! The simulated discovery service, which serves one endpoint list to each limiter through two agents.

mod list;
mod watch;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::sync::watch as watch_channel;

pub use list::{EndpointState, ListedServer};

use crate::http::Connection;
use crate::net;
use crate::record::SharedRecord;
use list::EndpointList;

/// Availability of discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// Discovery responds to requests and writes changes to open watches.
    Available,
    /// Discovery closes open connections and new ones.
    Refusing,
    /// Discovery accepts requests but writes nothing, neither responses nor changes to open watches.
    Silent,
}

/// The simulated discovery service.
pub struct Discovery {
    list: Mutex<EndpointList>,
    /// The version of the list, which wakes the tasks that wait for a change.
    version: watch_channel::Sender<u64>,
    availability: watch_channel::Sender<Availability>,
    /// Number of resets so far. An increment resets all watches.
    resets: watch_channel::Sender<u64>,
    /// Whether each watch begins with the complete list, regardless of the requested version.
    always_complete: AtomicBool,
    /// Delay of everything that discovery writes, in milliseconds.
    delay_ms: AtomicU64,
    record: Arc<SharedRecord>,
    seed: u64,
}

impl Discovery {
    /// Creates a service that is available and has an empty list.
    pub fn new(record: Arc<SharedRecord>, seed: u64) -> Arc<Discovery> {
        Arc::new(Discovery {
            list: Mutex::default(),
            version: watch_channel::Sender::new(0),
            availability: watch_channel::Sender::new(Availability::Available),
            resets: watch_channel::Sender::new(0),
            always_complete: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            record,
            seed,
        })
    }

    /// Starts listening on the address of one of a limiter's discovery agents.
    ///
    /// # Errors
    /// The address is not available.
    pub fn listen(self: &Arc<Self>, limiter: usize, address: SocketAddr) -> std::io::Result<()> {
        let listener = net::listen(address)?;
        let discovery = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(discovery.clone().serve(limiter, Connection::new(stream)));
            }
        });
        Ok(())
    }

    /// Announces a new or changed server.
    pub fn announce(&self, server: ListedServer) {
        let mut list = self.list();
        let version = list.put(server);
        self.version.send_replace(version);
    }

    /// Announces that a server is draining or removed.
    pub fn withdraw(&self, name: &str, state: EndpointState) {
        let Some(server) = self.list().find(name) else { return };
        self.record.lock().servers[server.number].withdrawn_at.get_or_insert_with(Instant::now);
        self.announce(server.with_state(state));
    }

    /// Sets the availability of discovery.
    pub fn set_availability(&self, availability: Availability) {
        self.availability.send_replace(availability);
    }

    /// Sets whether each watch begins with the complete list, regardless of the requested version.
    pub fn set_always_complete(&self, always: bool) {
        self.always_complete.store(always, Ordering::SeqCst);
    }

    /// Sets the delay of everything that discovery writes from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Resets all watches.
    pub fn reset_watches(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Returns the complete list in its JSON form.
    pub fn complete_list(&self) -> Value {
        self.list().complete_list()
    }

    fn list(&self) -> MutexGuard<'_, EndpointList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
