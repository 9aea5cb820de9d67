//! Handling of received gossip messages, line by line.

use super::messages::{GossipLine, GossipMessage, QuotaRequest};
use crate::event::Action;
use crate::limiter::Limiter;
use crate::quota::GrantKey;

impl Limiter {
    /// Handles a gossip message from a peer. A message that is malformed or that no peer can have sent is
    /// ignored.
    pub(crate) fn on_gossip(&mut self, from: u32, body: &[u8], out: &mut Vec<Action>) {
        if from >= self.context.settings.limiters || from == self.context.settings.position {
            return;
        }
        let Some(message) = GossipMessage::decode(body) else { return };
        if message.is_from_serving_limiter() {
            self.has_serving_peer = true;
        }
        self.member_quotas.record_gossip(from);
        if let Some(latency) = message.latency {
            self.admission.record_peer_latency(self.context.now, latency);
        }
        for line in message.lines {
            self.on_gossip_line(from, message.incarnation, line, out);
        }
    }

    /// Handles one line of a message from a peer, whose incarnation is that of the message.
    fn on_gossip_line(&mut self, from: u32, incarnation: u32, line: GossipLine, out: &mut Vec<Action>) {
        match line {
            GossipLine::QuotaRequest(request) => {
                let key = GrantKey { member: from, incarnation, request: request.id };
                self.on_quota_request(key, &request, out);
            }
            GossipLine::GrantReply(reply) => {
                // A reply to an earlier incarnation may carry the id of a request of the current incarnation.
                if reply.member_incarnation == self.context.incarnation {
                    self.on_grant_reply(from, &reply, out);
                }
            }
            GossipLine::Settlement(settlement) => {
                let key = GrantKey { member: from, incarnation, request: settlement.id };
                self.owned_quotas.settle(&self.context, key, settlement);
            }
            GossipLine::TombstonePoll => self.send_tombstones(from, out),
            GossipLine::Tombstone(fingerprint) => {
                if self.tombstones.is_cut_off_from_discovery {
                    self.on_tombstone(fingerprint);
                }
            }
        }
    }

    /// Decides on a member's quota request and replies. A request for a quota that this limiter does not own,
    /// or with an unknown plan, is ignored.
    ///
    /// Quota requests that are handled after a stall, up to the time of the next control step, are assumed to
    /// have arrived during the stall and are ignored: the member no longer waits for the reply, so a grant
    /// would only waste units.
    fn on_quota_request(&mut self, key: GrantKey, request: &QuotaRequest, out: &mut Vec<Action>) {
        let has_just_resumed = self.resumed_at >= self.context.now;
        if has_just_resumed {
            return;
        }
        if let Some(reply) = self.owned_quotas.decide(&self.context, key, request) {
            self.send_gossip(key.member, GossipLine::GrantReply(reply), out);
        }
    }
}
