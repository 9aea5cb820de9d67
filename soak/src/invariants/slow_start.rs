//! Checks that all limiters together do not overload a server during its slow start.
//!
//! A violation is a window of `overload_time` in which the server receives more requests than
//! [`Deployment::slow_start_budget`] returns, more than two thirds of them from limiters that had been
//! notified of the start of the server. The other limiters could not know of the start.
//!
//! [`Deployment::slow_start_budget`]: crate::deployment::Deployment::slow_start_budget

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use super::{FinishedRun, Invariant, Timing, Violation};
use crate::record::Attempt;

/// Period before a violation over which the throughput of warm servers is reported.
const THROUGHPUT_PERIOD: Duration = Duration::from_secs(5);

/// A time window in which the requests to one server are counted.
struct OverloadWindow {
    server: usize,
    from: Instant,
    to: Instant,
}

impl OverloadWindow {
    fn contains(&self, attempt: &Attempt) -> bool {
        attempt.server == self.server && (self.from..self.to).contains(&attempt.last_byte_at)
    }
}

impl FinishedRun<'_> {
    /// Checks every server that started during the run. Reports the first overload of each.
    pub(super) fn check_slow_starts(&self) -> Vec<Violation> {
        let mut arrivals: HashMap<usize, Vec<Instant>> = HashMap::new();
        for attempt in &self.record.attempts {
            arrivals.entry(attempt.server).or_default().push(attempt.last_byte_at);
        }
        let mut violations = Vec::new();
        for (server, mut arrivals) in arrivals {
            arrivals.sort();
            if let Some(started_at) = self.record.servers[server].started_at {
                violations.extend(self.check_slow_start(server, started_at, &arrivals));
            }
        }
        violations
    }

    /// Checks the windows that begin with the arrival of a request during the slow start of one server, and
    /// reports the first overload. `arrivals` are the times of all requests to the server, in order.
    fn check_slow_start(
        &self,
        server: usize,
        started_at: Instant,
        arrivals: &[Instant],
    ) -> Option<Violation> {
        for (index, from) in arrivals.iter().enumerate() {
            let age = from.saturating_duration_since(started_at);
            // A window that extends beyond the end of slow start also covers a warm server.
            if age + self.deployment.overload_time > self.deployment.slow_start {
                return None;
            }
            let to = *from + self.deployment.overload_time;
            let window = OverloadWindow { server, from: *from, to };
            let count = arrivals[index..].iter().take_while(|arrival| **arrival < to).count();
            let budget = self.deployment.slow_start_budget(age);
            if count as f64 > budget && self.is_mostly_from_notified_limiters(&window, started_at) {
                return Some(self.overload_violation(&window, age, count, budget));
            }
        }
        None
    }

    fn overload_violation(
        &self,
        window: &OverloadWindow,
        age: Duration,
        count: usize,
        budget: f64,
    ) -> Violation {
        let name = &self.record.servers[window.server].name;
        let throughput = self.warm_throughput_per_s(window.from);
        let capacity = self.deployment.capacity_per_s;
        let description = format!(
            "{name} received {count} requests from the age of {age:?} on, over a budget of {budget:.1}; warm \
             servers received {throughput:.1}/s in the {THROUGHPUT_PERIOD:?} before, and have a capacity of \
             {capacity:.1}/s"
        );
        Violation::for_fleet(Invariant::SlowStart, Timing::Measured, description)
    }

    /// Returns whether more than two thirds of the requests in a window came from limiters that are
    /// considered notified of the server's start. Otherwise, the window is not a violation, because the other
    /// limiters could not know of the start.
    fn is_mostly_from_notified_limiters(&self, window: &OverloadWindow, started_at: Instant) -> bool {
        let mut num_requests = 0;
        let mut num_by_notified = 0;
        for attempt in self.record.attempts.iter().filter(|attempt| window.contains(attempt)) {
            num_requests += 1;
            let Some(request) = self.record.requests.get(&attempt.request) else { continue };
            let notified_at = self.start_notified_at(request, window.server, started_at);
            if notified_at.is_some_and(|notified_at| notified_at <= attempt.first_byte_at) {
                num_by_notified += 1;
            }
        }
        num_by_notified * 3 > num_requests * 2
    }

    /// Returns the mean request rate, in the period before `moment`, of the warm servers that received
    /// requests in that period.
    fn warm_throughput_per_s(&self, moment: Instant) -> f64 {
        let mut num_requests = 0;
        let mut servers = HashSet::new();
        for attempt in &self.record.attempts {
            let arrived_at = attempt.last_byte_at;
            let is_recent = arrived_at <= moment && arrived_at + THROUGHPUT_PERIOD > moment;
            if is_recent && self.is_warm(attempt.server, moment) {
                num_requests += 1;
                servers.insert(attempt.server);
            }
        }
        f64::from(num_requests) / THROUGHPUT_PERIOD.as_secs_f64() / servers.len().max(1) as f64
    }

    fn is_warm(&self, server: usize, moment: Instant) -> bool {
        let started_at = self.record.servers[server].started_at;
        started_at.is_none_or(|started_at| {
            moment.saturating_duration_since(started_at) > self.deployment.slow_start
        })
    }
}
