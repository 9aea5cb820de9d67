//! Which gossip is sent when, what is worth sending, and what is made of a message that arrives.

use super::codec::{GossipLine, GossipMessage};
use super::queue::{WaitingLine, WaitingMessage};
use crate::context::Context;
use crate::event::{Action, Millis, TimerToken};
use crate::limiter::Limiter;
use crate::quota::GrantKey;
use crate::request::RequestTable;

/// Fraction of the receivers' message allowance that this limiter sends.
const ALLOWANCE_FRACTION: f64 = 0.8;
/// Seconds of its allowance that this limiter may send at once.
const BURST_S: f64 = 0.1;
/// Milliseconds after which a reply that still waits to be sent comes too late for its member.
const REPLY_EXPIRY_MS: Millis = 250.0;
/// Shortest time to the next flush in milliseconds.
const MIN_FLUSH_MS: Millis = 1.0;

impl WaitingLine {
    /// Whether a line that has waited is still of use to its receiver.
    fn is_useful(&self, now: Millis, to: u32, requests: &RequestTable) -> bool {
        match self.line {
            GossipLine::QuotaRequest(request) if !request.already_spent => {
                let awaited = requests.get(request.id).and_then(|pending| pending.awaited_reply);
                awaited.is_some_and(|awaited| awaited.owner == to)
            }
            GossipLine::GrantReply(_) => now - self.since < REPLY_EXPIRY_MS,
            _ => true,
        }
    }
}

impl GossipMessage {
    /// Whether its sender serves clients: it has had responses of servers lately, or asks for units of one.
    fn is_of_serving_limiter(&self) -> bool {
        let is_of_client = |line: &GossipLine| matches!(line, GossipLine::QuotaRequest(_));
        self.latency.is_some() || self.lines.iter().any(is_of_client)
    }
}

impl Limiter {
    /// Queues a line for a peer and sends what the allowance lets through; settles with itself without a
    /// message.
    pub(crate) fn send_gossip(&mut self, to: u32, line: GossipLine, out: &mut Vec<Action>) {
        if let (true, GossipLine::Settlement(settlement)) = (to == self.context.settings.position, line) {
            let key = GrantKey::local(&self.context, settlement.id);
            return self.owned_quotas.settle(&self.context, key, settlement);
        }
        self.gossip.push(self.context.now, to, line);
        self.flush_gossip(out);
    }

    /// Sends what the allowance lets through, in turn while all go soon: else the few peers of a small
    /// deployment would starve each other. Behind a longer queue each reply would come too late, be asked for
    /// again, and so lengthen it: then the newest go first.
    pub(crate) fn flush_gossip(&mut self, out: &mut Vec<Action>) {
        let Limiter { context, gossip, requests, .. } = self;
        let (now, incarnation) = (context.now, context.incarnation);
        let latency = self.admission.local_latency(now);
        let rate = context.settings.gossip_messages_per_s * ALLOWANCE_FRACTION;
        gossip.allowance.refill(now, rate, (rate * BURST_S).max(1.0));
        while gossip.allowance.level >= 1.0 {
            let is_long = gossip.waiting.len() as f64 > rate * BURST_S;
            let next = if is_long { gossip.waiting.pop_back() } else { gossip.waiting.pop_front() };
            let Some(WaitingMessage { to, lines }) = next else { return };
            let useful = lines.iter().filter(|waiting| waiting.is_useful(now, to, requests));
            let lines: Vec<GossipLine> = useful.map(|waiting| waiting.line).collect();
            if !lines.is_empty() {
                gossip.allowance.level -= 1.0;
                let body = GossipMessage { incarnation, latency, lines }.encode();
                out.push(Action::SendGossip { to, body });
            }
        }
        if !gossip.flush_scheduled && !gossip.waiting.is_empty() && rate > 0.0 {
            gossip.flush_scheduled = true;
            let min_ms = context.settings.event_interval_ms.max(MIN_FLUSH_MS);
            let after_ms = ((1.0 - gossip.allowance.level) * 1000.0 / rate).max(min_ms);
            out.push(Action::SetTimer { after_ms, token: TimerToken::GossipFlush });
        }
    }

    pub(crate) fn on_gossip(&mut self, from: u32, body: &[u8], out: &mut Vec<Action>) {
        let Context { settings, now, .. } = &self.context;
        if from >= settings.limiters || from == settings.position {
            return;
        }
        let Some(message) = GossipMessage::decode(body) else { return };
        self.has_serving_peer |= message.is_of_serving_limiter();
        self.member_quotas.gossip_received(from);
        if let Some(latency) = message.latency {
            self.admission.record_peer_latency(*now, latency);
        }
        for line in message.lines {
            self.on_gossip_line(from, message.incarnation, line, out);
        }
    }

    fn on_gossip_line(&mut self, from: u32, incarnation: u32, line: GossipLine, out: &mut Vec<Action>) {
        let key = |request| GrantKey { member: from, incarnation, request };
        match line {
            // After a stall the members that asked have gone on: a reply would only waste units.
            GossipLine::QuotaRequest(request) if self.resumed_at < self.context.now => {
                if let Some(reply) = self.owned_quotas.decide(&self.context, key(request.id), &request) {
                    self.send_gossip(from, GossipLine::GrantReply(reply), out);
                }
            }
            GossipLine::GrantReply(reply) if reply.member_incarnation == self.context.incarnation => {
                self.on_grant_reply(from, &reply, out);
            }
            GossipLine::Settlement(settlement) => {
                self.owned_quotas.settle(&self.context, key(settlement.id), settlement);
            }
            GossipLine::TombstonePoll => self.send_tombstones(from, out),
            GossipLine::Tombstone(fingerprint) if self.tombstones.discovery_lost => {
                self.on_tombstone(fingerprint);
            }
            _ => {}
        }
    }
}
