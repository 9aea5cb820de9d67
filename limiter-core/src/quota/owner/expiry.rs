//! Expiry of an owner's grants, decisions and quotas.

use super::bucket::OwnerQuota;
use super::grants::{Decision, Grant};
use super::{OwnedQuotas, GRANT_VALIDITY_MS};
use crate::context::Context;
use crate::event::Millis;
use crate::quota::keys::GrantKey;
use crate::quota::retention::expire_quotas;

/// Shortest time in milliseconds for which an owner retains a decision; the longest latency objective applies
/// if that is longer. After this time, a duplicate of the quota request is decided on anew, and a settlement
/// is ignored.
const MIN_DECISION_RETENTION_MS: Millis = 8000.0;
/// Number of decisions, about 1 MB of memory, beyond which decisions are dropped early. Decisions that are
/// younger than [`GRANT_VALIDITY_MS`] or count as requests in flight are never dropped early.
const MAX_DECISIONS: usize = 10_000;
/// Number of decisions that are left when decisions are dropped early. Less than [`MAX_DECISIONS`], so that a
/// flood does not make every control step search for the decisions to drop.
const DECISIONS_AFTER_DROP: usize = MAX_DECISIONS / 8 * 7;

/// A decision that may be dropped early.
struct DroppableDecision {
    key: GrantKey,
    decided_at: Millis,
}

impl OwnedQuotas {
    /// Expires grants, drops old decisions, and drops the quotas for which no quota request has arrived for
    /// their retention time, and others if there are too many.
    pub fn expire(&mut self, context: &Context) {
        self.expire_decisions(context);
        self.drop_excess_decisions(context);
        expire_quotas(&mut self.quotas, context);
    }

    /// Drops the oldest of the decisions that may be dropped early, if there are more than [`MAX_DECISIONS`].
    /// A later settlement of such a decision is ignored.
    fn drop_excess_decisions(&mut self, context: &Context) {
        if self.decisions.len() <= MAX_DECISIONS {
            return;
        }
        let droppable = self.decisions.iter().filter(|(_, decision)| decision.may_be_dropped(context));
        let mut droppable: Vec<DroppableDecision> = droppable
            .map(|(key, decision)| DroppableDecision { key: *key, decided_at: decision.decided_at })
            .collect();
        droppable.sort_unstable_by(|one, other| one.decided_at.total_cmp(&other.decided_at));
        droppable.truncate(self.decisions.len() - DECISIONS_AFTER_DROP);
        for decision in &droppable {
            self.drop_decision(decision.key);
        }
    }

    /// Drops a decision whose units are no longer outstanding.
    fn drop_decision(&mut self, key: GrantKey) {
        let Some(decision) = self.decisions.remove(&key) else { return };
        if let (Some(quota), Some(mut grant)) = (self.quotas.get_mut(&decision.quota_key), decision.grant) {
            quota.release_in_flight(&mut grant);
        }
    }

    /// Expires grants by their age, and drops old decisions.
    fn expire_decisions(&mut self, context: &Context) {
        let max_objective_ms = max_latency_objective_ms(context);
        let decision_retention_ms = MIN_DECISION_RETENTION_MS.max(max_objective_ms);
        let quotas = &mut self.quotas;
        self.decisions.retain(|_, decision| {
            let age_ms = context.now - decision.decided_at;
            if let (Some(quota), Some(grant)) = (quotas.get_mut(&decision.quota_key), &mut decision.grant) {
                quota.expire_grant(grant, age_ms, max_objective_ms);
            }
            age_ms < decision_retention_ms
        });
    }
}

impl Decision {
    /// Returns whether the decision may be dropped before its time: no duplicate of the quota request is
    /// expected, and no limit counts the grant.
    fn may_be_dropped(&self, context: &Context) -> bool {
        let is_old = context.now - self.decided_at > GRANT_VALIDITY_MS;
        let plan = &context.settings.plans[self.quota_key.plan];
        let is_counted = plan.max_in_flight > 0 && self.grant.as_ref().is_some_and(Grant::is_in_flight);
        is_old && !is_counted
    }
}

impl OwnerQuota {
    /// Releases the outstanding units of a grant that is older than [`GRANT_VALIDITY_MS`], and the request in
    /// flight of a grant that is older than the longest latency objective: a settlement may be lost, which
    /// must not keep a request in flight forever.
    fn expire_grant(&mut self, grant: &mut Grant, age_ms: Millis, max_objective_ms: Millis) {
        if age_ms > GRANT_VALIDITY_MS {
            self.release_outstanding_units(grant);
        }
        if age_ms > max_objective_ms {
            self.release_in_flight(grant);
        }
    }
}

/// Returns the longest latency objective of all request classes.
fn max_latency_objective_ms(context: &Context) -> Millis {
    let objectives = context.settings.classes.iter().map(|class| class.latency_objective_ms);
    objectives.fold(0.0, f64::max)
}
