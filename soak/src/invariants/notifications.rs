//! When a limiter is considered notified of a change of the endpoint list.

use std::time::{Duration, Instant};

use super::FinishedRun;
use crate::record::{ClientRequest, NotificationKey};

/// Longest time from the moment at which discovery has a change and is available until a limiter that
/// subscribes to endpoint lists is considered notified.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);

impl FinishedRun<'_> {
    /// Returns when the limiter of a request is considered notified that a server is draining or removed.
    pub(super) fn withdrawal_notified_at(&self, request: &ClientRequest, server: usize) -> Option<Instant> {
        let withdrawn_at = self.record.servers[server].withdrawn_at?;
        let written_at =
            self.record.withdrawal_notifications.get(&notification_key(request, server)).copied();
        self.notified_at(request, withdrawn_at, written_at)
    }

    /// Returns when the limiter of a request is considered notified that a server started at the given time.
    pub(super) fn start_notified_at(
        &self,
        request: &ClientRequest,
        server: usize,
        started_at: Instant,
    ) -> Option<Instant> {
        let written_at = self.record.start_notifications.get(&notification_key(request, server)).copied();
        self.notified_at(request, started_at, written_at)
    }

    /// Returns when a limiter is considered notified of a change that discovery received at `changed_at` and
    /// wrote to the limiter at `written_at`.
    fn notified_at(
        &self,
        request: &ClientRequest,
        changed_at: Instant,
        written_at: Option<Instant>,
    ) -> Option<Instant> {
        let incarnations = self.record.incarnations.get(&request.limiter)?;
        let started_at = incarnations.get(request.incarnation)?.started_at;
        // A process that starts during an outage of discovery cannot learn of earlier changes until the
        // outage ends.
        let reachable_at = self.reachable_from(changed_at).max(self.reachable_from(started_at));
        let delay = if self.deployment.subscribes { MAX_NOTIFICATION_DELAY } else { Duration::ZERO };
        let latest = reachable_at + delay;
        Some(written_at.map_or(latest, |written_at| written_at.min(latest)))
    }

    /// Returns the first moment at or after the given one at which discovery was available.
    fn reachable_from(&self, moment: Instant) -> Instant {
        let outages = &self.record.outages;
        let outage = outages.iter().find(|outage| outage.from <= moment && moment <= outage.to);
        outage.map_or(moment, |outage| outage.to)
    }
}

fn notification_key(request: &ClientRequest, server: usize) -> NotificationKey {
    NotificationKey { limiter: request.limiter, incarnation: request.incarnation, server }
}
