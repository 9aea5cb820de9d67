//! Grant replies from owners, and what happens when they do not arrive.

use crate::event::{Action, RequestId, TimerToken};
use crate::gossip::GrantReply;
use crate::limiter::Limiter;
use crate::request::AwaitedReply;

/// Number of quota requests that are sent to one owner for the same client request before the next owner is
/// asked.
const REQUESTS_PER_OWNER: u32 = 2;

impl Limiter {
    /// Handles an owner's reply, including a late reply from an owner that has been skipped since. If this
    /// limiter is the owner, `from` is its own position, and the reply was not sent as gossip.
    pub(crate) fn on_grant_reply(&mut self, from: u32, reply: &GrantReply, out: &mut Vec<Action>) {
        let now = self.context.now;
        self.member_quotas.record_reply(now, reply);
        let is_local = from == self.context.settings.position;
        let Some(pending) = self.requests.get_mut(reply.id) else { return };
        let is_undecided = pending.attempts == 0 && pending.granting_owner.is_none();
        let is_awaited = is_local || pending.awaited_reply.is_some();
        if !is_undecided || !is_awaited {
            return;
        }
        if let Some(awaited) = pending.awaited_reply.take() {
            if awaited.owner == from {
                self.member_quotas.reply_wait.record(now - awaited.requested_at);
            }
        }
        pending.admitted_at = now;
        pending.granting_owner = reply.granted.then_some(from);
        if reply.granted && !pending.grant_expired(&self.context) {
            self.forward_or_queue(reply.id, out);
        } else {
            self.reject_or_fail(reply.id, out);
        }
    }

    /// Handles the timer that checks for a late reply. Asks the same owner again, and afterwards the next
    /// owner: messages may be lost, and owners may be down, stalled or partitioned from this limiter.
    pub(crate) fn check_grant_reply(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let now = self.context.now;
        let Some(pending) = self.requests.get(id) else { return };
        let Some(AwaitedReply { owner, requested_at }) = pending.awaited_reply else { return };
        // Until the reply deadline, a quota request that is still in the local gossip queue is not treated as
        // a missed reply.
        let is_unsent =
            self.is_before_reply_deadline(pending) && self.gossip.has_unsent_quota_request(owner, id);
        let waiting_since = if is_unsent { now } else { requested_at };
        let late_after_ms = self.member_quotas.reply_wait.late_after_ms();
        // The usual wait may have grown since the timer was started. Without another timer a lost reply would
        // never be detected.
        if is_unsent || now - requested_at < late_after_ms {
            let after_ms = waiting_since + late_after_ms - now + self.context.settings.event_interval_ms;
            out.push(Action::SetTimer { after_ms, token: TimerToken::GrantReply(id) });
            return;
        }
        self.member_quotas.owner_health.record_miss(owner, now);
        self.requests.update(id, |pending| {
            pending.awaited_reply = None;
            if pending.quota_requests >= REQUESTS_PER_OWNER {
                pending.skip_owner();
            }
        });
        self.request_grant(id, out);
    }
}
