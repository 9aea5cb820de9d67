//! Detection of silent owners: a member stops asking owners that do not reply.

use std::collections::BTreeMap;

use crate::event::Millis;

/// Quota requests without a reply, and with no gossip received from the owner in between, after which an
/// owner counts as silent.
const SILENT_OWNER_MISSES: u32 = 3;
/// Milliseconds since the last missed reply for which a silent owner is not asked. Afterwards the owner is
/// asked again; one more missed reply makes the owner silent for the same time again.
const SILENT_OWNER_MS: Millis = 1000.0;
/// Quota requests without a reply, at any owners and with no gossip received since, after which all owners
/// count as silent: this limiter is probably partitioned from its peers.
const ALL_SILENT_MISSES: u32 = 12;
/// Interval in milliseconds of the quota requests that are still sent while all owners count as silent. They
/// find out when the peers can be reached again.
const ALL_SILENT_REQUEST_MS: Millis = 250.0;

/// Quota requests that one owner did not reply to.
#[derive(Debug, Clone, Copy)]
struct OwnerMisses {
    /// Consecutive misses.
    count: u32,
    /// Time of the last miss.
    last_at: Millis,
}

/// Which owners reply, as far as this member knows.
#[derive(Debug)]
pub(super) struct OwnerHealth {
    /// Misses by the position of the owner; owners without a miss since their last gossip are absent.
    misses: BTreeMap<u32, OwnerMisses>,
    /// Quota requests missed at any owner since gossip was last received from any peer.
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

    /// Returns whether an owner must not be asked now.
    pub fn is_silent(&self, owner: u32, now: Millis) -> bool {
        let are_all_silent = self.misses_since_gossip >= ALL_SILENT_MISSES;
        let asked_recently = now - self.last_request_at < ALL_SILENT_REQUEST_MS;
        (are_all_silent && asked_recently) || self.misses_replies(owner, now)
    }

    /// Returns whether this owner has recently missed several quota requests in a row.
    fn misses_replies(&self, owner: u32, now: Millis) -> bool {
        let Some(misses) = self.misses.get(&owner) else { return false };
        misses.count >= SILENT_OWNER_MISSES && now - misses.last_at < SILENT_OWNER_MS
    }
}
