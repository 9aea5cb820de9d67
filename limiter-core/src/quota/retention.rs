//! How long members and owners retain an unused quota, and how many they retain at most.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use super::keys::QuotaKey;
use crate::context::Context;
use crate::event::Millis;

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

/// Returns how long a quota is retained after its last use.
pub(super) fn retention_ms(context: &Context, key: QuotaKey) -> Millis {
    let refill_ms = context.settings.plans[key.plan].refill_ms();
    IDLE_RETENTION_MS.max(REFILL_RETENTION_FACTOR * refill_ms)
}

/// What would be lost with the record of a quota.
#[derive(Debug, Clone, Copy)]
pub(super) struct RecordValue {
    /// Whether the record differs from that of a customer who is seen for the first time. If not, nothing is
    /// lost with the record.
    pub differs_from_new: bool,
    /// Time of the last use.
    pub last_used_at: Millis,
}

/// A quota that may be dropped.
struct DropCandidate {
    key: QuotaKey,
    value: RecordValue,
}

impl RecordValue {
    /// Orders records by what would be lost with them, the least first.
    fn compare(&self, other: &RecordValue) -> Ordering {
        let by_content = self.differs_from_new.cmp(&other.differs_from_new);
        by_content.then(self.last_used_at.total_cmp(&other.last_used_at))
    }
}

/// Drops quotas if there are more than [`MAX_QUOTAS`]: first those whose record is like a new one, then those
/// that have not been used for longest.
pub(super) fn drop_excess_quotas<Q>(
    quotas: &mut BTreeMap<QuotaKey, Q>,
    value: impl Fn(QuotaKey, &Q) -> RecordValue,
) {
    if quotas.len() <= MAX_QUOTAS {
        return;
    }
    let num_dropped = quotas.len() - QUOTAS_AFTER_DROP;
    let mut candidates: Vec<DropCandidate> =
        quotas.iter().map(|(key, quota)| DropCandidate { key: *key, value: value(*key, quota) }).collect();
    candidates.select_nth_unstable_by(num_dropped, |one, other| one.value.compare(&other.value));
    for candidate in &candidates[..num_dropped] {
        quotas.remove(&candidate.key);
    }
}
