//! The choice of a server for a request: subsets, predicted latency, zones, deduplication scopes.

use super::registry::{EndpointRecord, Endpoints};
use crate::context::Context;
use crate::event::{EndpointState, Millis, ServerId};
use crate::request::PendingRequest;
use crate::settings::{DedupScope, Idempotency, Settings};

/// Limiters that use one warm server: few, so that each soon learns which are slow.
const LIMITERS_PER_SERVER: f64 = 8.0;
/// Smallest number of servers that a limiter uses.
const MIN_SUBSET_SIZE: f64 = 2.0;
/// Golden ratio: neighbouring limiters, which share customers, start far apart in the list, and all evenly.
const SUBSET_STEP: f64 = 0.618_034;
/// Least weight of a server that counts.
const MIN_WEIGHT: f64 = 0.1;
/// Factor on the predicted latency in another zone, a mild preference.
const CROSS_ZONE_FACTOR: f64 = 1.05;
/// Factor on the predicted latency of an ejected or just tried server, the last choice.
const LAST_CHOICE_FACTOR: f64 = 1e6;
/// Largest random addition to a predicted latency, as a fraction: equal servers share the requests.
const JITTER_FRACTION: f64 = 0.1;
/// Weight of the error rate in the predicted latency.
const ERROR_RATE_FACTOR: f64 = 4.0;

/// The search for the best of the servers that are considered one after the other.
#[derive(Debug, Default)]
struct Search {
    /// Warm servers that were considered and are not a last choice.
    num_warm: usize,
    /// The least latency so far, and whose it is.
    best: Option<(Millis, ServerId)>,
}

impl Endpoints {
    /// The server with the least predicted latency among this limiter's subset of those that may have the
    /// request. A server that warms up is considered wherever it stands: its budget would go unused.
    pub(crate) fn pick(&mut self, context: &mut Context, request: &PendingRequest) -> Option<ServerId> {
        let (now, limiters) = (context.now, f64::from(context.settings.limiters));
        let count = self.ids_in_order.len();
        let first = self.first_of_subset(context.settings.position);
        let subset_size = (LIMITERS_PER_SERVER * count as f64 / limiters).max(MIN_SUBSET_SIZE) as usize;
        let (mut search, mut num_visited) = (Search::default(), 0);
        while num_visited < count && search.num_warm < subset_size {
            let server = self.ids_in_order[(first + num_visited) % count].clone();
            self.consider(context, request, &server, &mut search);
            num_visited += 1;
        }
        for server in self.warming_behind(now, first, num_visited) {
            self.consider(context, request, &server, &mut search);
        }
        self.slow_starts_refilled(now, &context.settings);
        search.best.map(|(_, server)| server)
    }

    /// Where the subset of the limiter at a position begins in the order of ids.
    fn first_of_subset(&self, position: u32) -> usize {
        ((f64::from(position) * SUBSET_STEP).fract() * self.ids_in_order.len() as f64) as usize
    }

    /// The servers that warm up and stand behind the visited ones in the ring of ids from `first` on, in its
    /// order.
    fn warming_behind(&self, now: Millis, first: usize, num_visited: usize) -> Vec<ServerId> {
        let (ids, warming) = (&self.ids_in_order, self.warming_to_consider(now));
        if num_visited >= ids.len() || warming.is_empty() {
            return Vec::new();
        }
        let (next, end) = (first + num_visited, &ids[first]);
        if next < ids.len() {
            warming.range(ids[next].clone()..).chain(warming.range(..end.clone())).cloned().collect()
        } else {
            warming.range(ids[next - ids.len()].clone()..end.clone()).cloned().collect()
        }
    }

    /// Keeps a server as the best one if it may have the request and none before is better.
    fn consider(
        &mut self,
        context: &mut Context,
        request: &PendingRequest,
        server: &ServerId,
        search: &mut Search,
    ) {
        let Context { settings, rng, now, .. } = context;
        let Some(record) = self.by_id.get_mut(server) else { return };
        self.num_examined += 1;
        let was_warming = record.slow_start.is_warming();
        let may_have_more = record.may_have_more(*now, self.warm_throughput, settings);
        let is_warming = record.slow_start.is_warming();
        if may_have_more && drops_duplicates_of(request, record, settings) {
            let is_last_choice =
                record.health.is_ejected(*now) || request.last_server.as_ref() == Some(server);
            let factor = if is_last_choice { LAST_CHOICE_FACTOR } else { 1.0 + JITTER_FRACTION * rng.f64() };
            let baseline_ms = self.baseline_latency_ms;
            let latency_ms = record.predicted_latency_ms(*now, baseline_ms, settings.zone) * factor;
            if search.best.as_ref().is_none_or(|(least_ms, _)| latency_ms < *least_ms) {
                search.best = Some((latency_ms, server.clone()));
            }
            search.num_warm += usize::from(!is_last_choice && !is_warming);
        }
        if was_warming && !is_warming {
            self.slow_start_ended(server);
        }
    }
}

impl EndpointRecord {
    /// Whether anything new may be sent there now: serving, not full or hanging, and with budget.
    fn may_have_more(&mut self, now: Millis, warm_throughput: f64, settings: &Settings) -> bool {
        if self.endpoint.state != EndpointState::Serving || self.health.is_unavailable(now, self.in_flight) {
            return false;
        }
        self.slow_start.refill(now, warm_throughput, settings);
        self.slow_start.has_budget()
    }

    /// Time that one more request is expected to take there.
    fn predicted_latency_ms(&self, now: Millis, baseline_ms: Millis, zone: u32) -> f64 {
        let latency_ms = self.health.usual_latency_ms(now, baseline_ms).max(1.0);
        let zone_factor = if self.endpoint.zone == zone { 1.0 } else { CROSS_ZONE_FACTOR };
        let load = f64::from(self.in_flight + 1) / self.endpoint.weight.max(MIN_WEIGHT);
        load * latency_ms * zone_factor * (1.0 + ERROR_RATE_FACTOR * self.health.error_rate)
    }
}

/// A request with a key that may have been executed stays among the servers that drop its duplicates.
fn drops_duplicates_of(request: &PendingRequest, record: &EndpointRecord, settings: &Settings) -> bool {
    let class = &settings.classes[request.request.class];
    let Some(execution) = request.possible_execution else { return true };
    match class.dedup_scope {
        _ if class.idempotency != Idempotency::WithKey => true,
        DedupScope::All => true,
        DedupScope::Zone => record.endpoint.zone == execution.location.zone,
        DedupScope::Cell => record.endpoint.cell == execution.location.cell,
    }
}
