//! Servers that have departed recently.

use std::collections::{HashSet, VecDeque};

use crate::event::Millis;

/// A server that drains or is gone.
#[derive(Debug)]
struct Tombstone {
    heard_at: Millis,
    fingerprint: u32,
}

/// Milliseconds for which a tombstone is reported: longer than an outage of discovery lasts, in which
/// limiters may start.
const RETENTION_MS: Millis = 300_000.0;
/// Tombstones of one message.
pub(super) const TOMBSTONES_PER_MESSAGE: usize = 48;
/// Most tombstones that are remembered and reported, eight messages: all servers of a usual fleet, and of the
/// largest ones those that departed last. More messages would keep those on quotas waiting.
const MAX_TOMBSTONES: usize = 8 * TOMBSTONES_PER_MESSAGE;

/// Recent tombstones, the newest last, and the state of the polls.
#[derive(Debug)]
pub(crate) struct Tombstones {
    /// Discovery does not answer.
    pub discovery_lost: bool,
    /// When a peer was last asked for tombstones.
    pub(super) last_poll_at: Millis,
    recent: VecDeque<Tombstone>,
    /// Those of `recent`.
    fingerprints: HashSet<u32>,
}

impl Tombstones {
    /// No tombstone yet.
    pub fn new() -> Self {
        Tombstones {
            discovery_lost: false,
            last_poll_at: f64::NEG_INFINITY,
            recent: VecDeque::new(),
            fingerprints: HashSet::new(),
        }
    }

    /// Remembers a tombstone, once.
    pub fn record(&mut self, now: Millis, fingerprint: u32) {
        self.expire(now);
        if !self.fingerprints.insert(fingerprint) {
            return;
        }
        self.recent.push_back(Tombstone { heard_at: now, fingerprint });
        if self.recent.len() > MAX_TOMBSTONES {
            self.forget_oldest();
        }
    }

    /// Forgets the tombstone of a server that takes requests again.
    pub fn forget(&mut self, fingerprint: u32) {
        if self.fingerprints.remove(&fingerprint) {
            self.recent.retain(|tombstone| tombstone.fingerprint != fingerprint);
        }
    }

    /// Fingerprints of the servers that have departed recently.
    pub fn recent(&mut self, now: Millis) -> Vec<u32> {
        self.expire(now);
        self.recent.iter().map(|tombstone| tombstone.fingerprint).collect()
    }

    fn expire(&mut self, now: Millis) {
        while self.recent.front().is_some_and(|oldest| now - oldest.heard_at >= RETENTION_MS) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.recent.pop_front() {
            self.fingerprints.remove(&oldest.fingerprint);
        }
    }
}
