//! Grants: the owner's decision on a quota request, and the record of the decision.

use super::bucket::OwnerQuota;
use crate::event::Millis;
use crate::gossip::QuotaRequest;
use crate::quota::keys::QuotaKey;
use crate::settings::Plan;

/// Time in milliseconds for which units granted under a ceiling may be spent. A member measures the time from
/// the submission of the request and an owner from its later decision, so the units are outstanding at the
/// owner for at least as long as the member may spend them. The time covers the wait for a reply and the wait
/// in the queue.
pub(crate) const GRANT_VALIDITY_MS: Millis = 500.0;

/// An owner's decision on a quota request, retained for duplicates of the request and for the settlement.
#[derive(Debug)]
pub(super) struct Decision {
    /// The requested quota.
    pub quota_key: QuotaKey,
    /// Time of the decision.
    pub decided_at: Millis,
    /// The grant, or `None` if the request was denied.
    pub grant: Option<Grant>,
}

/// The units granted to a request, and which limits of the quota the grant still occupies.
#[derive(Debug)]
pub(super) struct Grant {
    /// Units granted.
    pub units: f64,
    /// Whether the units are included in [`OwnerQuota::outstanding_units`].
    is_outstanding: bool,
    /// Whether the request is included in [`OwnerQuota::in_flight`].
    is_in_flight: bool,
    /// Whether the settlement has arrived.
    pub is_settled: bool,
}

impl Grant {
    /// Returns whether the request is included in [`OwnerQuota::in_flight`].
    pub fn is_in_flight(&self) -> bool {
        self.is_in_flight
    }
}

impl OwnerQuota {
    /// Decides on a quota request and spends the granted units. Units that the member has already spent are
    /// always granted.
    pub fn decide(&mut self, now: Millis, plan: &Plan, request: &QuotaRequest) -> Decision {
        let is_granted = request.already_spent || self.has_capacity_for(plan, request);
        let grant = is_granted.then(|| self.grant(now, plan, request));
        Decision { quota_key: request.quota_key(), decided_at: now, grant }
    }

    /// Spends the units of a request. Units that the member has already spent are deducted from the rate
    /// quota only: under a ceiling, the member has spent them from its own fraction of the ceiling, and
    /// members never spend without asking under a plan that limits attempts in flight.
    fn grant(&mut self, now: Millis, plan: &Plan, request: &QuotaRequest) -> Grant {
        let units = f64::from(request.units);
        // Grants overdraw the bucket by one burst at most, so that the quota is available again after a
        // bounded time.
        self.rate_bucket.level = (self.rate_bucket.level - units).max(-plan.burst);
        self.admitted.add(now, units);
        let is_in_flight = !request.already_spent;
        let is_outstanding = is_in_flight && plan.has_ceiling();
        if is_in_flight {
            self.ceiling_bucket.level -= units;
            self.in_flight += 1;
        }
        if is_outstanding {
            self.outstanding_units += units;
        }
        Grant { units, is_outstanding, is_in_flight, is_settled: false }
    }

    /// Returns whether a request fits within the rate quota, the quota of attempts in flight and the ceiling.
    fn has_capacity_for(&self, plan: &Plan, request: &QuotaRequest) -> bool {
        let units = f64::from(request.units);
        let is_within_rate = plan.rate <= 0.0 || self.rate_bucket.level >= units;
        let is_within_in_flight = plan.max_in_flight == 0 || self.in_flight < plan.max_in_flight;
        let ceiling_floor = -plan.ceiling_slack * self.fractions.ceiling;
        let is_within_ceiling = !plan.has_ceiling() || self.ceiling_bucket.level - units >= ceiling_floor;
        is_within_rate && is_within_in_flight && is_within_ceiling
    }

    /// Releases the outstanding units of a grant, which can no longer be spent. Has no effect when repeated.
    pub fn release_outstanding_units(&mut self, grant: &mut Grant) {
        if grant.is_outstanding {
            grant.is_outstanding = false;
            self.outstanding_units = (self.outstanding_units - grant.units).max(0.0);
        }
    }

    /// Records that the request of a grant is no longer in flight. Has no effect when repeated.
    pub fn release_in_flight(&mut self, grant: &mut Grant) {
        if grant.is_in_flight {
            grant.is_in_flight = false;
            self.in_flight = self.in_flight.saturating_sub(1);
        }
    }
}
