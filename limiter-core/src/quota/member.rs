//! The member of a quota: its even share, probabilistic shedding, grant requests, decisions without an owner.

use super::member_state::{LocalDecision, MemberQuota, MemberQuotas, REPLY_VALIDITY_MS};
use super::owner::retention_ms;
use super::placement;
use super::records::{GrantKey, MemberRange, QuotaKey};
use crate::context::Context;
use crate::event::{Action, Millis, Request, RequestId, TimerToken};
use crate::gossip::{GossipLine, GrantReply, QuotaRequest};
use crate::limiter::Limiter;
use crate::request::{AwaitedReply, PendingRequest};

/// Fraction of the quota's bucket that must be left, as far as a member knows, to spend without asking.
const MIN_OWNER_TOKENS_FRACTION: f64 = 0.5;
/// A member lets this multiple of the quota pass to the owner, whose bucket decides exactly.
const SHEDDING_DEMAND_FACTOR: f64 = 1.5;
/// Quota requests to one owner before the next is asked.
const REQUESTS_PER_OWNER: u32 = 2;
/// Consecutive quota requests without a reply after which an owner counts as silent.
const SILENT_OWNER_MISSES: u32 = 3;
/// Milliseconds for which a silent owner is not asked.
const SILENT_OWNER_MS: Millis = 1000.0;
/// Quota requests without a reply, with no gossip since, after which all owners count as silent.
const ALL_SILENT_MISSES: u32 = 12;
/// While all owners count as silent, one quota request is sent in so many milliseconds.
const ALL_SILENT_REQUEST_MS: Millis = 250.0;
/// A reply is late after this multiple of the usual wait.
const LATE_REPLY_FACTOR: f64 = 2.5;
/// Weight of the newest wait in the usual one.
const REPLY_WAIT_WEIGHT: f64 = 0.1;
/// Event intervals that a reply may take beyond the usual wait: one at each end.
const REPLY_INTERVALS: f64 = 2.0;
/// Fraction of the latency objective in which owners are asked; then the even share decides.
const REPLY_DEADLINE_FRACTION: f64 = 0.4;

impl MemberQuotas {
    /// Forgets customers not seen for long.
    pub fn expire(&mut self, context: &Context) {
        let count = self.quotas.len();
        self.quotas
            .retain(|key, quota| context.now - quota.last_used_at < retention_ms(context, *key, count));
    }

    /// Sheds requests at random in proportion to the excess of demand over the quota. It also keeps a flood
    /// of quota requests from the owner. Units shed are reported with the next quota request.
    pub fn shed_probabilistically(&mut self, context: &mut Context, request: &Request) -> bool {
        let draw = context.rng.f64();
        let (now, plan) = (context.now, context.plan(request));
        let quota = self
            .quotas
            .entry(QuotaKey::of(request))
            .or_insert_with(|| MemberQuota::new(now, plan, request.member_count));
        quota.last_used_at = now;
        if now - quota.last_reply_at > REPLY_VALIDITY_MS {
            quota.unreported_units = 0.0;
            return false;
        }
        let sheds = draw < 1.0 - SHEDDING_DEMAND_FACTOR / quota.demand_ratio.max(1e-9);
        if sheds {
            quota.unreported_units += request.cost_units;
        }
        sheds
    }

    fn is_silent(&self, owner: u32, now: Millis) -> bool {
        let none_answers = self.misses_since_gossip >= ALL_SILENT_MISSES;
        let asked_now = now - self.last_request_at < ALL_SILENT_REQUEST_MS;
        let misses = self.owner_misses.get(&owner).filter(|misses| misses.count >= SILENT_OWNER_MISSES);
        (none_answers && asked_now) || misses.is_some_and(|misses| now - misses.last_at < SILENT_OWNER_MS)
    }

    /// Whether a request fits into the even share while the owner's bucket has room. A share that is smaller
    /// than the request is never spent locally: the owner decides.
    fn even_share_covers(&mut self, context: &Context, request: &Request) -> bool {
        let (plan, units) = (context.plan(request), request.cost_units);
        let Some(quota) = self.quotas.get_mut(&QuotaKey::of(request)) else { return false };
        let holds_request = quota.refill_even_share(context.now, plan.rate, plan.burst, request);
        let owner_has_room = quota.estimated_owner_tokens - units >= plan.burst * MIN_OWNER_TOKENS_FRACTION;
        holds_request && quota.even_share.level >= units && owner_has_room
    }

    /// Decides by the even share of the rate, or of the attempts in flight within one objective. Where the
    /// share holds no whole request, what it holds is the least chance of one: all members together then
    /// spend the quota, if the demand is far above it. A reply says more: the chance by which the demand
    /// stays within the quota, or for an unknown customer, the fraction of such requests granted before.
    /// Owners alone hold ceilings.
    fn decide_without_owner(&mut self, context: &mut Context, request: &Request) -> LocalDecision {
        let key = QuotaKey::of(request);
        let Some(quota) = self.quotas.get_mut(&key) else { return LocalDecision::UnknownQuota };
        let (now, units, plan) = (context.now, request.cost_units, &context.settings.plans[request.plan]);
        let capacity = if plan.rate > 0.0 { plan.burst } else { f64::from(plan.max_in_flight) * units };
        let objective_s = context.settings.classes[request.class].latency_objective_ms / 1000.0;
        let rate = if plan.rate > 0.0 { plan.rate } else { capacity / objective_s };
        let holds_request = quota.refill_even_share(now, rate, capacity, request);
        let is_known = quota.last_reply_at > f64::NEG_INFINITY;
        let by_reply = is_known.then(|| quota.demand_ratio.max(1.0).recip());
        let usual = by_reply.or(self.unknown_customer_grant_fraction.value(now)).unwrap_or(0.0);
        let chance = if holds_request { 0.0 } else { (quota.even_share.level / units).max(usual) };
        let admitted = quota.even_share.level >= units || context.rng.f64() < chance;
        if admitted || chance > 0.0 {
            quota.even_share.level = (quota.even_share.level - units).max(0.0);
        }
        LocalDecision::admit_if(admitted && !plan.has_ceiling())
    }
}

impl Limiter {
    /// Spends from the share held here while the first owner's bucket has room, and notifies it: to wait for
    /// its reply would only cost time. Under a ceiling the part owned here must have room too.
    pub(crate) fn spend_local_share(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id).map(|pending| pending.request.clone()) else { return };
        let (position, plan) = (self.context.settings.position, self.context.plan(&request));
        let owner = self.owner_of(&request, 0).filter(|owner| *owner != position);
        let has_ceiling = plan.has_ceiling();
        let Some(owner) = owner.filter(|_| self.context.settings.can_gossip && plan.max_in_flight == 0)
        else {
            return self.request_grant(id, out);
        };
        let covered = self.member_quotas.even_share_covers(&self.context, &request);
        let quota_request = self.member_quotas.quota_request(&request);
        let key = GrantKey::local(&self.context, id);
        let mut decide_here = || self.owned_quotas.decide(&self.context, key, &quota_request);
        if !covered || (has_ceiling && !decide_here().is_some_and(|reply| reply.granted)) {
            // Not granted here: if the first owner is silent, this limiter is asked again as the next one.
            self.owned_quotas.forget_grant(key);
            return self.request_grant(id, out);
        }
        self.member_quotas.spend_even_share(&request);
        self.requests.update(id, |pending| pending.granting_owner = Some(owner));
        let spent = QuotaRequest { already_spent: true, ..quota_request };
        self.send_gossip(owner, GossipLine::QuotaRequest(spent), out);
        self.forward_or_queue(id, out);
    }

    fn owner_of(&self, request: &Request, rank: u32) -> Option<u32> {
        placement::owner_of(request.customer, MemberRange::of(request), self.context.settings.limiters, rank)
    }

    /// Asks the first owner that is not silent; where none is left, decides without.
    fn request_grant(&mut self, id: RequestId, out: &mut Vec<Action>) {
        while let Some(pending) = self.requests.get(id) {
            let (now, request) = (self.context.now, &pending.request);
            let in_time = now - pending.arrived_at < self.reply_deadline_ms(request);
            let Some(owner) = self.owner_of(request, pending.owner_rank).filter(|_| in_time) else {
                return self.admit_without_owner(id, out);
            };
            let quota_request = self.member_quotas.quota_request(request);
            if owner == self.context.settings.position {
                let key = GrantKey::local(&self.context, id);
                if let Some(reply) = self.owned_quotas.decide(&self.context, key, &quota_request) {
                    return self.on_grant_reply(owner, &reply, out);
                }
            } else if self.context.settings.can_gossip && !self.member_quotas.is_silent(owner, now) {
                return self.send_quota_request(owner, quota_request, out);
            }
            self.requests.update(id, PendingRequest::skip_owner);
        }
    }

    fn reply_deadline_ms(&self, request: &Request) -> Millis {
        REPLY_DEADLINE_FRACTION * self.context.class(request).latency_objective_ms
    }

    fn send_quota_request(&mut self, owner: u32, quota_request: QuotaRequest, out: &mut Vec<Action>) {
        let (now, id) = (self.context.now, quota_request.id);
        self.member_quotas.last_request_at = now;
        self.requests.update(id, |pending| pending.await_reply(AwaitedReply { owner, asked_at: now }));
        let transfer_ms = REPLY_INTERVALS * self.context.settings.event_interval_ms;
        let after_ms = self.member_quotas.usual_reply_wait_ms * LATE_REPLY_FACTOR + transfer_ms;
        out.push(Action::SetTimer { after_ms, token: TimerToken::GrantReply(id) });
        self.send_gossip(owner, GossipLine::QuotaRequest(quota_request), out);
    }

    /// Asks again, then the next owner: messages get lost, and owners may be dead, stalled or cut off.
    pub(crate) fn check_grant_reply(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let (now, late_ms) = (self.context.now, self.member_quotas.usual_reply_wait_ms * LATE_REPLY_FACTOR);
        let Some(pending) = self.requests.get(id) else { return };
        let Some(AwaitedReply { owner, asked_at }) = pending.awaited_reply else { return };
        let in_time = now - pending.arrived_at < self.reply_deadline_ms(&pending.request);
        // Not sent yet: it is this limiter that is late.
        let is_unsent = in_time && self.gossip.has_unsent_quota_request(owner, id);
        // The usual wait has grown since: without another check a lost reply would never be missed.
        if is_unsent || now - asked_at < late_ms {
            let since = if is_unsent { now } else { asked_at };
            let after_ms = since + late_ms - now + self.context.settings.event_interval_ms;
            return out.push(Action::SetTimer { after_ms, token: TimerToken::GrantReply(id) });
        }
        self.member_quotas.record_miss(owner, now);
        self.requests.update(id, |pending| {
            pending.awaited_reply = None;
            if pending.quota_requests >= REQUESTS_PER_OWNER {
                pending.skip_owner();
            }
        });
        self.request_grant(id, out);
    }

    /// Handles an owner's reply.
    pub(crate) fn on_grant_reply(&mut self, from: u32, reply: &GrantReply, out: &mut Vec<Action>) {
        let now = self.context.now;
        self.member_quotas.record_reply(now, reply);
        let is_own = from == self.context.settings.position;
        let waits = |pending: &&mut PendingRequest| {
            let asked = is_own || pending.awaited_reply.is_some();
            pending.attempts == 0 && pending.granting_owner.is_none() && asked
        };
        let Some(pending) = self.requests.get_mut(reply.id).filter(waits) else { return };
        if let Some(awaited) = pending.awaited_reply.take().filter(|awaited| awaited.owner == from) {
            let wait_ms = now - awaited.asked_at;
            self.member_quotas.usual_reply_wait_ms +=
                REPLY_WAIT_WEIGHT * (wait_ms - self.member_quotas.usual_reply_wait_ms);
        }
        pending.admitted_at = now;
        pending.granting_owner = reply.granted.then_some(from);
        if !reply.granted || pending.grant_expired(&self.context) {
            self.reject_or_fail(reply.id, out);
        } else {
            self.forward_or_queue(reply.id, out);
        }
    }

    fn admit_without_owner(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.pending.get_mut(&id) else { return };
        match self.member_quotas.decide_without_owner(&mut self.context, &pending.request) {
            LocalDecision::Admit => {}
            LocalDecision::Deny => return self.reject_or_fail(id, out),
            LocalDecision::UnknownQuota => return,
        }
        pending.admitted_at = self.context.now;
        self.forward_or_queue(id, out);
    }
}
