//! Gossip about departed servers, among limiters that discovery does not answer.
//!
//! A change counts as notified to all limiters some seconds after discovery has announced it to any. A
//! limiter that discovery does not answer therefore polls its peers, one at a time, for the servers that
//! departed. Only departures are learned in this way: a server is used when discovery, or the configured
//! list, has announced it.

use super::record::Fingerprint;
use super::tombstones::TOMBSTONES_PER_MESSAGE;
use crate::event::{Action, Millis};
use crate::gossip::GossipLine;
use crate::limiter::Limiter;

/// Time between two polls in milliseconds. About ten polls, each of a random peer, fit into the time after
/// which a change counts as notified.
const POLL_INTERVAL_MS: Millis = 500.0;
/// Number of polls that a process sends immediately when it installs its configured list. One poll may be
/// lost, and a polled peer may have been started just now as well. The peers are drawn at random, so that two
/// polls may go to the same peer.
const STARTUP_POLLS: u32 = 4;

impl Limiter {
    /// Polls several peers immediately, for a process that starts without discovery.
    pub(super) fn poll_peers_at_startup(&mut self, out: &mut Vec<Action>) {
        for _ in 0..STARTUP_POLLS {
            self.poll_random_peer(out);
        }
    }

    /// Polls a random peer if discovery does not answer and the last poll was [`POLL_INTERVAL_MS`] ago or
    /// earlier.
    pub(crate) fn poll_peers_for_tombstones(&mut self, out: &mut Vec<Action>) {
        let is_due = self.context.now - self.tombstones.last_poll_at >= POLL_INTERVAL_MS;
        if self.tombstones.discovery_lost && is_due {
            self.poll_random_peer(out);
        }
    }

    /// Polls a peer that is drawn at random. Does nothing without peers or gossip.
    fn poll_random_peer(&mut self, out: &mut Vec<Action>) {
        let limiters = self.context.settings.limiters;
        if !self.context.settings.can_gossip || limiters <= 1 {
            return;
        }
        self.tombstones.last_poll_at = self.context.now;
        let distance = self.context.rng.u32(1..limiters);
        let peer = (self.context.settings.position + distance) % limiters;
        self.send_gossip(peer, GossipLine::TombstonePoll, out);
    }

    /// Replies to the poll of a peer with all recent tombstones, in as many messages as necessary.
    pub(crate) fn send_tombstones(&mut self, peer: u32, out: &mut Vec<Action>) {
        let now = self.context.now;
        for fingerprints in self.tombstones.recent(now).chunks(TOMBSTONES_PER_MESSAGE) {
            let lines = fingerprints.iter().copied().map(GossipLine::Tombstone).collect();
            self.gossip.push_message(now, peer, lines);
        }
        self.flush_gossip(out);
    }

    /// Applies a peer's tombstone: no new attempt is sent to the server until discovery announces it again.
    /// The tombstone is recorded, so that this limiter reports it as well.
    pub(crate) fn on_tombstone(&mut self, fingerprint: Fingerprint) {
        if self.endpoints.drain_by_fingerprint(fingerprint) {
            self.tombstones.record(self.context.now, fingerprint);
        }
    }
}
