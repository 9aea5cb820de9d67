//! The even share of a member: the quota divided by the number of members.

use super::{MemberQuota, MemberQuotas};
use crate::context::Context;
use crate::event::{Millis, Request};
use crate::quota::keys::QuotaKey;
use crate::settings::Plan;

/// Fraction of the quota's burst that must be left in the owner's bucket, according to the member's estimate,
/// for the member to spend units without asking. The estimate does not include the units that other members
/// spend at the same time; the remaining fraction is a reserve for them.
///
/// Owners other than the first grant from a bucket of half the burst. A reply from one of them therefore
/// usually stops the member from spending without asking, until the first owner replies again.
const MIN_OWNER_TOKENS_FRACTION: f64 = 0.5;

/// Rate and capacity of the token bucket for one member's even share.
#[derive(Debug, Clone, Copy)]
pub(super) struct EvenShare {
    /// Units per second.
    rate: f64,
    /// Capacity in units. May be less than the units of one request if there are many members.
    capacity: f64,
}

impl EvenShare {
    /// Returns one member's share of a quota of `rate` units per second and `capacity` units.
    pub fn new(rate: f64, capacity: f64, member_count: u32) -> Self {
        let fraction = f64::from(member_count).recip();
        EvenShare { rate: rate * fraction, capacity: capacity * fraction }
    }

    /// Returns one member's share of the rate quota of a plan.
    pub fn of_rate_quota(plan: &Plan, member_count: u32) -> Self {
        EvenShare::new(plan.rate, plan.burst, member_count)
    }

    /// Returns whether the capacity of the share is at least `units`.
    pub fn can_hold(&self, units: f64) -> bool {
        self.capacity >= units
    }
}

impl MemberQuota {
    /// Refills the bucket of the even share. A share that is smaller than a request still accumulates up to
    /// the units of the request, so that a member that decides without an owner admits a request from time to
    /// time.
    pub(super) fn refill_even_share(&mut self, now: Millis, share: EvenShare, request_units: f64) {
        self.even_share.refill(now, share.rate, share.capacity.max(request_units));
    }

    /// Returns whether the bucket of the even share is full once it is refilled.
    pub(super) fn is_even_share_full(&self, now: Millis, plan: &Plan) -> bool {
        let share = EvenShare::of_rate_quota(plan, self.member_count);
        let mut bucket = self.even_share;
        bucket.refill(now, share.rate, share.capacity);
        bucket.level >= share.capacity
    }
}

impl MemberQuotas {
    /// Refills the even share and returns whether a request may spend from it: the share covers the request,
    /// and enough tokens are left in the owner's bucket by the member's estimate. A share that is smaller
    /// than the request is never spent: the owner decides.
    pub(super) fn even_share_covers(&mut self, context: &Context, request: &Request) -> bool {
        let plan = context.plan(request);
        let units = request.cost_units;
        let Some(quota) = self.quotas.get_mut(&QuotaKey::of(request)) else { return false };
        let share = EvenShare::of_rate_quota(plan, request.member_count);
        quota.refill_even_share(context.now, share, units);
        let min_owner_tokens = plan.burst * MIN_OWNER_TOKENS_FRACTION;
        share.can_hold(units)
            && quota.even_share.level >= units
            && quota.estimated_owner_tokens - units >= min_owner_tokens
    }

    /// Spends the units of a request from the even share.
    pub(super) fn spend_even_share(&mut self, request: &Request) {
        if let Some(quota) = self.quotas.get_mut(&QuotaKey::of(request)) {
            quota.even_share.level -= request.cost_units;
            quota.estimated_owner_tokens -= request.cost_units;
        }
    }
}
