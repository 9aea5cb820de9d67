//! Checks each customer's hard ceiling across all limiters. The units of a request are charged at its first
//! attempt.

use std::collections::BTreeMap;
use std::time::Instant;

use super::{seconds_between, FinishedRun, Invariant, Timing, Violation};
use crate::deployment::Ceiling;

/// Tolerance for rounding errors, in units.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// A customer on a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CustomerOnPlan {
    plan: usize,
    customer: u64,
}

/// Units that were charged at a moment.
struct Spending {
    at: Instant,
    units: f64,
}

impl FinishedRun<'_> {
    /// Checks the hard ceiling of every customer. Reports the first violation of each.
    pub(super) fn check_ceilings(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (key, mut spendings) in self.spendings_under_ceilings() {
            let Some(ceiling) = self.deployment.plans[key.plan].ceiling else { continue };
            spendings.sort_by_key(|spending| spending.at);
            if let Some(overdraft) = first_overdraft(ceiling, &spendings) {
                let customer = key.customer;
                let description = format!("customer {customer} overdrew its ceiling by {overdraft:.1} units");
                violations.push(Violation::for_fleet(Invariant::Ceiling, Timing::Measured, description));
            }
        }
        violations
    }

    fn spendings_under_ceilings(&self) -> BTreeMap<CustomerOnPlan, Vec<Spending>> {
        let mut spendings: BTreeMap<CustomerOnPlan, Vec<Spending>> = BTreeMap::new();
        for (id, request) in &self.record.requests {
            let Some(first_attempt) = self.attempts_of(*id).first() else { continue };
            if self.deployment.plans[request.plan].ceiling.is_none() {
                continue;
            }
            let key = CustomerOnPlan { plan: request.plan, customer: request.customer };
            let spending = Spending { at: first_attempt.last_byte_at, units: f64::from(request.units) };
            spendings.entry(key).or_default().push(spending);
        }
        spendings
    }
}

/// Returns by how many units the token bucket of a ceiling is overdrawn when the overdraft first exceeds the
/// slack.
fn first_overdraft(ceiling: Ceiling, spendings: &[Spending]) -> Option<f64> {
    let mut level = ceiling.burst;
    let mut refilled_at = spendings.first()?.at;
    for spending in spendings {
        let refill = ceiling.rate * seconds_between(refilled_at, spending.at);
        level = (level + refill).min(ceiling.burst) - spending.units;
        refilled_at = spending.at;
        if level < -ceiling.slack - ROUNDING_TOLERANCE {
            return Some(-level);
        }
    }
    None
}
