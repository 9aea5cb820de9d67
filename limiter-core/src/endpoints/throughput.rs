//! The throughput of a warm server, from which the budgets of slow start are computed.

use super::outlier::RESPONSE_TIME_CONSTANT_MS;
use super::registry::Endpoints;
use super::slow_start::limiters_per_member;
use crate::context::Context;
use crate::event::Millis;
use crate::settings::Settings;

/// Minimum age of this limiter that the extrapolation of a measurement assumes, as a fraction of the time
/// constant of the counts of responses. Bounds the extrapolation of the first responses.
const MIN_AGE_FRACTION: f64 = 0.1;
/// Minimum fraction of its capacity that a server in slow start is assumed to have. The setting may be 0, and
/// the throughput is divided by the fraction.
const MIN_CAPACITY_FRACTION: f64 = 0.05;

impl Endpoints {
    /// Measures the good responses per second that this limiter receives from one warm server on average.
    ///
    /// Only good responses of servers that are warm and serving are counted, because only these show what a
    /// server can sustain. When few servers are warm, the requests that are rejected or sent to other servers
    /// can be many times as numerous as those that the warm servers sustain. Without any warm server, the
    /// last measurement is kept, unless the estimate from the servers in slow start is higher.
    pub(super) fn measure_warm_throughput(&mut self, context: &Context) {
        let now = context.now;
        if self.num_warm() == 0 {
            let estimate = self.warming_throughput(now, &context.settings);
            self.warm_throughput = self.warm_throughput.max(estimate);
            return;
        }
        // A limiter that has just started has counted responses for a short time only. Without the
        // extrapolation, the servers in slow start would receive too few requests for seconds.
        let age_ms = (now - context.started_at).max(RESPONSE_TIME_CONSTANT_MS * MIN_AGE_FRACTION);
        let measured_fraction = 1.0 - (-age_ms / RESPONSE_TIME_CONSTANT_MS).exp();
        self.warm_throughput = self.warm_responses_per_s(now) / measured_fraction / self.num_warm() as f64;
    }

    /// Returns the good responses per second of all servers that are warm and serving.
    fn warm_responses_per_s(&mut self, now: Millis) -> f64 {
        // Most servers of a large fleet have never responded to this limiter and are not examined.
        self.num_examined += self.responders.len() as u64;
        // The order of the additions is that of the server ids, so that the same events lead to the same sum.
        let mut responses_per_s = 0.0;
        for server in &self.responders {
            let Some(record) = self.by_id.get(server) else { continue };
            if record.is_warm_and_serving() {
                responses_per_s += record.health.completions.rate(now);
            }
        }
        responses_per_s
    }

    /// Estimates the throughput of a warm server from the good responses of the servers in slow start: the
    /// throughput that these have now, extrapolated to their full capacity. Each time that the servers have
    /// sustained a load, the budgets therefore grow by a factor. A member of a warming set sends the parts of
    /// several limiters, so the responses that the member receives are divided by the number of these
    /// limiters.
    fn warming_throughput(&mut self, now: Millis, settings: &Settings) -> f64 {
        self.num_examined += self.responders.len() as u64;
        let assigned = self.slow_starts.assigned();
        let mut responses_per_s = 0.0;
        for server in self.responders.intersection(assigned) {
            let Some(record) = self.by_id.get(server) else { continue };
            let Some(fraction) = record.slow_start.capacity_fraction(now, settings) else { continue };
            responses_per_s += record.health.completions.rate(now) / fraction.max(MIN_CAPACITY_FRACTION);
        }
        responses_per_s / assigned.len().max(1) as f64 / limiters_per_member(settings)
    }
}
