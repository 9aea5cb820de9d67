//! The owner side of quotas: decisions on quota requests, and settlements of the actual cost.

mod bucket;
mod expiry;
mod grants;

use std::collections::BTreeMap;

use super::keys::{GrantKey, QuotaKey};
use super::placement::{owner_of, CEILING_FRACTIONS};
use crate::context::Context;
use crate::gossip::{GrantReply, QuotaRequest, Settlement};
use bucket::{OwnerFractions, OwnerQuota};
use grants::Decision;
pub(crate) use grants::GRANT_VALIDITY_MS;

/// The quotas that this limiter owns, and its recent decisions on them.
#[derive(Debug, Default)]
pub(crate) struct OwnedQuotas {
    quotas: BTreeMap<QuotaKey, OwnerQuota>,
    decisions: BTreeMap<GrantKey, Decision>,
}

/// Number of records that an owner holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OwnedQuotaCounts {
    /// Number of quotas.
    pub quotas: usize,
    /// Number of recent decisions, grants and denials alike.
    pub decisions: usize,
}

impl OwnedQuotas {
    /// Returns the number of records that this owner holds.
    pub fn counts(&self) -> OwnedQuotaCounts {
        OwnedQuotaCounts { quotas: self.quotas.len(), decisions: self.decisions.len() }
    }

    /// Forgets the decision on a request, so that a repeated request is decided on anew.
    pub fn forget_decision(&mut self, key: GrantKey) {
        self.decisions.remove(&key);
    }

    /// Decides on a quota request and returns the reply. The reply to a duplicate contains the same decision,
    /// with the current demand and tokens. Returns `None` if this limiter does not own the quota or the plan
    /// is unknown.
    pub fn decide(&mut self, context: &Context, key: GrantKey, request: &QuotaRequest) -> Option<GrantReply> {
        let plan = context.settings.plans.get(request.quota_key().plan)?;
        let rank = owner_rank(context, request)?;
        let fractions = OwnerFractions::of_rank(rank);
        let quota = self
            .quotas
            .entry(request.quota_key())
            .or_insert_with(|| OwnerQuota::new(context, plan, fractions));
        quota.last_used_at = context.now;
        let decision = self.decisions.entry(key).or_insert_with(|| {
            quota.refill(context.now, plan);
            quota.record_demand(context.now, request);
            quota.decide(context.now, plan, request)
        });
        Some(GrantReply {
            id: request.id,
            customer: request.customer,
            plan: request.plan,
            member_incarnation: key.incarnation,
            granted: decision.grant.is_some(),
            demand_ratio: quota.demand_ratio(context.now, plan) as f32,
            tokens_left: quota.rate_bucket.level.max(0.0) as f32,
        })
    }

    /// Settles a grant whose request has finished: the request is no longer in flight, and the bucket of the
    /// rate quota is corrected by the difference between the actual and the granted units. Ignores unknown
    /// and settled grants.
    ///
    /// Units beyond the grant are deducted up to one burst only: a single wrong report must not deny the
    /// customer its quota for long.
    pub fn settle(&mut self, context: &Context, key: GrantKey, settlement: Settlement) {
        let Some(decision) = self.decisions.get_mut(&key) else { return };
        let Some(grant) = decision.grant.as_mut().filter(|grant| !grant.is_settled) else { return };
        let Some(quota) = self.quotas.get_mut(&decision.quota_key) else { return };
        grant.is_settled = true;
        quota.release_in_flight(grant);
        let max_units = grant.units + context.settings.plans[decision.quota_key.plan].burst;
        quota.rate_bucket.level -= f64::from(settlement.used_units).min(max_units) - grant.units;
    }
}

/// Returns this limiter's rank among the owners of the requested quota, or `None` if this limiter is not
/// an owner.
fn owner_rank(context: &Context, request: &QuotaRequest) -> Option<usize> {
    let settings = &context.settings;
    let is_local = |rank: &usize| {
        let owner = owner_of(request.customer, request.members(), settings.limiters, *rank as u32);
        owner == Some(settings.position)
    };
    (0..CEILING_FRACTIONS.len()).find(is_local)
}
