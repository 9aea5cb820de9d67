//! How long members and owners remember a quota that is not in use.

use super::keys::QuotaKey;
use crate::context::Context;
use crate::event::Millis;

/// Shortest retention of an unused quota in milliseconds, while fewer than [`MAX_RETAINED_QUOTAS`] are
/// retained.
const IDLE_RETENTION_MS: Millis = 60_000.0;
/// Retention of an unused quota as a multiple of the time in which its buckets refill. The buckets are full
/// by the end of the retention, as those of a new quota are, so no customer gains units because its quota was
/// dropped.
const REFILL_RETENTION_FACTOR: f64 = 2.0;
/// Number of quotas, about 3 MB of memory, beyond which the retention becomes shorter. A flood of new
/// customers must not exhaust the memory.
const MAX_RETAINED_QUOTAS: f64 = 10_000.0;

/// Returns how long a quota is retained after its last use, while `count` quotas are retained in total.
pub(super) fn retention_ms(context: &Context, key: QuotaKey, count: usize) -> Millis {
    let refill_ms = context.settings.plans[key.plan].refill_ms();
    let unshortened_ms = IDLE_RETENTION_MS.max(REFILL_RETENTION_FACTOR * refill_ms);
    unshortened_ms * (MAX_RETAINED_QUOTAS / count as f64).min(1.0)
}
