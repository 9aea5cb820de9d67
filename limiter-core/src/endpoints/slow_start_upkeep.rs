//! The periodic update of all slow starts by the control step.

use super::record::EndpointRecord;
use super::registry::Endpoints;
use crate::context::Context;
use crate::event::{Millis, ServerId};
use crate::settings::Settings;

impl Endpoints {
    /// Measures the throughput of warm servers, and refills the budgets of the servers in slow start at rates
    /// computed from that throughput. Ends the slow starts whose duration has passed.
    pub(crate) fn update_slow_start(&mut self, context: &Context) {
        self.measure_warm_throughput(context);
        let due: Vec<ServerId> = self.slow_starts.due_for_refill(context.now).iter().cloned().collect();
        for server in &due {
            self.refill_slow_start(server, context.now, &context.settings);
        }
        self.update_next_slow_start_end(context.now, &context.settings);
    }

    /// Refills the budget of one server, or ends its slow start.
    fn refill_slow_start(&mut self, server: &ServerId, now: Millis, settings: &Settings) {
        let Some(record) = self.by_id.get_mut(server) else { return };
        self.num_examined += 1;
        record.slow_start.refill(now, self.warm_throughput, settings);
        if !record.slow_start.is_warming() {
            self.record_slow_start_end(server);
        }
    }

    /// Records that the slow start of a server has ended: updates the indexes over the records.
    pub(super) fn record_slow_start_end(&mut self, server: &ServerId) {
        let is_warm = self.by_id.get(server).is_some_and(EndpointRecord::is_warm_and_serving);
        self.update_num_warm(false, is_warm);
        self.slow_starts.remove(server);
    }

    /// Recomputes the end of the next slow start whose warming set this limiter does not belong to, once the
    /// end known so far has passed. Must be called after the servers that are due for a refill have been
    /// refilled.
    pub(super) fn update_next_slow_start_end(&mut self, now: Millis, settings: &Settings) {
        let by_id = &self.by_id;
        self.slow_starts.update_next_end(now, |server| by_id.get(server)?.slow_start.ends_at(settings));
    }
}
