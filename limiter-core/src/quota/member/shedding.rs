//! Probabilistic shedding: a member rejects requests of a customer whose demand is far above its quota.

use super::{MemberQuota, MemberQuotas};
use crate::context::Context;
use crate::event::Request;
use crate::quota::keys::QuotaKey;

/// Multiple of the quota to which the members reduce the demand that reaches the owner. The factor is above
/// one because shedding is random and the demand ratio is an estimate; the owner's bucket decides exactly on
/// the remaining requests.
const SHEDDING_DEMAND_FACTOR: f64 = 1.5;
/// Lower bound of the demand ratio, which prevents a division by zero.
const MIN_DEMAND_RATIO: f64 = 1e-9;

impl MemberQuotas {
    /// Returns whether a request is shed. Requests are shed at random, with the probability that reduces the
    /// demand to [`SHEDDING_DEMAND_FACTOR`] times the quota: a flood of requests must not become a flood of
    /// quota requests at the owner. The units shed are reported with the next quota request.
    ///
    /// Draws one random number per call, regardless of the decision, and records the use of the quota.
    pub fn shed_probabilistically(&mut self, context: &mut Context, request: &Request) -> bool {
        let draw = context.rng.f64();
        let now = context.now;
        let plan = context.plan(request);
        let quota = self
            .quotas
            .entry(QuotaKey::of(request))
            .or_insert_with(|| MemberQuota::new(now, plan, request.member_count));
        quota.last_used_at = now;
        if !quota.has_valid_reply(now) {
            // Units that were shed so long ago are not part of the current demand.
            quota.unreported_units = 0.0;
            return false;
        }
        let shed_probability = 1.0 - SHEDDING_DEMAND_FACTOR / quota.demand_ratio.max(MIN_DEMAND_RATIO);
        let is_shed = draw < shed_probability;
        if is_shed {
            quota.unreported_units += request.cost_units;
        }
        is_shed
    }
}
