//! How long members and owners retain an unused quota, and how many they retain at most.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use super::keys::QuotaKey;
use crate::context::Context;
use crate::event::Millis;
use crate::settings::Plan;

/// Shortest retention of an unused quota in milliseconds.
const IDLE_RETENTION_MS: Millis = 60_000.0;
/// Retention of an unused quota as a multiple of the time in which its buckets refill from empty. Grants
/// overdraw the bucket of the rate quota by one burst at most, so the bucket is full again after two refills,
/// as the bucket of a new quota is: no customer gains units because its quota was dropped. The exceptions are
/// a settlement that overdrew the bucket further, and a quota that was dropped early. The same holds for the
/// bucket of a ceiling, which is overdrawn by the slack at most: a new one refills from the start of the
/// limiter on, not from the creation of the quota, so it is full as well once the limiter has run for long.
const REFILL_RETENTION_FACTOR: f64 = 2.0;
/// Number of quotas, about 4 MB of memory at a member that owns them too, beyond which quotas are dropped
/// early: a flood of new customers must not exhaust the memory. The check is made once per control step.
const MAX_QUOTAS: usize = 10_000;
/// Number of quotas that are left when quotas are dropped early. Less than [`MAX_QUOTAS`], so that a flood
/// does not make every control step search for the quotas to drop.
const QUOTAS_AFTER_DROP: usize = MAX_QUOTAS / 8 * 7;

/// A record of a quota that is dropped when it has not been used for long, or when there are too many.
pub(super) trait RetainedQuota {
    /// Returns the time of the last use.
    fn last_used_at(&self) -> Millis;

    /// Returns whether the quota would be treated differently if it were new. If not, nothing is lost with
    /// the record.
    fn differs_from_new(&self, now: Millis, plan: &Plan) -> bool;
}

/// Drops the quotas that have not been used for their retention time, and others if there are too many.
pub(super) fn expire_quotas<Q: RetainedQuota>(quotas: &mut BTreeMap<QuotaKey, Q>, context: &Context) {
    quotas.retain(|key, quota| context.now - quota.last_used_at() < retention_ms(context, *key));
    if quotas.len() > MAX_QUOTAS {
        drop_quotas(quotas, quotas.len() - QUOTAS_AFTER_DROP, context);
    }
}

/// Returns how long a quota is retained after its last use.
fn retention_ms(context: &Context, key: QuotaKey) -> Millis {
    let refill_ms = context.settings.plans[key.plan].refill_ms();
    IDLE_RETENTION_MS.max(REFILL_RETENTION_FACTOR * refill_ms)
}

/// Drops this number of quotas: first those whose record is like a new one, then those that have not been
/// used for longest.
fn drop_quotas<Q: RetainedQuota>(quotas: &mut BTreeMap<QuotaKey, Q>, num_dropped: usize, context: &Context) {
    let mut candidates: Vec<DropCandidate> =
        quotas.iter().map(|(key, quota)| DropCandidate::new(*key, quota, context)).collect();
    candidates.select_nth_unstable_by(num_dropped, DropCandidate::compare);
    for candidate in &candidates[..num_dropped] {
        quotas.remove(&candidate.key);
    }
}

/// A quota that may be dropped, with what would be lost with its record.
struct DropCandidate {
    key: QuotaKey,
    differs_from_new: bool,
    last_used_at: Millis,
}

impl DropCandidate {
    fn new(key: QuotaKey, quota: &impl RetainedQuota, context: &Context) -> DropCandidate {
        let plan = &context.settings.plans[key.plan];
        let differs_from_new = quota.differs_from_new(context.now, plan);
        DropCandidate { key, differs_from_new, last_used_at: quota.last_used_at() }
    }

    /// Orders quotas by what would be lost with them, the least first.
    fn compare(&self, other: &DropCandidate) -> Ordering {
        let by_content = self.differs_from_new.cmp(&other.differs_from_new);
        by_content.then(self.last_used_at.total_cmp(&other.last_used_at))
    }
}
