//! What warm servers complete, the guide for those that warm up, and the upkeep of slow starts.

use super::outlier::RESPONSE_SPAN_MS;
use super::registry::Endpoints;
use super::slow_start::limiters_per_member;
use crate::context::Context;
use crate::event::Millis;
use crate::settings::Settings;

/// Least age of a limiter, as a fraction of the time over which responses are counted, from which its
/// measurement is extrapolated.
const MIN_MEASURED_FRACTION: f64 = 0.1;

/// Least fraction of its capacity that a cold server is taken to have: the settings may say 0.
const MIN_CAPACITY_FRACTION: f64 = 0.05;

impl Endpoints {
    /// Measures the throughput that guides slow start, the good responses of a warm server that is in
    /// service, and refills all budgets by it. What is sent to others, or rejected, says nothing of it: with
    /// few warm ones left it came to many times what a server can do. With none left the last figure stands,
    /// or what those that warm up show if that is more.
    pub(crate) fn update_slow_start(&mut self, context: &Context) {
        let now = context.now;
        if self.num_warm() > 0 {
            // Over the time since the start: else servers wait for seconds at a new limiter.
            let age_ms = (now - context.started_at).max(RESPONSE_SPAN_MS * MIN_MEASURED_FRACTION);
            let measured = 1.0 - (-age_ms / RESPONSE_SPAN_MS).exp();
            self.warm_throughput = self.warm_responses_per_s(now) / measured / self.num_warm() as f64;
        } else {
            let of_cold = self.throughput_of_cold(now, &context.settings);
            self.warm_throughput = self.warm_throughput.max(of_cold);
        }
        self.refill_slow_starts(now, &context.settings);
    }

    /// The throughput of a warm server by what those that warm up are seen to respond well to: that much they
    /// can do by now. So what they are sent grows by a factor each time it is borne. Of the members of a
    /// warming set, each stands for several limiters.
    fn throughput_of_cold(&mut self, now: Millis, settings: &Settings) -> f64 {
        let Endpoints { by_id, responsive, warming_here, num_examined, .. } = self;
        *num_examined += responsive.len() as u64;
        let records = responsive.intersection(warming_here).filter_map(|server| by_id.get(server));
        let at_full_capacity = records.filter_map(|record| {
            let fraction = record.slow_start.capacity_fraction(now, settings)?;
            Some(record.health.completions.rate(now) / fraction.max(MIN_CAPACITY_FRACTION))
        });
        let sum: f64 = at_full_capacity.sum();
        sum / warming_here.len().max(1) as f64 / limiters_per_member(settings)
    }

    /// Good responses a second of the warm servers in service. Most servers of a large fleet have never
    /// responded here.
    fn warm_responses_per_s(&mut self, now: Millis) -> f64 {
        let Endpoints { by_id, responsive, num_examined, .. } = self;
        *num_examined += responsive.len() as u64;
        let records = responsive.iter().filter_map(|server| by_id.get(server));
        let warm = records.filter(|record| record.is_warm_and_serving());
        // Summed in the order of the ids, so that the same events give the same sum.
        warm.map(|record| record.health.completions.rate(now)).fold(0.0, |sum, rate| sum + rate)
    }
}
