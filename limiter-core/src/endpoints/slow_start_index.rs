//! Index of the servers in slow start. With the index, a limiter examines the servers whose warming set it
//! does not belong to only when one of their slow starts may have ended.

use std::collections::BTreeSet;

use super::slow_start::SlowStart;
use crate::event::{Millis, ServerId};
use crate::settings::Settings;

/// The servers in slow start. A server is assigned to this limiter if the limiter belongs to the server's
/// warming set.
#[derive(Debug)]
pub(super) struct SlowStartIndex {
    /// All servers in slow start.
    warming: BTreeSet<ServerId>,
    /// Those of `warming` that are assigned to this limiter.
    assigned: BTreeSet<ServerId>,
    /// Lower bound of the ends of the slow starts of those servers that are in `warming` but not in
    /// `assigned`. After the removal of a server, the bound may be lower than necessary, which costs one
    /// search.
    next_unassigned_end: Millis,
}

impl Default for SlowStartIndex {
    fn default() -> Self {
        SlowStartIndex {
            warming: BTreeSet::new(),
            assigned: BTreeSet::new(),
            next_unassigned_end: f64::INFINITY,
        }
    }
}

impl SlowStartIndex {
    /// Returns the servers in slow start that are assigned to this limiter.
    pub fn assigned(&self) -> &BTreeSet<ServerId> {
        &self.assigned
    }

    /// Returns the servers whose slow start has to be refilled now: those that are assigned to this limiter,
    /// and also all others if one of their slow starts may have ended.
    pub fn due_for_refill(&self, now: Millis) -> &BTreeSet<ServerId> {
        if now >= self.next_unassigned_end {
            &self.warming
        } else {
            &self.assigned
        }
    }

    /// Updates the index with the slow start of a server that was announced.
    pub fn update(&mut self, server: &ServerId, slow_start: &SlowStart, settings: &Settings) {
        self.assigned.remove(server);
        let Some(ends_at) = slow_start.ends_at(settings) else { return };
        self.warming.insert(server.clone());
        if slow_start.is_in_warming_set() {
            self.assigned.insert(server.clone());
        } else {
            self.next_unassigned_end = self.next_unassigned_end.min(ends_at);
        }
    }

    /// Removes a server whose slow start has ended, or which is no longer announced.
    pub fn remove(&mut self, server: &ServerId) {
        self.warming.remove(server);
        self.assigned.remove(server);
    }

    /// Recomputes the lower bound of the ends of the slow starts that are not assigned to this limiter, once
    /// that bound has passed. Must be called after all servers that [`SlowStartIndex::due_for_refill`]
    /// returned have been refilled.
    pub fn update_next_end(&mut self, now: Millis, ends_at: impl Fn(&ServerId) -> Option<Millis>) {
        if now >= self.next_unassigned_end {
            let unassigned = self.warming.difference(&self.assigned);
            self.next_unassigned_end = unassigned.filter_map(ends_at).fold(f64::INFINITY, f64::min);
        }
    }
}
