//! The servers in slow start, indexed so that a limiter looks at servers of other warming sets only when
//! one of their slow starts may have ended.

use std::collections::BTreeSet;

use super::slow_start::SlowStart;
use crate::event::{Millis, ServerId};
use crate::settings::Settings;

/// The servers in slow start.
#[derive(Debug)]
pub(super) struct SlowStartIndex {
    /// All servers in slow start.
    warming: BTreeSet<ServerId>,
    /// Those of `warming` whose warming set this limiter belongs to.
    warming_here: BTreeSet<ServerId>,
    /// A time before which no slow start ends that is in `warming` but not in `warming_here`. Servers that
    /// were removed may leave it too early, which costs one search.
    next_end_elsewhere: Millis,
}

impl Default for SlowStartIndex {
    fn default() -> Self {
        SlowStartIndex {
            warming: BTreeSet::new(),
            warming_here: BTreeSet::new(),
            next_end_elsewhere: f64::INFINITY,
        }
    }
}

impl SlowStartIndex {
    /// Returns the servers in slow start whose warming set this limiter belongs to.
    pub fn warming_here(&self) -> &BTreeSet<ServerId> {
        &self.warming_here
    }

    /// Returns the servers whose slow start has to be refilled now: those that this limiter may send requests
    /// to, and all others as well if one of their slow starts may have ended.
    pub fn due_for_refill(&self, now: Millis) -> &BTreeSet<ServerId> {
        if now >= self.next_end_elsewhere {
            &self.warming
        } else {
            &self.warming_here
        }
    }

    /// Records the slow start of a server that was announced.
    pub fn update(&mut self, server: &ServerId, slow_start: &SlowStart, settings: &Settings) {
        self.warming_here.remove(server);
        let Some(ends_at) = slow_start.ends_at(settings) else { return };
        self.warming.insert(server.clone());
        if slow_start.is_in_warming_set() {
            self.warming_here.insert(server.clone());
        } else {
            self.next_end_elsewhere = self.next_end_elsewhere.min(ends_at);
        }
    }

    /// Removes a server whose slow start has ended, or which is no longer announced.
    pub fn remove(&mut self, server: &ServerId) {
        self.warming.remove(server);
        self.warming_here.remove(server);
    }

    /// Finds the next end of a slow start again once the present one has passed. Must be called after all
    /// servers that [`SlowStartIndex::due_for_refill`] returned have been refilled.
    pub fn update_next_end(&mut self, now: Millis, ends_at: impl Fn(&ServerId) -> Option<Millis>) {
        if now >= self.next_end_elsewhere {
            let warming_elsewhere = self.warming.difference(&self.warming_here);
            self.next_end_elsewhere = warming_elsewhere.filter_map(ends_at).fold(f64::INFINITY, f64::min);
        }
    }
}
