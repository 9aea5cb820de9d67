//! Counters of what the limiter does, in the text format of Prometheus.

use std::fmt::Display;
use std::hash::Hash;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::{Metric, Registry};

use super::labels::{
    AttemptOutcome, ClientCloseReason, InvalidRequestReason, Invariant, ResponseOutcome,
    ServerConnectionOutcome, WatchEndReason,
};

/// The first part of each counter's name.
const NAME_PREFIX: &str = "limiter";

/// The limiter's counters. The encoder adds `_total` to each name.
pub struct Metrics {
    registry: Registry,
    /// Requests that were submitted to the decisions.
    pub requests: Counter,
    /// Ends of submitted requests.
    pub responses: Family<ResponseOutcome, Counter>,
    /// Requests that were rejected before they were submitted.
    pub invalid_requests: Family<InvalidRequestReason, Counter>,
    /// Attempts that have ended.
    pub attempts: Family<AttemptOutcome, Counter>,
    /// Connections to servers that attempts asked for.
    pub server_connections: Family<ServerConnectionOutcome, Counter>,
    /// Client connections that were accepted.
    pub client_connections_accepted: Counter,
    /// Client connections that were closed.
    pub client_connections_closed: Family<ClientCloseReason, Counter>,
    /// Watches on the endpoint list that have ended.
    pub endpoint_watches_ended: Family<WatchEndReason, Counter>,
    /// Gossip messages sent.
    pub gossip_messages_sent: Counter,
    /// Gossip messages received from known peers.
    pub gossip_messages_received: Counter,
    /// Stalls of the process.
    pub process_stalls: Counter,
    /// Violations of invariants. There should never be one.
    pub invariant_violations: Family<Invariant, Counter>,
}

impl Metrics {
    /// Returns counters that all stand at 0.
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix(NAME_PREFIX);
        let requests = register(&mut registry, "requests", "Requests submitted");
        let responses = register(&mut registry, "responses", "Ends of submitted requests");
        let invalid_requests =
            register(&mut registry, "invalid_requests", "Requests rejected before they were submitted");
        let attempts = register(&mut registry, "attempts", "Attempts that have ended");
        let server_connections =
            register(&mut registry, "server_connections", "Connections to servers that attempts asked for");
        let client_connections_accepted =
            register(&mut registry, "client_connections_accepted", "Client connections accepted");
        let client_connections_closed =
            register(&mut registry, "client_connections_closed", "Client connections closed");
        let endpoint_watches_ended =
            register(&mut registry, "endpoint_watches_ended", "Watches on the endpoint list that have ended");
        let gossip_messages_sent = register(&mut registry, "gossip_messages_sent", "Gossip messages sent");
        let gossip_messages_received =
            register(&mut registry, "gossip_messages_received", "Gossip messages received from known peers");
        let process_stalls = register(&mut registry, "process_stalls", "Stalls of the process");
        let invariant_violations =
            register(&mut registry, "invariant_violations", "Violations of invariants");
        Metrics {
            registry,
            requests,
            responses,
            invalid_requests,
            attempts,
            server_connections,
            client_connections_accepted,
            client_connections_closed,
            endpoint_watches_ended,
            gossip_messages_sent,
            gossip_messages_received,
            process_stalls,
            invariant_violations,
        }
    }

    /// Counts one more event under a label.
    pub fn count<L>(family: &Family<L, Counter>, label: L)
    where
        L: Clone + Eq + Hash,
    {
        family.get_or_create(&label).inc();
    }

    /// Counts and logs the violation of an invariant. The limiter continues to serve.
    pub fn record_violation(&self, invariant: Invariant, detail: &dyn Display) {
        Metrics::count(&self.invariant_violations, invariant);
        tracing::error!(%invariant, %detail, "invariant violated");
    }

    /// Writes one log event for each counter and label that has counted something, with the name and the label in the
    /// notation of Prometheus.
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
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Adds a counter to the registry, and returns it.
fn register<M>(registry: &mut Registry, name: &str, help: &str) -> M
where
    M: Metric + Default + Clone,
{
    let counter = M::default();
    registry.register(name, help, counter.clone());
    counter
}
