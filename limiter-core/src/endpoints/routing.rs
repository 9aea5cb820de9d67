//! Routing: the choice of the server for an attempt.
//!
//! Each limiter uses a subset of the servers. The limiter walks the ring of server ids, from a starting point
//! that is computed from its position, until it has found enough warm servers that may receive the request.
//! Among the candidates, the limiter picks the one with the lowest predicted latency. Servers in slow start
//! are candidates regardless of their place in the ring if the limiter belongs to their warming set.

use super::record::EndpointRecord;
use super::registry::Endpoints;
use crate::context::Context;
use crate::event::{Millis, ServerId};
use crate::request::PendingRequest;
use crate::settings::{DedupScope, Idempotency, Settings};

/// Number of limiters that use one warm server. The number is small so that each of these limiters receives
/// enough responses of the server to learn soon whether the server is slow.
const LIMITERS_PER_SERVER: f64 = 8.0;
/// Smallest number of servers that a limiter uses, so that there is an alternative to a server that fails.
const MIN_SUBSET_SIZE: f64 = 2.0;
/// Minimum weight of a server in the predicted latency. Prevents a division by an announced weight of 0.
const MIN_WEIGHT: f64 = 0.1;
/// Factor on the predicted latency of a server in another zone: a mild preference for the local zone.
const CROSS_ZONE_FACTOR: f64 = 1.05;
/// Factor on the predicted latency of a last resort (see [`Candidate::is_last_resort`]). Far larger than the
/// ratio between the latencies of two servers, so that every other server is preferred.
const LAST_RESORT_FACTOR: f64 = 1e6;
/// Largest random increase of a predicted latency, as a fraction of that latency. Distributes the requests
/// among equal servers.
const JITTER_FRACTION: f64 = 0.1;
/// Factor on the error rate in the predicted latency: errors multiply the latency by
/// `1 + ERROR_RATE_FACTOR * error_rate`.
const ERROR_RATE_FACTOR: f64 = 4.0;

/// A server that may receive the attempt.
#[derive(Debug)]
struct Candidate {
    /// Predicted latency, including all factors and the random increase.
    latency_ms: Millis,
    /// The server is ejected, or the previous attempt of the request was sent to it.
    is_last_resort: bool,
    /// The server is in slow start.
    is_warming: bool,
}

/// The state of the search for a server.
#[derive(Debug, Default)]
struct Search {
    /// Number of candidates so far that are warm and not a last resort.
    num_warm: usize,
    /// Lowest predicted latency of the candidates so far.
    best_latency_ms: Millis,
    /// The candidate with that latency.
    best: Option<ServerId>,
}

impl Search {
    /// Adds a candidate. If two candidates have the same latency, the one that was added first remains the
    /// best.
    fn add(&mut self, server: &ServerId, candidate: &Candidate) {
        if self.best.is_none() || candidate.latency_ms < self.best_latency_ms {
            self.best_latency_ms = candidate.latency_ms;
            self.best = Some(server.clone());
        }
        if !candidate.is_last_resort && !candidate.is_warming {
            self.num_warm += 1;
        }
    }
}

/// Returns the number of warm servers that each limiter uses.
fn subset_size(num_servers: usize, limiters: u32) -> usize {
    (LIMITERS_PER_SERVER * num_servers as f64 / f64::from(limiters)).max(MIN_SUBSET_SIZE) as usize
}

impl Endpoints {
    /// Returns the server for the next attempt of a request: the one with the lowest predicted latency in the
    /// subset of this limiter. Returns `None` if no server may receive the request now.
    ///
    /// Servers in slow start outside of the subset are also considered if this limiter belongs to their
    /// warming set: otherwise, its part of their budget would not be used.
    pub(crate) fn pick_server(
        &mut self,
        context: &mut Context,
        request: &PendingRequest,
    ) -> Option<ServerId> {
        let now = context.now;
        let num_servers = self.ring.len();
        let subset_size = subset_size(num_servers, context.settings.limiters);
        let first = self.ring.first_index(context.settings.position);
        let mut search = Search::default();
        let mut num_visited = 0;
        while num_visited < num_servers && search.num_warm < subset_size {
            let server = self.ring.server_at(first, num_visited).clone();
            self.consider_server(context, request, &server, &mut search);
            num_visited += 1;
        }
        // Includes the servers of other warming sets when one of their slow starts may have ended: a server
        // is a candidate as soon as its slow start has ended.
        let warming_outside_subset =
            self.ring.not_visited(first, num_visited, self.slow_starts.due_for_refill(now));
        for server in warming_outside_subset {
            self.consider_server(context, request, &server, &mut search);
        }
        self.update_next_slow_start_end(now, &context.settings);
        search.best
    }

    /// Adds a server to the candidates if the server may receive the request.
    fn consider_server(
        &mut self,
        context: &mut Context,
        request: &PendingRequest,
        server: &ServerId,
        search: &mut Search,
    ) {
        let Some(record) = self.by_id.get_mut(server) else { return };
        self.num_examined += 1;
        let was_warming = record.slow_start.is_warming();
        let may_receive = record.may_receive_attempt(context.now, self.warm_throughput, &context.settings);
        let is_warming = record.slow_start.is_warming();
        if may_receive && satisfies_dedup_scope(request, record, &context.settings) {
            let candidate = record.evaluate(context, request, self.baseline_latency.value_ms());
            search.add(server, &candidate);
        }
        if was_warming && !is_warming {
            self.record_slow_start_end(server);
        }
    }
}

impl EndpointRecord {
    /// Returns whether a new attempt may be sent to this server: it is serving, neither at capacity nor
    /// unresponsive, and has budget left if it is in slow start. Refills the budget, or ends the slow start.
    fn may_receive_attempt(&mut self, now: Millis, warm_throughput: f64, settings: &Settings) -> bool {
        if !self.is_serving() || self.health.is_unavailable(now, self.in_flight) {
            return false;
        }
        self.slow_start.refill(now, warm_throughput, settings);
        self.slow_start.allows_request()
    }

    /// Returns this server as a candidate for a request. Draws a random number unless the server is a last
    /// resort.
    fn evaluate(&self, context: &mut Context, request: &PendingRequest, baseline_ms: Millis) -> Candidate {
        let is_last_server = request.last_server.as_ref() == Some(&self.endpoint.server);
        let is_last_resort = self.health.is_ejected(context.now) || is_last_server;
        let factor =
            if is_last_resort { LAST_RESORT_FACTOR } else { 1.0 + JITTER_FRACTION * context.rng.f64() };
        let predicted_ms = self.predicted_latency_ms(context.now, baseline_ms, context.settings.zone);
        Candidate {
            latency_ms: predicted_ms * factor,
            is_last_resort,
            is_warming: self.slow_start.is_warming(),
        }
    }

    /// Returns the predicted latency of one more request at this server, for a limiter in `zone`. Includes
    /// the factors for another zone and for errors.
    fn predicted_latency_ms(&self, now: Millis, baseline_ms: Millis, zone: u32) -> Millis {
        let latency_ms = self.health.usual_latency_ms(now, baseline_ms).max(1.0);
        let zone_factor = if self.endpoint.zone == zone { 1.0 } else { CROSS_ZONE_FACTOR };
        let load = f64::from(self.in_flight + 1) / self.endpoint.weight.max(MIN_WEIGHT);
        load * latency_ms * zone_factor * (1.0 + ERROR_RATE_FACTOR * self.health.error_rate)
    }
}

/// Returns whether the server drops the request as a duplicate if an earlier attempt was executed. Returns
/// true also if this is not necessary: for a request without an idempotency key, and for one that no server
/// can have executed yet.
fn satisfies_dedup_scope(request: &PendingRequest, record: &EndpointRecord, settings: &Settings) -> bool {
    let class = &settings.classes[request.request.class];
    let Some(execution) = request.possible_execution else { return true };
    if class.idempotency != Idempotency::WithKey {
        return true;
    }
    match class.dedup_scope {
        DedupScope::All => true,
        DedupScope::Zone => record.endpoint.zone == execution.location.zone,
        DedupScope::Cell => record.endpoint.cell == execution.location.cell,
    }
}
