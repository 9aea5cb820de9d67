//! Readiness: when a limiter that has just started may receive requests from clients.

use crate::event::Millis;
use crate::limiter::Limiter;
use crate::quota::GRANT_VALIDITY_MS;
use crate::settings::Plan;

/// Longest time in milliseconds for which a limiter waits for ceilings to fill before it is ready. Bounds how
/// long a deployment without any other limiter stays unavailable.
const MAX_CEILING_FILL_MS: Millis = 5000.0;

impl Limiter {
    /// Returns whether clients may send requests to this limiter.
    ///
    /// A limiter that has just started assumes that the units of all ceilings have been spent, because its
    /// earlier incarnation may have granted them. The limiter is ready after the longest fill time over all
    /// plans with a ceiling, whether or not it owns a quota of these plans, and after `MAX_CEILING_FILL_MS`
    /// at the latest. The limiter is ready immediately if a peer already serves requests, because the running
    /// deployment is short of one limiter while this one waits, or if the settings do not allow gossip.
    #[must_use]
    pub fn is_ready(&self, now: Millis) -> bool {
        let age_ms = now - self.context.started_at;
        self.has_serving_peer
            || !self.context.settings.can_gossip
            || age_ms >= self.max_ceiling_fill_ms().min(MAX_CEILING_FILL_MS)
    }

    /// Returns the time in milliseconds from the start of this limiter until the ceilings of all plans have
    /// filled; 0 if no plan has a ceiling.
    fn max_ceiling_fill_ms(&self) -> Millis {
        let plans_with_ceiling = self.context.settings.plans.iter().filter(|plan| plan.has_ceiling());
        plans_with_ceiling.map(ceiling_fill_ms).fold(0.0, f64::max)
    }
}

/// Returns the time in milliseconds from the start of a limiter until the ceiling of a plan has filled. The
/// bucket refills only after the grants of the earlier incarnation have expired, and starts overdrawn by the
/// slack.
fn ceiling_fill_ms(plan: &Plan) -> Millis {
    GRANT_VALIDITY_MS + 1000.0 * (plan.ceiling_burst + plan.ceiling_slack) / plan.ceiling_rate
}
