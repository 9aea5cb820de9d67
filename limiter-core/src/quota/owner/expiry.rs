//! Expiry of an owner's grants, decisions and quotas.

use super::bucket::OwnerQuota;
use super::grants::Grant;
use super::{OwnedQuotas, GRANT_VALIDITY_MS};
use crate::context::Context;
use crate::event::Millis;
use crate::quota::retention::retention_ms;

/// Shortest time in milliseconds for which an owner retains a decision; the longest latency objective applies
/// if that is longer. After this time, a duplicate of the quota request is decided on anew, and a settlement
/// is ignored.
const MIN_DECISION_RETENTION_MS: Millis = 8000.0;

impl OwnedQuotas {
    /// Expires grants, drops old decisions, and drops the quotas for which no quota request has arrived for
    /// their retention time.
    pub fn expire(&mut self, context: &Context) {
        self.expire_decisions(context);
        let count = self.quotas.len();
        self.quotas
            .retain(|key, quota| context.now - quota.last_used_at < retention_ms(context, *key, count));
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
