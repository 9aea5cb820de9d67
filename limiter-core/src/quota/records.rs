//! Records of the members and the owners of quotas.

use std::collections::BTreeMap;

use super::member::{GRANT_FRACTION_MS, INITIAL_REPLY_WAIT_MS, REPLY_VALIDITY_MS};
use super::owner::{GRANT_MS, MAX_DEMAND_SPAN_MS, MIN_ADMITTED_RATE, MIN_DEMAND_SPAN_MS};
use crate::context::Context;
use crate::decay::{DecayingMean, DecayingSum};
use crate::event::{CustomerId, Millis, Request, RequestId};
use crate::gossip::codec::{GrantReply, QuotaRequest};
use crate::settings::Plan;
use crate::token_bucket::TokenBucket;

/// Whose quota it is: a customer on another plan, or an id that was given to another customer since, has a
/// quota of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QuotaKey {
    /// The customer.
    pub customer: CustomerId,
    /// Index of its plan in the settings.
    pub plan: usize,
}

impl QuotaKey {
    /// The quota that a request counts against.
    pub fn of(request: &Request) -> Self {
        QuotaKey { customer: request.customer, plan: request.plan }
    }
}

/// The limiters that receive a customer's requests: so many from a position on, in a ring.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemberRange {
    /// Position of the first.
    pub first: u32,
    /// How many.
    pub count: u32,
}

impl MemberRange {
    /// The members for a request's customer.
    pub fn of(request: &Request) -> Self {
        MemberRange { first: request.first_member, count: request.member_count }
    }
}

/// What a member remembers of a quota.
#[derive(Debug)]
pub(crate) struct MemberQuota {
    /// The member's even share, for the time without an owner.
    pub even_share: TokenBucket,
    /// Demand at all limiters as a multiple of the quota, as an owner replied.
    pub demand_ratio: f64,
    /// When an owner last replied.
    pub last_reply_at: Millis,
    /// Units in the owner's bucket by its last reply, less what was spent here since; full until a reply
    /// comes.
    pub owner_tokens: f64,
    /// Units shed since the last reply, which the owner has not been told of.
    pub unreported_units: f64,
    /// When the customer was last seen.
    pub last_used_at: Millis,
}

impl MemberQuota {
    /// A quota of which nothing is known. The even share is not rounded up to a whole request's units: each
    /// of a hundred members would give them away once more.
    pub(super) fn new(now: Millis, plan: &Plan, member_count: u32) -> Self {
        MemberQuota {
            even_share: TokenBucket::new(plan.burst / f64::from(member_count), now),
            demand_ratio: 0.0,
            last_reply_at: f64::NEG_INFINITY,
            owner_tokens: plan.burst,
            unreported_units: 0.0,
            last_used_at: now,
        }
    }

    /// Refills the even share of `rate` and `capacity`; whether the share can hold the units of the request.
    pub(super) fn refill_even_share(
        &mut self,
        now: Millis,
        rate: f64,
        capacity: f64,
        request: &Request,
    ) -> bool {
        let fraction = f64::from(request.member_count).recip();
        let share = capacity * fraction;
        self.even_share.refill(now, rate * fraction, share.max(request.cost_units));
        share >= request.cost_units
    }
}

/// What an owner keeps of a quota.
#[derive(Debug)]
pub(crate) struct OwnerQuota {
    /// Fraction of the ceiling that this owner holds.
    pub ceiling_fraction: f64,
    /// The bucket of the quota.
    pub tokens: TokenBucket,
    /// The bucket of the ceiling.
    pub ceiling: TokenBucket,
    /// Units granted under the ceiling that a member may still spend.
    pub outstanding_units: f64,
    /// Requests granted and not settled.
    pub in_flight: u32,
    /// Units asked for.
    pub demand: DecayingSum,
    /// Units granted.
    pub admitted: DecayingSum,
    /// When the customer was last seen.
    pub last_used_at: Millis,
}

/// Identifies a member's request at the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GrantKey {
    /// Position of the member.
    pub member: u32,
    /// The member's start.
    pub incarnation: u32,
    /// The member's request.
    pub request: RequestId,
}

impl GrantKey {
    /// A request of this limiter's own.
    pub(crate) fn own(context: &Context, request: RequestId) -> Self {
        GrantKey { member: context.settings.position, incarnation: context.incarnation, request }
    }
}

/// What an owner decided, kept for duplicates of the request and for its settlement.
#[derive(Debug)]
pub(crate) struct GrantRecord {
    /// The quota asked for.
    pub quota: QuotaKey,
    /// When it was decided.
    pub decided_at: Millis,
    /// Units asked for.
    pub units: f64,
    /// Whether they were granted.
    pub granted: bool,
    /// The units count as outstanding under the ceiling.
    pub is_outstanding: bool,
    /// The request counts as in flight.
    pub is_in_flight: bool,
    /// Nothing is left to settle.
    pub is_settled: bool,
}

/// Quota requests that an owner left unanswered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnerMisses {
    /// How many in a row.
    pub count: u32,
    /// When the last was missed.
    pub last_at: Millis,
}

impl QuotaRequest {
    /// Asks for the units of a request; `unreported_units` were shed since the last reply.
    pub(crate) fn new(request: &Request, unreported_units: f64) -> Self {
        QuotaRequest {
            id: request.id,
            customer: request.customer,
            plan: request.plan as u8,
            first_member: request.first_member as u16,
            member_count: request.member_count as u16,
            units: request.cost_units as f32,
            unreported_units: unreported_units as f32,
            already_spent: false,
        }
    }

    /// The owner's reply to it.
    pub(crate) fn reply(
        &self,
        member_incarnation: u32,
        granted: bool,
        demand_ratio: f64,
        tokens_left: f64,
    ) -> GrantReply {
        GrantReply {
            id: self.id,
            customer: self.customer,
            plan: self.plan,
            member_incarnation,
            granted,
            demand_ratio: demand_ratio as f32,
            tokens_left: tokens_left.max(0.0) as f32,
        }
    }

    /// The quota asked for.
    pub(crate) fn quota(&self) -> QuotaKey {
        QuotaKey { customer: self.customer, plan: usize::from(self.plan) }
    }

    /// The members of the quota.
    pub(crate) fn members(&self) -> MemberRange {
        MemberRange { first: self.first_member.into(), count: self.member_count.into() }
    }
}

impl GrantReply {
    /// The quota that was asked for.
    pub(crate) fn quota(&self) -> QuotaKey {
        QuotaKey { customer: self.customer, plan: usize::from(self.plan) }
    }
}

/// What this limiter knows of the quotas of which it is a member, and of their owners.
#[derive(Debug)]
pub(crate) struct MemberQuotas {
    /// The quotas.
    pub(super) quotas: BTreeMap<QuotaKey, MemberQuota>,
    /// Owners that have not answered.
    pub(super) owner_misses: BTreeMap<u32, OwnerMisses>,
    /// Quota requests missed at any owner since gossip was last received.
    pub(super) misses_since_gossip: u32,
    /// When an owner was last asked.
    pub(super) last_request_at: Millis,
    /// Fraction of the requests of customers without a valid reply that were granted.
    pub(super) unknown_customer_grants: DecayingMean,
    /// Smoothed time from a quota request to its reply.
    pub(super) usual_reply_wait_ms: Millis,
}

impl MemberQuotas {
    /// Nothing is known yet.
    pub fn new(now: Millis) -> Self {
        MemberQuotas {
            quotas: BTreeMap::new(),
            owner_misses: BTreeMap::new(),
            misses_since_gossip: 0,
            last_request_at: f64::NEG_INFINITY,
            unknown_customer_grants: DecayingMean::new(now, GRANT_FRACTION_MS),
            usual_reply_wait_ms: INITIAL_REPLY_WAIT_MS,
        }
    }

    /// Quotas remembered.
    pub fn len(&self) -> usize {
        self.quotas.len()
    }

    /// A peer has been heard.
    pub fn gossip_received(&mut self, from: u32) {
        self.owner_misses.remove(&from);
        self.misses_since_gossip = 0;
    }

    /// The quota request for a request.
    pub(super) fn quota_request(&self, request: &Request) -> QuotaRequest {
        let quota = self.quotas.get(&QuotaKey::of(request));
        QuotaRequest::new(request, quota.map_or(0.0, |quota| quota.unreported_units))
    }

    /// An owner has replied.
    pub(super) fn record_reply(&mut self, now: Millis, reply: &GrantReply) {
        let Some(quota) = self.quotas.get_mut(&reply.quota()) else { return };
        if now - quota.last_reply_at > REPLY_VALIDITY_MS {
            self.unknown_customer_grants.add(now, if reply.granted { 1.0 } else { 0.0 });
        }
        quota.demand_ratio = f64::from(reply.demand_ratio);
        quota.last_reply_at = now;
        quota.unreported_units = 0.0;
        quota.owner_tokens = f64::from(reply.tokens_left);
    }

    /// An owner has not replied in time.
    pub(super) fn record_miss(&mut self, owner: u32, now: Millis) {
        self.misses_since_gossip += 1;
        let count = self.owner_misses.get(&owner).map_or(0, |misses| misses.count) + 1;
        self.owner_misses.insert(owner, OwnerMisses { count, last_at: now });
    }

    /// A request is paid for by the even share.
    pub(super) fn spend_even_share(&mut self, request: &Request) {
        if let Some(quota) = self.quotas.get_mut(&QuotaKey::of(request)) {
            quota.even_share.level -= request.cost_units;
            quota.owner_tokens -= request.cost_units;
        }
    }
}

/// The quotas that this limiter owns.
#[derive(Debug, Default)]
pub(crate) struct OwnedQuotas {
    /// The quotas.
    pub(super) quotas: BTreeMap<QuotaKey, OwnerQuota>,
    /// Recent decisions.
    pub(super) grants: BTreeMap<GrantKey, GrantRecord>,
}

impl OwnedQuotas {
    /// Quotas owned, and decisions remembered.
    pub fn sizes(&self) -> (usize, usize) {
        (self.quotas.len(), self.grants.len())
    }

    /// Forgets a decision.
    pub fn forget_grant(&mut self, key: GrantKey) {
        self.grants.remove(&key);
    }
}

impl OwnerQuota {
    /// A quota of which nothing is spent. Its ceiling starts as if spent, and fills only once all that an
    /// earlier start of this limiter may have granted has expired.
    pub(super) fn new(context: &Context, plan: &Plan, tokens_fraction: f64, ceiling_fraction: f64) -> Self {
        let now = context.now;
        let ceiling_fills_at = context.started_at + GRANT_MS;
        let burst_ms = 1000.0 * plan.burst / plan.rate.max(1e-9);
        let demand = DecayingSum::new(now, burst_ms.clamp(MIN_DEMAND_SPAN_MS, MAX_DEMAND_SPAN_MS));
        OwnerQuota {
            ceiling_fraction,
            tokens: TokenBucket::new(plan.burst * tokens_fraction, now),
            ceiling: TokenBucket::new(-plan.ceiling_slack * ceiling_fraction, ceiling_fills_at),
            outstanding_units: 0.0,
            in_flight: 0,
            demand,
            admitted: demand,
            last_used_at: now,
        }
    }

    /// Refills the buckets; the quota's by a fraction of the plan's rate and burst.
    pub(super) fn refill(&mut self, now: Millis, plan: &Plan, tokens_fraction: f64) {
        self.tokens.refill(now, plan.rate * tokens_fraction, plan.burst * tokens_fraction);
        let ceiling_capacity = plan.ceiling_burst * self.ceiling_fraction - self.outstanding_units;
        self.ceiling.refill(now, plan.ceiling_rate * self.ceiling_fraction, ceiling_capacity);
    }

    /// Demand as a multiple of the quota; of what was admitted where the quota on attempts in flight is full.
    pub(super) fn demand_ratio(&self, now: Millis, plan: &Plan) -> f64 {
        let is_full = plan.max_in_flight > 0 && self.in_flight >= plan.max_in_flight;
        let quota = if is_full {
            self.admitted.rate(now).max(MIN_ADMITTED_RATE)
        } else if plan.rate > 0.0 {
            plan.rate
        } else {
            f64::INFINITY
        };
        self.demand.rate(now) / quota
    }

    /// The units of a grant cannot be spent any more.
    pub(super) fn end_outstanding(&mut self, grant: &mut GrantRecord) {
        if std::mem::take(&mut grant.is_outstanding) {
            self.outstanding_units = (self.outstanding_units - grant.units).max(0.0);
        }
    }

    /// The request of a grant is in flight no more.
    pub(super) fn end_in_flight(&mut self, grant: &mut GrantRecord) {
        if std::mem::take(&mut grant.is_in_flight) {
            self.in_flight = self.in_flight.saturating_sub(1);
        }
    }
}
