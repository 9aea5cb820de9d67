//! How long members and owners retain an unused quota.

use super::keys::QuotaKey;
use crate::context::Context;
use crate::event::Millis;

/// Shortest retention of an unused quota in milliseconds, while at most [`FULL_RETENTION_QUOTAS`] are
/// retained.
const IDLE_RETENTION_MS: Millis = 60_000.0;
/// Retention of an unused quota as a multiple of the time in which its buckets refill from empty. Grants
/// overdraw the bucket of the rate quota by one burst at most, so the bucket is full again after two refills,
/// as the bucket of a new quota is: no customer gains units because its quota was dropped. The exceptions are
/// a settlement that overdrew the bucket further, and a retention that was shortened. The same holds for the
/// bucket of a ceiling, which is overdrawn by the slack at most: a new one refills from the start of the
/// limiter on, not from the creation of the quota, so it is full as well once the limiter has run for long.
const REFILL_RETENTION_FACTOR: f64 = 2.0;
/// Number of quotas, about 3 MB of memory, up to which each is retained for its full time. Beyond that number
/// the retention becomes shorter in proportion: a flood of new customers must not exhaust the memory.
///
/// The number is not a hard bound. With a steady `r` new customers per second and a full retention of 60 s,
/// the number of quotas settles where `count = r * 60 * 10 000 / count`: at about 24 500 for 1000 new
/// customers per second.
const FULL_RETENTION_QUOTAS: f64 = 10_000.0;

/// Returns how long a quota is retained after its last use, while `count` quotas are retained in total.
pub(super) fn retention_ms(context: &Context, key: QuotaKey, count: usize) -> Millis {
    let refill_ms = context.settings.plans[key.plan].refill_ms();
    let full_retention_ms = IDLE_RETENTION_MS.max(REFILL_RETENTION_FACTOR * refill_ms);
    full_retention_ms * (FULL_RETENTION_QUOTAS / count as f64).min(1.0)
}
