//! Quota requests to owners: which owner is asked, and when.

use crate::event::{Action, Request, RequestId, TimerToken};
use crate::gossip::{GossipLine, QuotaRequest};
use crate::limiter::Limiter;
use crate::quota::keys::GrantKey;
use crate::quota::placement::{self, MemberRange};
use crate::request::{AwaitedReply, PendingRequest};

/// Number of event intervals added to the time after which a reply is late: the owner receives the quota
/// request up to one interval late, and the member receives the reply up to one interval late.
const DELIVERY_DELAY_INTERVALS: f64 = 2.0;
/// Fraction of the latency objective, from the arrival of a request, within which owners are asked.
/// Afterwards the even share decides, so that the rest of the objective is left to execute the request.
const REPLY_DEADLINE_FRACTION: f64 = 0.4;

impl Limiter {
    /// Returns the position of an owner of the request's quota, by the owner's rank.
    pub(super) fn owner_of(&self, request: &Request, rank: u32) -> Option<u32> {
        let limiters = self.context.settings.limiters;
        placement::owner_of(request.customer, MemberRange::of(request), limiters, rank)
    }

    /// Requests the units of a request from the next owner in rank that is not silent. Decides without an
    /// owner if no owner remains or the time for asking owners has passed.
    pub(super) fn request_grant(&mut self, id: RequestId, out: &mut Vec<Action>) {
        while let Some(pending) = self.requests.get(id) {
            let owner = self.owner_of(&pending.request, pending.owner_rank);
            let Some(owner) = owner.filter(|_| self.is_before_reply_deadline(pending)) else {
                return self.admit_or_reject_without_owner(id, out);
            };
            let quota_request = self.member_quotas.quota_request(&pending.request);
            if owner == self.context.settings.position {
                let key = GrantKey::local(&self.context, id);
                if let Some(reply) = self.owned_quotas.decide(&self.context, key, &quota_request) {
                    return self.on_grant_reply(owner, &reply, out);
                }
            } else if self.may_ask(owner) {
                return self.send_quota_request(owner, quota_request, out);
            }
            self.requests.update(id, PendingRequest::skip_owner);
        }
    }

    /// Returns whether a request may still wait for an owner's reply.
    pub(super) fn is_before_reply_deadline(&self, pending: &PendingRequest) -> bool {
        let objective_ms = self.context.class(&pending.request).latency_objective_ms;
        self.context.now - pending.arrived_at < REPLY_DEADLINE_FRACTION * objective_ms
    }

    /// Returns whether a quota request may be sent to a peer now.
    fn may_ask(&self, owner: u32) -> bool {
        let is_silent = self.member_quotas.owner_health.is_silent(owner, self.context.now);
        self.context.settings.can_gossip && !is_silent
    }

    /// Sends a quota request to a peer and starts the timer that checks for a late reply.
    fn send_quota_request(&mut self, owner: u32, quota_request: QuotaRequest, out: &mut Vec<Action>) {
        let now = self.context.now;
        let id = quota_request.id;
        self.member_quotas.owner_health.record_request(now);
        self.requests
            .update(id, |pending| pending.record_quota_request(AwaitedReply { owner, requested_at: now }));
        let delivery_delay_ms = DELIVERY_DELAY_INTERVALS * self.context.settings.event_interval_ms;
        let after_ms = self.member_quotas.reply_wait.late_after_ms() + delivery_delay_ms;
        out.push(Action::SetTimer { after_ms, token: TimerToken::GrantReply(id) });
        self.send_gossip(owner, GossipLine::QuotaRequest(quota_request), out);
    }
}
