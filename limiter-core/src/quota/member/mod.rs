//! The member side of quotas: what this limiter knows about the quotas of the customers whose requests it
//! receives.

mod even_share;
mod fallback;
mod grant_replies;
mod grant_requests;
mod local_share;
mod owner_health;
mod reply_wait;
mod shedding;

use std::collections::BTreeMap;

use super::keys::QuotaKey;
use super::retention::{expire_quotas, RetainedQuota};
use crate::context::Context;
use crate::event::{Millis, Request};
use crate::gossip::{GrantReply, QuotaRequest};
use crate::settings::Plan;
use crate::token_bucket::TokenBucket;
use fallback::UnknownCustomerGrants;
use owner_health::OwnerHealth;
use reply_wait::ReplyWait;

/// Time in milliseconds for which the demand in an owner's reply is valid. Afterwards the member sheds no
/// requests of the customer until the next reply. That reply is recorded as one about an unknown customer,
/// see [`UnknownCustomerGrants`].
const REPLY_VALIDITY_MS: Millis = 4000.0;

/// The quotas of which this limiter is a member, and the state of their owners as seen by this limiter.
#[derive(Debug)]
pub(crate) struct MemberQuotas {
    quotas: BTreeMap<QuotaKey, MemberQuota>,
    owner_health: OwnerHealth,
    reply_wait: ReplyWait,
    unknown_customer_grants: UnknownCustomerGrants,
}

impl MemberQuotas {
    /// Creates the state of a member that knows no quota and has not asked any owner.
    pub fn new(now: Millis) -> Self {
        MemberQuotas {
            quotas: BTreeMap::new(),
            owner_health: OwnerHealth::new(),
            reply_wait: ReplyWait::new(),
            unknown_customer_grants: UnknownCustomerGrants::new(now),
        }
    }

    /// Returns the number of retained quotas.
    pub fn len(&self) -> usize {
        self.quotas.len()
    }

    /// Records that gossip from a peer has arrived: the peer is running and reachable.
    pub fn record_gossip(&mut self, from: u32) {
        self.owner_health.record_gossip(from);
    }

    /// Drops the quotas of customers that have not sent a request for their retention time, and others if
    /// there are too many.
    pub fn expire(&mut self, context: &Context) {
        expire_quotas(&mut self.quotas, context);
    }

    /// Returns the quota request for the units of a request. Includes the units that the member has shed
    /// since the last reply.
    fn quota_request(&self, request: &Request) -> QuotaRequest {
        let quota = self.quotas.get(&QuotaKey::of(request));
        QuotaRequest::new(request, quota.map_or(0.0, |quota| quota.unreported_units))
    }

    /// Records what an owner's reply says about the customer.
    fn record_reply(&mut self, now: Millis, reply: &GrantReply) {
        let Some(quota) = self.quotas.get_mut(&reply.quota_key()) else { return };
        if !quota.has_valid_reply(now) {
            self.unknown_customer_grants.record(now, reply.granted);
        }
        quota.demand_ratio = f64::from(reply.demand_ratio);
        quota.last_reply_at = now;
        quota.unreported_units = 0.0;
        quota.estimated_owner_tokens = f64::from(reply.tokens_left);
    }
}

/// What a member knows about one quota.
#[derive(Debug)]
struct MemberQuota {
    /// Number of members of the quota, according to the customer's first request.
    member_count: u32,
    /// Token bucket of the member's even share, in units.
    even_share: TokenBucket,
    /// The customer's demand at all limiters as a multiple of the quota, according to the last reply of any
    /// owner.
    demand_ratio: f64,
    /// Time of the last reply from an owner; negative infinity before the first.
    last_reply_at: Millis,
    /// Estimate of the units left in the owner's bucket: the level in the last reply of any owner, minus the
    /// units that this member has spent from its even share since. The bucket is assumed to be full until the
    /// first reply.
    estimated_owner_tokens: f64,
    /// Units shed since the last reply. Quota requests report these units as demand until the next reply.
    unreported_units: f64,
    /// Time of the customer's last request at this member.
    last_used_at: Millis,
}

impl MemberQuota {
    /// Creates a quota that no owner has replied about. The even share starts full, but is not rounded up to
    /// the units of a whole request: a hundred members would otherwise give the customer a hundred free
    /// requests.
    fn new(now: Millis, plan: &Plan, member_count: u32) -> Self {
        MemberQuota {
            member_count,
            even_share: TokenBucket::new(plan.burst / f64::from(member_count), now),
            demand_ratio: 0.0,
            last_reply_at: f64::NEG_INFINITY,
            estimated_owner_tokens: plan.burst,
            unreported_units: 0.0,
            last_used_at: now,
        }
    }

    /// Returns whether an owner has ever replied about this quota.
    fn has_reply(&self) -> bool {
        self.last_reply_at > f64::NEG_INFINITY
    }

    /// Returns whether the demand in the last reply is recent enough to decide by.
    fn has_valid_reply(&self, now: Millis) -> bool {
        now - self.last_reply_at <= REPLY_VALIDITY_MS
    }
}

impl RetainedQuota for MemberQuota {
    fn last_used_at(&self) -> Millis {
        self.last_used_at
    }

    /// A quota differs from a new one if a part of the even share is spent, units are to be reported, or
    /// requests may be shed.
    fn differs_from_new(&self, now: Millis, plan: &Plan) -> bool {
        let is_shedding = self.has_valid_reply(now) && self.demand_ratio > 1.0;
        let has_spent_share = !self.is_even_share_full(now, plan);
        has_spent_share || is_shedding || self.unreported_units > 0.0
    }
}
