//! The throughput of a warm server, which guides the budgets of slow start.

use super::outlier::RESPONSE_TIME_CONSTANT_MS;
use super::registry::Endpoints;
use super::slow_start::limiters_per_member;
use crate::context::Context;
use crate::event::Millis;
use crate::settings::Settings;

/// Least age of this limiter that the measurement is extrapolated from, as a fraction of the time constant of
/// the responses. Bounds the extrapolation of the first responses.
const MIN_MEASURED_FRACTION: f64 = 0.1;
/// Least fraction of its capacity that a server in slow start is assumed to have. The setting may be 0, and
/// the throughput is divided by the fraction.
const MIN_CAPACITY_FRACTION: f64 = 0.05;

impl Endpoints {
    /// Measures the good responses per second that this limiter gets from one warm server.
    ///
    /// Only good responses of servers that are serving count. Requests that were rejected, or sent to other
    /// servers, show nothing of what a server can sustain: when few warm servers were left, the number of
    /// such requests was many times what these servers sustained. Without any warm server the last
    /// measurement remains, or the estimate from the servers in slow start, if that is more.
    pub(super) fn measure_warm_throughput(&mut self, context: &Context) {
        let now = context.now;
        if self.num_warm() == 0 {
            let of_warming = self.warming_throughput(now, &context.settings);
            self.warm_throughput = self.warm_throughput.max(of_warming);
            return;
        }
        // A limiter that has just started has counted responses for a short time only. Without the
        // extrapolation, the servers in slow start would get too few requests for seconds.
        let age_ms = (now - context.started_at).max(RESPONSE_TIME_CONSTANT_MS * MIN_MEASURED_FRACTION);
        let measured_fraction = 1.0 - (-age_ms / RESPONSE_TIME_CONSTANT_MS).exp();
        self.warm_throughput = self.warm_responses_per_s(now) / measured_fraction / self.num_warm() as f64;
    }

    /// Returns the good responses per second of all servers that are warm and serving.
    fn warm_responses_per_s(&mut self, now: Millis) -> f64 {
        // Most servers of a large fleet have never responded to this limiter and are not looked at.
        self.num_examined += self.responsive.len() as u64;
        // The sum is in the order of the ids, so that the same events give the same sum.
        let mut responses_per_s = 0.0;
        for server in &self.responsive {
            let Some(record) = self.by_id.get(server) else { continue };
            if record.is_warm_and_serving() {
                responses_per_s += record.health.completions.rate(now);
            }
        }
        responses_per_s
    }

    /// Estimates the throughput of a warm server from the good responses of the servers in slow start: the
    /// capacity that these show now, extrapolated to their full capacity. The budgets therefore grow by a
    /// factor with each load that the servers have sustained. A member of a warming set sends the part of
    /// several limiters, so that the responses of the member are divided by their number.
    fn warming_throughput(&mut self, now: Millis, settings: &Settings) -> f64 {
        self.num_examined += self.responsive.len() as u64;
        let warming_here = self.slow_starts.warming_here();
        let mut responses_per_s = 0.0;
        for server in self.responsive.intersection(warming_here) {
            let Some(record) = self.by_id.get(server) else { continue };
            let Some(fraction) = record.slow_start.capacity_fraction(now, settings) else { continue };
            responses_per_s += record.health.completions.rate(now) / fraction.max(MIN_CAPACITY_FRACTION);
        }
        responses_per_s / warming_here.len().max(1) as f64 / limiters_per_member(settings)
    }
}
