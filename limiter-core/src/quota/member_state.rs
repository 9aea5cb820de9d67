//! What a member remembers of its quotas, and of their owners.

use std::collections::BTreeMap;

use super::records::QuotaKey;
use crate::decay::DecayingMean;
use crate::event::{Millis, Request};
use crate::gossip::{GrantReply, QuotaRequest};
use crate::settings::Plan;
use crate::token_bucket::TokenBucket;

/// Milliseconds for which an owner's reply tells a member of the customer's demand.
pub(super) const REPLY_VALIDITY_MS: Millis = 4000.0;
/// The usual wait for a reply at the start, in milliseconds.
const INITIAL_REPLY_WAIT_MS: Millis = 40.0;
/// Milliseconds for which the fraction of grants is remembered: longer than owners are silent.
const GRANT_FRACTION_SPAN_MS: Millis = 60_000.0;

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
    pub estimated_owner_tokens: f64,
    /// Units shed since the last reply, which the owner does not know of.
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
            estimated_owner_tokens: plan.burst,
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

/// Quota requests that an owner left unanswered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnerMisses {
    /// How many in a row.
    pub count: u32,
    /// When the last was missed.
    pub last_at: Millis,
}

/// A member's decision without any owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LocalDecision {
    /// The request may be forwarded.
    Admit,
    /// It is rejected.
    Deny,
    /// Nothing is remembered of the quota: the request waits for its deadline.
    UnknownQuota,
}

impl LocalDecision {
    /// Admits or denies.
    pub(super) fn admit_if(admitted: bool) -> Self {
        if admitted {
            LocalDecision::Admit
        } else {
            LocalDecision::Deny
        }
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
    pub(super) unknown_customer_grant_fraction: DecayingMean,
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
            unknown_customer_grant_fraction: DecayingMean::new(now, GRANT_FRACTION_SPAN_MS),
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
            self.unknown_customer_grant_fraction.add(now, if reply.granted { 1.0 } else { 0.0 });
        }
        quota.demand_ratio = f64::from(reply.demand_ratio);
        quota.last_reply_at = now;
        quota.unreported_units = 0.0;
        quota.estimated_owner_tokens = f64::from(reply.tokens_left);
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
            quota.estimated_owner_tokens -= request.cost_units;
        }
    }
}
