//! Sending of gossip: how many messages are sent, which lines are dropped as outdated, and when the next
//! flush is due.

use super::messages::{GossipLine, GossipMessage};
use super::queue::{QueuedLine, QueuedMessage};
use crate::event::{Action, Millis, TimerToken};
use crate::limiter::Limiter;
use crate::quota::GrantKey;
use crate::request::RequestTable;

/// Largest rate at which this limiter sends messages to all peers together, as a fraction of the rate at
/// which one limiter accepts messages.
const ALLOWANCE_FRACTION: f64 = 0.8;
/// Time in milliseconds after which a queued reply is dropped: the reply would arrive too late for the member
/// that requested the units.
const REPLY_EXPIRY_MS: Millis = 250.0;

impl QueuedLine {
    /// Returns whether the line is still of use to its receiver: a quota request while its reply is awaited
    /// from this receiver, a reply until it expires, and any other line always.
    fn is_useful(&self, now: Millis, to: u32, requests: &RequestTable) -> bool {
        match self.line {
            GossipLine::QuotaRequest(request) if !request.already_spent => {
                let awaited_reply = requests.get(request.id).and_then(|pending| pending.awaited_reply);
                awaited_reply.is_some_and(|awaited| awaited.owner == to)
            }
            GossipLine::GrantReply(_) => now - self.queued_at < REPLY_EXPIRY_MS,
            _ => true,
        }
    }
}

impl QueuedMessage {
    /// Returns the lines that are still of use.
    fn useful_lines(&self, now: Millis, requests: &RequestTable) -> Vec<GossipLine> {
        let useful = self.lines.iter().filter(|queued| queued.is_useful(now, self.to, requests));
        useful.map(|queued| queued.line).collect()
    }
}

impl Limiter {
    /// Queues a line for a peer and sends as many messages as the allowance permits. A settlement for this
    /// limiter itself takes effect immediately, without a message.
    pub(crate) fn send_gossip(&mut self, to: u32, line: GossipLine, out: &mut Vec<Action>) {
        if to == self.context.settings.position {
            if let GossipLine::Settlement(settlement) = line {
                let key = GrantKey::local(&self.context, settlement.id);
                self.owned_quotas.settle(&self.context, key, settlement);
                return;
            }
        }
        self.gossip.push(self.context.now, to, line);
        self.flush_gossip(out);
    }

    /// Sends as many queued messages as the allowance permits, and sets a timer for the rest. Drops lines
    /// that are no longer of use. A message of which no line is left is not sent and is not deducted from the
    /// allowance.
    pub(crate) fn flush_gossip(&mut self, out: &mut Vec<Action>) {
        let now = self.context.now;
        let rate = self.context.settings.gossip_messages_per_s * ALLOWANCE_FRACTION;
        let latency = self.admission.local_latency(now);
        self.gossip.refill_allowance(now, rate);
        while let Some(queued) = self.gossip.pop(rate) {
            let lines = queued.useful_lines(now, &self.requests);
            if lines.is_empty() {
                continue;
            }
            self.gossip.spend_allowance();
            let message = GossipMessage { incarnation: self.context.incarnation, latency, lines };
            out.push(Action::SendGossip { to: queued.to, body: message.encode() });
        }
        let next_flush = self.gossip.next_flush_delay_ms(rate, self.context.settings.event_interval_ms);
        if let Some(after_ms) = next_flush {
            self.gossip.flush_scheduled = true;
            out.push(Action::SetTimer { after_ms, token: TimerToken::GossipFlush });
        }
    }
}
