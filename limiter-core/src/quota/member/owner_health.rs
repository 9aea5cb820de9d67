//! Detection of silent owners: a member stops asking owners that do not reply.

use std::collections::BTreeMap;

use crate::event::Millis;

/// Number of missed replies after which an owner is considered silent. Any gossip from the owner resets the
/// number.
const SILENT_OWNER_MISSES: u32 = 3;
/// Time in milliseconds, from the last missed reply, for which a silent owner is not asked. Afterwards the
/// owner is asked again; one more missed reply makes the owner silent for the same time again.
const SILENT_OWNER_MS: Millis = 1000.0;
/// Number of missed replies, of all owners together, after which all owners are considered silent: this
/// limiter is probably partitioned from its peers. Any gossip from a peer resets the number.
const ALL_SILENT_MISSES: u32 = 12;
/// Shortest time in milliseconds between two quota requests while all owners are considered silent. These
/// requests test whether peers can be reached again.
const ALL_SILENT_REQUEST_INTERVAL_MS: Millis = 250.0;

/// Replies of one owner that did not arrive in time since the owner's last gossip message.
#[derive(Debug, Clone, Copy)]
struct OwnerMisses {
    /// Number of missed replies.
    count: u32,
    /// Time of the last missed reply.
    last_at: Millis,
}

/// Tracks which owners reply to this member.
#[derive(Debug)]
pub(super) struct OwnerHealth {
    /// Missed replies by the position of the owner. Contains no owner without a missed reply since its last
    /// gossip message.
    misses: BTreeMap<u32, OwnerMisses>,
    /// Number of missed replies of all owners since the last gossip message from any peer.
    misses_since_gossip: u32,
    /// Time of the last quota request to any owner; negative infinity before the first.
    last_request_at: Millis,
}

impl OwnerHealth {
    /// Creates the state of a member that has not asked any owner.
    pub fn new() -> Self {
        OwnerHealth { misses: BTreeMap::new(), misses_since_gossip: 0, last_request_at: f64::NEG_INFINITY }
    }

    /// Records that a quota request is sent to an owner.
    pub fn record_request(&mut self, now: Millis) {
        self.last_request_at = now;
    }

    /// Records that an owner has not replied in time.
    pub fn record_miss(&mut self, owner: u32, now: Millis) {
        self.misses_since_gossip += 1;
        let previous_count = self.misses.get(&owner).map_or(0, |misses| misses.count);
        self.misses.insert(owner, OwnerMisses { count: previous_count + 1, last_at: now });
    }

    /// Records that gossip from a peer has arrived.
    pub fn record_gossip(&mut self, from: u32) {
        self.misses.remove(&from);
        self.misses_since_gossip = 0;
    }

    /// Returns whether an owner is considered silent and must not be asked now.
    pub fn is_silent(&self, owner: u32, now: Millis) -> bool {
        let are_all_silent = self.misses_since_gossip >= ALL_SILENT_MISSES;
        let asked_recently = now - self.last_request_at < ALL_SILENT_REQUEST_INTERVAL_MS;
        (are_all_silent && asked_recently) || self.has_too_many_misses(owner, now)
    }

    /// Returns whether at least [`SILENT_OWNER_MISSES`] replies of this owner were missed, the last one less
    /// than [`SILENT_OWNER_MS`] ago.
    fn has_too_many_misses(&self, owner: u32, now: Millis) -> bool {
        let Some(misses) = self.misses.get(&owner) else { return false };
        misses.count >= SILENT_OWNER_MISSES && now - misses.last_at < SILENT_OWNER_MS
    }
}
