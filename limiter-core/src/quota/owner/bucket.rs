//! The state of one quota at its owner: token buckets, outstanding units, requests in flight and demand.

use super::grants::GRANT_VALIDITY_MS;
use crate::context::Context;
use crate::decay::DecayingSum;
use crate::event::Millis;
use crate::gossip::QuotaRequest;
use crate::quota::placement::CEILING_FRACTIONS;
use crate::quota::retention::RetainedQuota;
use crate::settings::Plan;
use crate::token_bucket::TokenBucket;

/// Fraction of the rate quota that each owner other than the first grants from. If the first owner is
/// unreachable from some members only, two owners grant from the same quota.
const BACKUP_QUOTA_FRACTION: f64 = 0.5;
/// Shortest time constant in milliseconds over which demand is smoothed.
const MIN_DEMAND_TIME_CONSTANT_MS: Millis = 1000.0;
/// Longest time constant in milliseconds over which demand is smoothed.
const MAX_DEMAND_TIME_CONSTANT_MS: Millis = 10_000.0;
/// Lower bound in units per second of the admitted rate that demand is compared with while the quota of
/// attempts in flight is full.
const MIN_ADMITTED_RATE: f64 = 1e-3;
/// Lower bound in units per second of the plan's rate, which prevents a division by zero.
const MIN_RATE: f64 = 1e-9;

/// The fractions of a quota that one owner may grant.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnerFractions {
    /// Fraction of the plan's rate and burst.
    pub rate_quota: f64,
    /// Fraction of the plan's ceiling.
    pub ceiling: f64,
}

impl OwnerFractions {
    /// Returns the fractions of the owner with this rank, 0 being the owner that is asked first.
    pub fn of_rank(rank: usize) -> Self {
        let rate_quota = if rank == 0 { 1.0 } else { BACKUP_QUOTA_FRACTION };
        OwnerFractions { rate_quota, ceiling: CEILING_FRACTIONS[rank] }
    }
}

/// The state of one quota at an owner.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnerQuota {
    /// Fractions of the quota that this owner may grant.
    pub fractions: OwnerFractions,
    /// Token bucket of the rate quota, in units. The bucket may be overdrawn by units that members spent
    /// without asking, and by requests that cost more than their estimate.
    pub rate_bucket: TokenBucket,
    /// Token bucket of this owner's fraction of the ceiling, in units.
    pub ceiling_bucket: TokenBucket,
    /// Units granted under the ceiling that a member may still spend.
    pub outstanding_units: f64,
    /// Number of granted requests whose grants are neither settled nor expired. Requests whose units a member
    /// reported as already spent are not counted.
    pub in_flight: u32,
    /// Units that all members have requested, spent without asking or shed, smoothed.
    demand: DecayingSum,
    /// Units granted, smoothed over the same time.
    pub admitted: DecayingSum,
    /// Time of the last quota request.
    pub last_used_at: Millis,
}

impl OwnerQuota {
    /// Creates a quota whose rate bucket is full. The ceiling bucket starts overdrawn by the whole slack, and
    /// refills only once all grants of an earlier incarnation of this limiter must have expired.
    ///
    /// Demand is smoothed over the time in which a whole burst refills, within bounds.
    pub fn new(context: &Context, plan: &Plan, fractions: OwnerFractions) -> Self {
        let now = context.now;
        let ceiling_refill_start = context.started_at + GRANT_VALIDITY_MS;
        let burst_ms = 1000.0 * plan.burst / plan.rate.max(MIN_RATE);
        let empty_sum =
            DecayingSum::new(now, burst_ms.clamp(MIN_DEMAND_TIME_CONSTANT_MS, MAX_DEMAND_TIME_CONSTANT_MS));
        OwnerQuota {
            fractions,
            rate_bucket: TokenBucket::new(plan.burst * fractions.rate_quota, now),
            ceiling_bucket: TokenBucket::new(-plan.ceiling_slack * fractions.ceiling, ceiling_refill_start),
            outstanding_units: 0.0,
            in_flight: 0,
            demand: empty_sum,
            admitted: empty_sum,
            last_used_at: now,
        }
    }

    /// Refills both buckets, at this owner's fractions of the plan's rates and up to the same fractions of
    /// its bursts. Outstanding units lower the capacity of the ceiling's bucket: a member may still spend the
    /// units after the refill.
    pub fn refill(&mut self, now: Millis, plan: &Plan) {
        let OwnerFractions { rate_quota, ceiling } = self.fractions;
        self.rate_bucket.refill(now, plan.rate * rate_quota, plan.burst * rate_quota);
        let ceiling_capacity = plan.ceiling_burst * ceiling - self.outstanding_units;
        self.ceiling_bucket.refill(now, plan.ceiling_rate * ceiling, ceiling_capacity);
    }

    /// Records the units of a quota request as demand, with those that the member has shed since its last
    /// reply.
    pub fn record_demand(&mut self, now: Millis, request: &QuotaRequest) {
        self.demand.add(now, f64::from(request.units) + f64::from(request.unreported_units));
    }

    /// Returns the customer's demand as a multiple of its quota. While the quota of attempts in flight is
    /// full, the demand is compared with the rate at which units were granted, because the rate that a limit
    /// on attempts in flight permits is not known in advance. Otherwise the demand is compared with the
    /// plan's rate; the result is 0 for a plan without a rate.
    pub fn demand_ratio(&self, now: Millis, plan: &Plan) -> f64 {
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
}

impl RetainedQuota for OwnerQuota {
    fn last_used_at(&self) -> Millis {
        self.last_used_at
    }

    /// A quota differs from a new one if units are spent or outstanding, requests are in flight, or the
    /// demand is above the quota. A ceiling that is not full differs, although a new one may be no fuller.
    fn differs_from_new(&self, now: Millis, plan: &Plan) -> bool {
        let OwnerFractions { rate_quota, ceiling } = self.fractions;
        let mut refilled = *self;
        refilled.refill(now, plan);
        let has_spent_rate = refilled.rate_bucket.level < plan.burst * rate_quota;
        let has_spent_ceiling =
            plan.has_ceiling() && refilled.ceiling_bucket.level < plan.ceiling_burst * ceiling;
        let has_requests_in_flight = plan.max_in_flight > 0 && self.in_flight > 0;
        let is_open = has_requests_in_flight || self.outstanding_units > 0.0;
        has_spent_rate || has_spent_ceiling || is_open || self.demand_ratio(now, plan) > 1.0
    }
}
