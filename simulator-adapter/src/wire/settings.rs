//! The settings of an instance, in the JSON form of the simulator and of the configuration file of the
//! program `limiter`. Times are in milliseconds and costs in quota units.

use limiter_core::Millis;
use serde::Deserialize;

/// The settings of an instance.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct InstanceSettings {
    /// Number of limiters in front of the servers.
    #[serde(rename = "Balancers")]
    pub(crate) limiters: u32,
    /// Position of this limiter among the limiters, starting at 0.
    pub(crate) position: u32,
    /// Name of the zone of this limiter.
    pub(crate) zone: String,
    /// Names of all zones.
    #[serde(rename = "Dcs")]
    pub(crate) zones: Vec<String>,
    /// Shortest time between two deliveries of events.
    #[serde(rename = "RoundMs")]
    pub(crate) event_interval_ms: Millis,
    /// How the limiter receives the endpoint list.
    pub(crate) discovery: DiscoveryMode,
    /// The request classes.
    pub classes: Vec<ClassSettings>,
    /// The plans.
    #[serde(rename = "TiersOfService")]
    pub(crate) plans: Vec<PlanSettings>,
    /// What the site supports and allows.
    #[serde(rename = "Bounds")]
    pub capabilities: SiteCapabilities,
    /// How servers warm up after a start.
    #[serde(rename = "Obligations")]
    pub(crate) slow_start: SlowStartSettings,
    /// Parameters of this service.
    #[serde(rename = "Domain")]
    pub service: ServiceSettings,
}

/// How the limiter receives the endpoint list.
#[derive(Deserialize, PartialEq, Clone, Copy)]
pub(crate) enum DiscoveryMode {
    /// An agent pushes the list.
    #[serde(rename = "automatic")]
    Push,
    /// The limiter subscribes to the list.
    #[serde(rename = "subscribe")]
    Subscribe,
}

/// A class of requests.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ClassSettings {
    /// The name.
    pub(crate) name: String,
    /// A response within this time, in milliseconds, has its full value.
    #[serde(rename = "AimMs")]
    pub latency_objective_ms: Millis,
    /// Whether a request may be executed more than once.
    #[serde(rename = "Effect")]
    pub(crate) idempotency: IdempotencyKind,
    /// Which servers share the deduplication of requests; required with [`IdempotencyKind::WithKey`].
    #[serde(rename = "KeyScope")]
    pub(crate) dedup_scope: Option<DedupScopeKind>,
    /// Fraction of its full value that a response has after the latency objective.
    #[serde(rename = "LateWorth", default)]
    pub late_value: f64,
    /// For how long servers drop duplicates.
    #[serde(rename = "WindowMs", default)]
    pub(crate) dedup_window_ms: Millis,
    /// Longest time, in milliseconds, that a client waits for a response; absent if the settings name none.
    pub deadline_ms: Option<Millis>,
}

/// Whether a request may safely be executed more than once.
#[derive(Deserialize, Clone, Copy)]
pub(crate) enum IdempotencyKind {
    #[serde(rename = "read_like")]
    Idempotent,
    #[serde(rename = "idempotency_key")]
    WithKey,
    #[serde(rename = "non_idempotent")]
    NonIdempotent,
}

/// Which servers share their records of seen idempotency keys.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub(crate) enum DedupScopeKind {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A plan, which sets the quotas of each of its customers. An absent quota or ceiling is 0 and does not
/// apply.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct PlanSettings {
    /// The name.
    pub name: String,
    /// Units a second of the quota.
    pub rate: f64,
    /// Capacity of the quota's token bucket in units.
    #[serde(rename = "StoreSize")]
    pub burst: f64,
    /// Largest number of attempts in flight.
    #[serde(rename = "AtOnce")]
    pub max_in_flight: u32,
    /// Units a second of the hard ceiling.
    #[serde(rename = "HardRate")]
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's token bucket in units.
    #[serde(rename = "NeverOverDepth")]
    pub ceiling_burst: f64,
    /// Units by which the ceiling's token bucket may be overdrawn.
    pub ceiling_slack: f64,
}

/// What a site supports and allows. An absent capability is not available.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SiteCapabilities {
    /// Largest number of attempts for one request, including the first.
    #[serde(rename = "MostTries")]
    pub(crate) max_attempts: u32,
    /// Timeout for connecting to a server.
    #[serde(rename = "DialTimeoutMs")]
    pub(crate) connect_timeout_ms: Millis,
    /// Whether health checks may be sent to servers; limiters send none.
    #[serde(rename = "Probes", default)]
    #[expect(dead_code, reason = "parsed to find malformed values")]
    pub(crate) can_send_health_checks: bool,
    /// Whether gossip messages may be sent to other limiters.
    #[serde(rename = "MayTell", default)]
    pub(crate) can_gossip: bool,
    /// Whether attempts may be cancelled.
    #[serde(rename = "Cancelling", default)]
    pub(crate) can_cancel: bool,
    /// Whether rejections may carry a `Retry-After` header.
    #[serde(rename = "RetryAfter", default)]
    pub(crate) can_send_retry_after: bool,
    /// Idle time, in milliseconds, after which a server closes a connection; absent on sites without
    /// connections.
    #[serde(rename = "IdleCloseMs")]
    pub server_idle_timeout_ms: Option<Millis>,
}

/// How servers warm up after a start.
#[derive(Deserialize)]
pub(crate) struct SlowStartSettings {
    /// Smallest capacity of a server that has just started, as a fraction of its full capacity.
    #[serde(rename = "StartCapacity")]
    pub cold_capacity_fraction: f64,
    /// Time after its start at which a server has its full capacity.
    #[serde(rename = "ColdMs")]
    pub slow_start_ms: Millis,
    /// Sustained load that makes a server fail during slow start, as a multiple of its capacity at the time.
    #[serde(rename = "FallMultiple")]
    pub overload_factor: f64,
    /// How long an overload has to last to make a server fail during slow start.
    #[serde(rename = "TipAfterMs")]
    pub overload_ms: Millis,
}

/// Parameters of the service.
#[derive(Deserialize)]
pub struct ServiceSettings {
    /// Gossip messages per second that one limiter accepts.
    #[serde(rename = "MailPerS")]
    pub(crate) gossip_messages_per_s: f64,
    /// Largest number of units that one request may cost; absent if the settings name none.
    #[serde(rename = "UnitsTop")]
    pub max_request_units: Option<f64>,
}
