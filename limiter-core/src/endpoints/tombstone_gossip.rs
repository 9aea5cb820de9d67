//! Gossip about departed servers, for limiters that are cut off from discovery.
//!
//! Every limiter is expected to know a change some seconds after discovery has announced the change to any
//! limiter. A limiter that is cut off from discovery therefore polls its peers, one at a time, for the
//! servers that departed. Only departures are learned in this way: a server is not used before discovery, or
//! the configured list, has announced it.

use super::record::Fingerprint;
use super::tombstones::TOMBSTONES_PER_MESSAGE;
use crate::event::{Action, Millis};
use crate::gossip::GossipLine;
use crate::limiter::Limiter;

/// Time between two polls in milliseconds. About ten polls, each of a random peer, fit into the time after
/// which every limiter is expected to know a change.
const POLL_INTERVAL_MS: Millis = 500.0;
/// Number of polls that a process sends immediately when it installs its configured list. Several polls are
/// sent because a poll may be lost, and because a polled peer may also have just started. The peers are drawn
/// at random, so two polls may go to the same peer.
const STARTUP_POLLS: u32 = 4;

impl Limiter {
    /// Sends several polls immediately, for a process that starts without discovery.
    pub(super) fn poll_peers_at_startup(&mut self, out: &mut Vec<Action>) {
        for _ in 0..STARTUP_POLLS {
            self.poll_random_peer(out);
        }
    }

    /// Polls a random peer if this limiter is cut off from discovery and the last poll was at least
    /// [`POLL_INTERVAL_MS`] ago.
    pub(crate) fn poll_peers_for_tombstones(&mut self, out: &mut Vec<Action>) {
        let is_due = self.context.now - self.tombstones.last_poll_at >= POLL_INTERVAL_MS;
        if self.tombstones.is_cut_off_from_discovery && is_due {
            self.poll_random_peer(out);
        }
    }

    /// Polls a peer that is drawn at random. Does nothing if there are no peers or gossip is disabled.
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
