//! The owner of a quota: token buckets, grants, settlements and their expiry.

use super::owner_state::{GrantRecord, OwnedQuotas, OwnerQuota, GRANT_VALIDITY_MS};
use super::placement::{owner_of, CEILING_FRACTIONS};
use super::records::{GrantKey, QuotaKey};
use crate::context::Context;
use crate::event::Millis;
use crate::gossip::{GrantReply, QuotaRequest, Settlement};
use crate::settings::{Plan, Settings};

/// Fraction of the quota that the other owners grant: the first one may be cut off from some members only.
const BACKUP_QUOTA_FRACTION: f64 = 0.5;
/// Milliseconds that an owner remembers its decisions.
const GRANT_RETENTION_MS: Millis = 8000.0;
/// A customer not seen for so many milliseconds is forgotten, if its buckets are full by then.
const IDLE_RETENTION_MS: Millis = 60_000.0;
/// Customers, some 3 MB, beyond which they are forgotten sooner: a flood must not take all memory.
const MAX_RETAINED_QUOTAS: f64 = 10_000.0;

impl OwnedQuotas {
    /// Decides on a request; the same again for a duplicate. Nothing if this limiter does not own the quota.
    pub fn decide(&mut self, context: &Context, key: GrantKey, request: &QuotaRequest) -> Option<GrantReply> {
        let plan = context.settings.plans.get(request.quota().plan)?;
        let rank = owner_rank(context, request)?;
        let tokens_fraction = if rank == 0 { 1.0 } else { BACKUP_QUOTA_FRACTION };
        let new = || OwnerQuota::new(context, plan, tokens_fraction, CEILING_FRACTIONS[rank]);
        let quota = self.quotas.entry(request.quota()).or_insert_with(new);
        quota.last_used_at = context.now;
        let reply = |quota: &OwnerQuota, granted| {
            let demand_ratio = quota.demand_ratio(context.now, plan);
            request.reply(key.incarnation, granted, demand_ratio, quota.tokens.level)
        };
        if let Some(grant) = self.grants.get(&key) {
            return Some(reply(quota, grant.granted));
        }
        quota.refill(context.now, plan, tokens_fraction);
        quota.demand.add(context.now, f64::from(request.units) + f64::from(request.unreported_units));
        let grant = quota.try_grant(context.now, plan, request);
        let reply = reply(quota, grant.granted);
        self.grants.insert(key, grant);
        Some(reply)
    }

    /// A granted request has finished: it is in flight no more, and the quota takes what it really cost.
    pub fn settle(&mut self, context: &Context, key: GrantKey, settlement: Settlement) {
        let Some(grant) = self.grants.get_mut(&key).filter(|grant| !grant.is_settled) else { return };
        let Some(quota) = self.quotas.get_mut(&grant.quota) else { return };
        grant.is_settled = true;
        quota.end_in_flight(grant);
        let max_units = grant.units + context.settings.plans[grant.quota.plan].burst;
        quota.tokens.level -= f64::from(settlement.used_units).min(max_units) - grant.units;
    }

    /// Forgets what was decided long ago and customers not seen for long.
    pub fn expire(&mut self, context: &Context) {
        let OwnedQuotas { quotas, grants } = self;
        let objectives = context.settings.classes.iter().map(|class| class.latency_objective_ms);
        let max_objective_ms = objectives.fold(0.0, f64::max);
        grants.retain(|_, grant| {
            let age_ms = context.now - grant.decided_at;
            if let Some(quota) = quotas.get_mut(&grant.quota) {
                if age_ms > GRANT_VALIDITY_MS {
                    quota.end_outstanding(grant);
                }
                // A lost settlement must not count as in flight forever.
                if age_ms > max_objective_ms {
                    quota.end_in_flight(grant);
                }
            }
            age_ms < GRANT_RETENTION_MS.max(max_objective_ms)
        });
        let count = quotas.len();
        quotas.retain(|key, quota| context.now - quota.last_used_at < retention_ms(context, *key, count));
    }
}

/// How long a quota is remembered after its last use, beside `count` in all: until its buckets are full.
pub(super) fn retention_ms(context: &Context, key: QuotaKey, count: usize) -> Millis {
    let refill_ms = context.settings.plans[key.plan].refill_ms();
    IDLE_RETENTION_MS.max(2.0 * refill_ms) * (MAX_RETAINED_QUOTAS / count as f64).min(1.0)
}

/// This limiter's rank among the owners of the quota.
fn owner_rank(context: &Context, request: &QuotaRequest) -> Option<usize> {
    let Settings { limiters, position, .. } = context.settings;
    let owner = |rank| owner_of(request.customer, request.members(), limiters, rank);
    (0..CEILING_FRACTIONS.len()).find(|rank| owner(*rank as u32) == Some(position))
}

impl OwnerQuota {
    /// Grants what fits under every quota. What a member has already spent takes its units in any case, but
    /// from the rate quota alone: the member had its own part of the ceiling.
    fn try_grant(&mut self, now: Millis, plan: &Plan, request: &QuotaRequest) -> GrantRecord {
        let units = f64::from(request.units);
        let within_rate = plan.rate <= 0.0 || self.tokens.level >= units;
        let within_flight = plan.max_in_flight == 0 || self.in_flight < plan.max_in_flight;
        let ceiling_floor = -plan.ceiling_slack * self.ceiling_fraction;
        let within_ceiling = !plan.has_ceiling() || self.ceiling.level - units >= ceiling_floor;
        let granted = request.already_spent || (within_rate && within_flight && within_ceiling);
        let is_in_flight = granted && !request.already_spent;
        let is_outstanding = is_in_flight && plan.has_ceiling();
        if granted {
            self.tokens.level = (self.tokens.level - units).max(-plan.burst);
            self.admitted.add(now, units);
        }
        if is_in_flight {
            self.ceiling.level -= units;
            self.in_flight += 1;
        }
        if is_outstanding {
            self.outstanding_units += units;
        }
        let (quota, is_settled) = (request.quota(), !granted);
        GrantRecord { quota, decided_at: now, units, granted, is_outstanding, is_in_flight, is_settled }
    }
}
