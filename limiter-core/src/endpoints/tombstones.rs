//! Tombstones: fingerprints of servers that departed recently, for peers that are cut off from discovery.

use std::collections::{HashSet, VecDeque};

use super::record::Fingerprint;
use crate::event::Millis;

/// Time in milliseconds for which a tombstone is reported. Longer than an outage of discovery, because
/// limiters may be started during the outage.
const RETENTION_MS: Millis = 300_000.0;
/// Largest number of tombstones in one gossip message: 48 lines of 5 bytes and a header of 8 bytes fit into
/// the limit of 256 bytes.
pub(super) const TOMBSTONES_PER_MESSAGE: usize = 48;
/// Largest number of tombstones that are stored and reported: eight messages. This covers all servers of a
/// typical fleet, and the latest departures in the largest fleets. More messages would delay the messages
/// about quotas.
const MAX_TOMBSTONES: usize = 8 * TOMBSTONES_PER_MESSAGE;

/// A server that is draining or was removed.
#[derive(Debug)]
struct Tombstone {
    recorded_at: Millis,
    fingerprint: Fingerprint,
}

/// The recent tombstones, and whether peers are polled for theirs.
#[derive(Debug)]
pub(crate) struct Tombstones {
    /// Whether this limiter is cut off from discovery. While this is the case, peers are polled and their
    /// tombstones are applied.
    pub is_cut_off_from_discovery: bool,
    /// Time of the last poll of a peer.
    pub(super) last_poll_at: Millis,
    /// The tombstones in the order in which they were recorded.
    recent: VecDeque<Tombstone>,
    /// The fingerprints of `recent`.
    fingerprints: HashSet<Fingerprint>,
}

impl Tombstones {
    /// Creates an empty list of tombstones, for a limiter that is not cut off from discovery.
    pub fn new() -> Self {
        Tombstones {
            is_cut_off_from_discovery: false,
            last_poll_at: f64::NEG_INFINITY,
            recent: VecDeque::new(),
            fingerprints: HashSet::new(),
        }
    }

    /// Records that a server is draining or was removed. A tombstone that is already present keeps its time.
    pub(super) fn record(&mut self, now: Millis, fingerprint: Fingerprint) {
        self.expire(now);
        if !self.fingerprints.insert(fingerprint) {
            return;
        }
        self.recent.push_back(Tombstone { recorded_at: now, fingerprint });
        if self.recent.len() > MAX_TOMBSTONES {
            self.remove_oldest();
        }
    }

    /// Removes the tombstone of a server that accepts requests again.
    pub(super) fn remove(&mut self, fingerprint: Fingerprint) {
        if self.fingerprints.remove(&fingerprint) {
            self.recent.retain(|tombstone| tombstone.fingerprint != fingerprint);
        }
    }

    /// Returns the fingerprints of the servers that departed recently, the oldest first.
    pub(super) fn recent(&mut self, now: Millis) -> Vec<Fingerprint> {
        self.expire(now);
        self.recent.iter().map(|tombstone| tombstone.fingerprint).collect()
    }

    fn expire(&mut self, now: Millis) {
        while self.recent.front().is_some_and(|oldest| now - oldest.recorded_at >= RETENTION_MS) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.recent.pop_front() {
            self.fingerprints.remove(&oldest.fingerprint);
        }
    }
}
