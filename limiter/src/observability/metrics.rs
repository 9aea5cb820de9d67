//! Counters of what the limiter does, in the text form of Prometheus.

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// What an event is counted under.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct Label {
    /// How it went, or why it ended.
    kind: &'static str,
}

/// Counts events by kind.
type Kinds = Family<Label, Counter>;

/// The limiter's counters.
pub struct Metrics {
    registry: Registry,
    /// Final responses of submitted requests.
    pub responses: Kinds,
    /// Requests that were rejected before they were submitted.
    pub bad_requests: Kinds,
    /// Attempts that have ended.
    pub attempts: Kinds,
    /// Connections to servers.
    pub server_connections: Kinds,
    /// Connections of clients that were closed.
    pub client_connections_closed: Kinds,
    /// Watches on the endpoint list that have ended.
    pub watches_ended: Kinds,
    /// Rules that were broken; none ever should be.
    pub violations: Kinds,
    /// Connections of clients that were accepted.
    pub client_connections: Counter,
    /// Requests that were submitted.
    pub requests: Counter,
    /// Gossip messages sent.
    pub gossip_sent: Counter,
    /// Gossip messages received.
    pub gossip_received: Counter,
    /// Times in which the process got no processor time.
    pub hold_ups: Counter,
}

impl Metrics {
    /// Counters that all stand at 0.
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix("limiter");
        let metrics = Metrics {
            responses: Family::default(),
            bad_requests: Family::default(),
            attempts: Family::default(),
            server_connections: Family::default(),
            client_connections_closed: Family::default(),
            watches_ended: Family::default(),
            violations: Family::default(),
            client_connections: Counter::default(),
            requests: Counter::default(),
            gossip_sent: Counter::default(),
            gossip_received: Counter::default(),
            hold_ups: Counter::default(),
            registry: Registry::default(),
        };
        let kinds = [
            ("responses", "Final responses of submitted requests", &metrics.responses),
            ("bad_requests", "Requests rejected before they were submitted", &metrics.bad_requests),
            ("attempts", "Attempts that have ended", &metrics.attempts),
            ("server_connections", "Connections to servers", &metrics.server_connections),
            ("client_connections_closed", "Client connections closed", &metrics.client_connections_closed),
            ("watches_ended", "Watches on the endpoint list that ended", &metrics.watches_ended),
            ("violations", "Rules that were broken", &metrics.violations),
        ];
        for (name, help, family) in kinds {
            registry.register(name, help, family.clone());
        }
        let counters = [
            ("client_connections", "Client connections accepted", &metrics.client_connections),
            ("requests", "Requests submitted", &metrics.requests),
            ("gossip_sent", "Gossip messages sent", &metrics.gossip_sent),
            ("gossip_received", "Gossip messages received", &metrics.gossip_received),
            ("hold_ups", "Times without processor time", &metrics.hold_ups),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        Metrics { registry, ..metrics }
    }

    /// Counts one more of a kind.
    pub fn count(family: &Kinds, kind: &'static str) {
        family.get_or_create(&Label { kind }).inc();
    }

    /// A rule was broken: counts and logs it. The limiter goes on.
    pub fn violation(&self, rule: &'static str, detail: &dyn std::fmt::Display) {
        Metrics::count(&self.violations, rule);
        tracing::error!(rule, %detail, "rule violated");
    }

    /// All counters, one a line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
