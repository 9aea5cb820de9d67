//! What discovery announces of servers, and what peers report of departed ones while it does not answer.

use super::registry::fingerprint;
use super::tombstones::TOMBSTONES_PER_MESSAGE;
use crate::event::{Action, Endpoint, EndpointState, Millis};
use crate::gossip::GossipLine;
use crate::limiter::Limiter;

/// Milliseconds between two polls, each of another peer: some ten before a change counts as notified.
const POLL_INTERVAL_MS: Millis = 500.0;
/// Polls of a process that takes its configured list: one may be lost, and a peer may have started just now
/// as well.
const STARTUP_POLLS: u32 = 4;

impl Limiter {
    pub(crate) fn on_endpoints_changed(
        &mut self,
        complete: bool,
        endpoints: &[Endpoint],
        out: &mut Vec<Action>,
    ) {
        self.tombstones.discovery_lost = false;
        self.apply_endpoints(complete, endpoints, out);
        self.endpoints.start_times.contact_made();
    }

    /// Takes the list in that this limiter was configured with. It is old, and discovery has yet to answer:
    /// several peers are asked at once which of its servers have departed since.
    pub(crate) fn on_endpoints_configured(&mut self, endpoints: &[Endpoint], out: &mut Vec<Action>) {
        self.apply_endpoints(true, endpoints, out);
        self.on_watch_failed(out);
        for _ in 0..STARTUP_POLLS {
            self.poll_random_peer(out);
        }
    }

    fn apply_endpoints(&mut self, complete: bool, endpoints: &[Endpoint], out: &mut Vec<Action>) {
        let departed = self.endpoints.update(&mut self.context, complete, endpoints);
        for fingerprint in departed {
            self.tombstones.record(self.context.now, fingerprint);
        }
        for endpoint in endpoints.iter().filter(|endpoint| endpoint.state == EndpointState::Serving) {
            self.tombstones.forget(fingerprint(endpoint));
        }
        self.drain_queue(out);
    }

    /// Peers are asked for departures until discovery answers again: where the list is subscribed to, and by
    /// a process that has never been answered. Where lists are pushed, one that has been answered was told
    /// all that its agent knows.
    pub(crate) fn on_watch_failed(&mut self, out: &mut Vec<Action>) {
        let was_answered = self.endpoints.start_times.witnesses_starts();
        self.tombstones.discovery_lost = self.context.settings.must_subscribe || !was_answered;
        self.endpoints.start_times.contact_lost(self.context.now);
        out.push(Action::SubscribeToEndpoints);
    }

    /// A change counts as notified some seconds after discovery had it, whoever that has answered: what it
    /// has announced to others is asked of them, one after the other, until it answers here.
    pub(crate) fn poll_peers_for_tombstones(&mut self, out: &mut Vec<Action>) {
        let is_due = self.context.now - self.tombstones.last_poll_at >= POLL_INTERVAL_MS;
        if self.tombstones.discovery_lost && is_due {
            self.poll_random_peer(out);
        }
    }

    fn poll_random_peer(&mut self, out: &mut Vec<Action>) {
        let limiters = self.context.settings.limiters;
        if self.context.settings.can_gossip && limiters > 1 {
            self.tombstones.last_poll_at = self.context.now;
            let peer = (self.context.settings.position + self.context.rng.u32(1..limiters)) % limiters;
            self.send_gossip(peer, GossipLine::TombstonePoll, out);
        }
    }

    pub(crate) fn send_tombstones(&mut self, peer: u32, out: &mut Vec<Action>) {
        let now = self.context.now;
        for departed in self.tombstones.recent(now).chunks(TOMBSTONES_PER_MESSAGE) {
            let lines = departed.iter().copied().map(GossipLine::Tombstone).collect();
            self.gossip.push_message(now, peer, lines);
        }
        self.flush_gossip(out);
    }

    /// Nothing new is sent to a server that has departed by a peer's report, until discovery announces it
    /// again. That a server has come is not taken from a peer.
    pub(crate) fn on_tombstone(&mut self, fingerprint: u32) {
        if self.endpoints.drain_by_fingerprint(fingerprint) {
            self.tombstones.record(self.context.now, fingerprint);
        }
    }
}
