//! The record of one announced server: what discovery has announced about it, and what this limiter has
//! observed.

use super::outlier::Health;
use super::slow_start::SlowStart;
use crate::event::{Endpoint, EndpointState, Millis};
use crate::hashing::endpoint_hash;

/// Identifies the record of a server. No limiter uses the same number twice.
pub(crate) type RecordId = u64;

/// The zone and cell of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ServerLocation {
    /// Zone of the server.
    pub zone: u32,
    /// Cell of the server.
    pub cell: u32,
}

/// Identifies one start of one server in gossip: the low 32 bits of the hash of the server's id and start
/// time. A server that restarts gets another fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Fingerprint(pub u32);

impl Fingerprint {
    /// Returns the fingerprint of an announced server.
    pub(super) fn of(endpoint: &Endpoint) -> Self {
        Fingerprint(endpoint_hash(endpoint) as u32)
    }
}

/// An announced server that has not been removed.
#[derive(Debug)]
pub(super) struct EndpointRecord {
    /// The server as last announced. A peer's tombstone may have changed the state to draining since.
    pub endpoint: Endpoint,
    /// Identifies this record. A server that is removed and announced again gets a new record with a new id.
    pub id: RecordId,
    /// The fingerprint of `endpoint`.
    pub fingerprint: Fingerprint,
    /// Number of attempts of this limiter in flight at this server.
    pub in_flight: u32,
    /// Health of the server as observed by this limiter.
    pub health: Health,
    /// Slow start of the server, if it started recently.
    pub slow_start: SlowStart,
}

impl EndpointRecord {
    /// Creates the record of a server about which nothing has been observed yet.
    pub fn new(endpoint: Endpoint, id: RecordId, now: Millis) -> Self {
        EndpointRecord {
            id,
            fingerprint: Fingerprint::of(&endpoint),
            endpoint,
            in_flight: 0,
            health: Health::new(now),
            slow_start: SlowStart::completed(),
        }
    }

    /// Replaces what discovery has announced about the server. The health and the attempts in flight describe
    /// the server itself and stay.
    pub fn set_endpoint(&mut self, endpoint: &Endpoint) {
        self.endpoint = endpoint.clone();
        self.fingerprint = Fingerprint::of(endpoint);
    }

    /// Returns the zone and cell of the server.
    pub fn location(&self) -> ServerLocation {
        ServerLocation { zone: self.endpoint.zone, cell: self.endpoint.cell }
    }

    /// Returns whether the server accepts requests, by the latest announcement and the tombstones of peers.
    pub fn is_serving(&self) -> bool {
        self.endpoint.state == EndpointState::Serving
    }

    /// Returns whether the server accepts requests and is not in slow start.
    pub fn is_warm_and_serving(&self) -> bool {
        !self.slow_start.is_warming() && self.is_serving()
    }
}
