//! The counters of the limiter, in the text format of Prometheus.

use std::fmt::Display;
use std::hash::Hash;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::{Metric, Registry};

use super::labels::{
    AttemptOutcome, ClientCloseReason, EvictedState, InvalidRequestReason, Invariant, ResponseOutcome,
    ServerConnectionOutcome, ShedReason, WatchEndReason,
};

/// Prefix of the name of each counter.
const NAME_PREFIX: &str = "limiter";

/// The limiter's counters. The encoder adds `_total` to each name.
pub struct Metrics {
    registry: CounterRegistry,
    /// Requests that were submitted to the core.
    pub requests: Counter,
    /// Submitted requests that have ended.
    pub responses: Family<ResponseOutcome, Counter>,
    /// Requests that were rejected before they were submitted.
    pub invalid_requests: Family<InvalidRequestReason, Counter>,
    /// Requests that were rejected before they were submitted, because client connections are scarce.
    pub shed_requests: Family<ShedReason, Counter>,
    /// Attempts that have ended.
    pub attempts: Family<AttemptOutcome, Counter>,
    /// Connections to servers that attempts requested.
    pub server_connections: Family<ServerConnectionOutcome, Counter>,
    /// Client connections that were accepted.
    pub client_connections_accepted: Counter,
    /// Client connections that were closed.
    pub client_connections_closed: Family<ClientCloseReason, Counter>,
    /// Client connections that were chosen to be evicted in favour of another one.
    pub client_connections_evicted: Family<EvictedState, Counter>,
    /// Watches on the endpoint list that have ended.
    pub endpoint_watches_ended: Family<WatchEndReason, Counter>,
    /// Gossip messages sent.
    pub gossip_messages_sent: Counter,
    /// Gossip messages received from known peers.
    pub gossip_messages_received: Counter,
    /// Stalls of the process.
    pub process_stalls: Counter,
    /// Violations of invariants. Expected to stay 0.
    pub invariant_violations: Family<Invariant, Counter>,
}

impl Metrics {
    /// Creates and registers all counters. Each starts at 0.
    pub fn new() -> Metrics {
        let mut registry = CounterRegistry::new();
        Metrics {
            requests: registry.add("requests", "Requests submitted"),
            responses: registry.add("responses", "Submitted requests that have ended"),
            invalid_requests: registry.add("invalid_requests", "Requests rejected before submission"),
            shed_requests: registry.add("shed_requests", "Requests shed before submission"),
            attempts: registry.add("attempts", "Attempts ended"),
            server_connections: registry.add("server_connections", "Connections requested by attempts"),
            client_connections_accepted: registry.add("client_connections_accepted", "Accepted connections"),
            client_connections_closed: registry.add("client_connections_closed", "Closed connections"),
            client_connections_evicted: registry.add("client_connections_evicted", "Evicted connections"),
            endpoint_watches_ended: registry.add("endpoint_watches_ended", "Endpoint watches ended"),
            gossip_messages_sent: registry.add("gossip_messages_sent", "Gossip messages sent"),
            gossip_messages_received: registry
                .add("gossip_messages_received", "Gossip messages received from peers"),
            process_stalls: registry.add("process_stalls", "Stalls of the process"),
            invariant_violations: registry.add("invariant_violations", "Violations of invariants"),
            registry,
        }
    }

    /// Counts one more event under a label.
    pub fn count<L: Copy + Eq + Hash>(family: &Family<L, Counter>, label: L) {
        family.get_or_create(&label).inc();
    }

    /// Counts and logs the violation of an invariant. The limiter continues to serve.
    pub fn record_violation(&self, invariant: Invariant, detail: &dyn Display) {
        Metrics::count(&self.invariant_violations, invariant);
        tracing::error!(%invariant, %detail, "invariant violated");
    }

    /// Writes one log event for each counter without a label, and one for each label value under which an
    /// event has been counted. The name and the label are in the notation of Prometheus.
    pub fn log_all(&self) {
        for line in self.text().lines().filter(|line| !line.starts_with('#')) {
            if let Some((name, value)) = line.rsplit_once(' ') {
                tracing::info!(%name, %value, "counter");
            }
        }
    }

    /// Returns all counters in the text format of Prometheus.
    pub(super) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry.registry);
        text
    }
}

/// The registry from which all counters are encoded.
struct CounterRegistry {
    registry: Registry,
}

impl CounterRegistry {
    fn new() -> CounterRegistry {
        CounterRegistry { registry: Registry::with_prefix(NAME_PREFIX) }
    }

    /// Registers a counter, or a family of counters, and returns it.
    fn add<M: Metric + Default + Clone>(&mut self, name: &str, help: &str) -> M {
        let counter = M::default();
        self.registry.register(name, help, counter.clone());
        counter
    }
}
