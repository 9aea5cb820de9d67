//! The decision of a member while no owner can be asked.

use super::even_share::EvenShare;
use super::{MemberQuota, MemberQuotas};
use crate::context::Context;
use crate::decay::DecayingMean;
use crate::event::{Action, Millis, Request, RequestId};
use crate::limiter::Limiter;
use crate::quota::keys::QuotaKey;

/// Time constant in milliseconds over which the fraction of grants is smoothed. The time constant must exceed
/// the periods in which owners are silent, because no grants are measured in these periods.
const GRANT_FRACTION_TIME_CONSTANT_MS: Millis = 60_000.0;

/// A member's decision without an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LocalDecision {
    /// The request may be forwarded.
    Admit,
    /// The request is rejected.
    Deny,
    /// The member has no record of the quota: the request stays pending until its deadline.
    UnknownQuota,
}

/// The fraction of requests of unknown customers that owners grant. A customer is unknown if the member has
/// received no reply about the customer, or none that is still valid. While no owner can be asked, the
/// fraction predicts the decisions on customers about whom no owner has ever replied.
#[derive(Debug)]
pub(super) struct UnknownCustomerGrants {
    granted_fraction: DecayingMean,
}

impl UnknownCustomerGrants {
    /// Creates the state before any reply.
    pub fn new(now: Millis) -> Self {
        UnknownCustomerGrants { granted_fraction: DecayingMean::new(now, GRANT_FRACTION_TIME_CONSTANT_MS) }
    }

    /// Records an owner's decision on a customer without a valid reply.
    pub fn record(&mut self, now: Millis, granted: bool) {
        self.granted_fraction.add(now, if granted { 1.0 } else { 0.0 });
    }

    /// Returns the fraction of grants, or `None` if there are no recent decisions.
    fn fraction(&self, now: Millis) -> Option<f64> {
        self.granted_fraction.value(now)
    }
}

/// Returns the even share of the quota that a request counts against. A plan without a rate quota is limited
/// by its attempts in flight: each attempt is assumed to occupy the units of this request for one latency
/// objective.
fn even_share_of(context: &Context, request: &Request) -> EvenShare {
    let plan = context.plan(request);
    if plan.rate > 0.0 {
        return EvenShare::of_rate_quota(plan, request.member_count);
    }
    let capacity = f64::from(plan.max_in_flight) * request.cost_units;
    let objective_s = context.class(request).latency_objective_ms / 1000.0;
    EvenShare::new(capacity / objective_s, capacity, request.member_count)
}

impl MemberQuota {
    /// Returns the probability of admitting a request whose units exceed the level of the even share.
    ///
    /// The probability is 0 if the share can hold the request: the level alone decides. Otherwise the
    /// probability is the larger one of two values:
    ///
    /// - The fraction of the request's units that the bucket holds. With this probability, the members
    ///   together spend the quota if the demand is far above the quota.
    /// - The expected fraction of grants. If an owner has ever replied about the customer, however long ago,
    ///   this is the fraction that reduces the demand in the last reply to the quota. Otherwise it is the
    ///   fraction of grants for unknown customers, see [`UnknownCustomerGrants`].
    fn admission_probability(
        &self,
        now: Millis,
        share: EvenShare,
        request_units: f64,
        unknown_customers: &UnknownCustomerGrants,
    ) -> f64 {
        if share.can_hold(request_units) {
            return 0.0;
        }
        let expected = if self.has_reply() {
            self.demand_ratio.max(1.0).recip()
        } else {
            unknown_customers.fraction(now).unwrap_or(0.0)
        };
        (self.even_share.level / request_units).max(expected)
    }
}

impl MemberQuotas {
    /// Decides on a request by the member's even share of the rate quota or, for a plan without a rate quota,
    /// of the attempts in flight. Denies all requests under a ceiling, because only owners may grant its
    /// units.
    ///
    /// Draws a random number if the even share does not cover the request.
    fn decide_without_owner(&mut self, context: &mut Context, request: &Request) -> LocalDecision {
        let Some(quota) = self.quotas.get_mut(&QuotaKey::of(request)) else {
            return LocalDecision::UnknownQuota;
        };
        let now = context.now;
        let units = request.cost_units;
        let share = even_share_of(context, request);
        quota.refill_even_share(now, share, units);
        let probability = quota.admission_probability(now, share, units, &self.unknown_customer_grants);
        let is_admitted = quota.even_share.level >= units || context.rng.f64() < probability;
        // A request that was denied at random also spends from the share, because the probability included
        // these units.
        if is_admitted || probability > 0.0 {
            quota.even_share.level = (quota.even_share.level - units).max(0.0);
        }
        if is_admitted && !context.plan(request).has_ceiling() {
            LocalDecision::Admit
        } else {
            LocalDecision::Deny
        }
    }
}

impl Limiter {
    /// Admits or rejects a request for which no owner can be asked.
    pub(super) fn admit_or_reject_without_owner(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(id) else { return };
        match self.member_quotas.decide_without_owner(&mut self.context, &pending.request) {
            LocalDecision::Admit => {
                pending.admitted_at = self.context.now;
                self.forward_or_queue(id, out);
            }
            LocalDecision::Deny => self.reject_or_fail(id, out),
            LocalDecision::UnknownQuota => {}
        }
    }
}
