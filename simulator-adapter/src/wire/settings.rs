//! The settings of an instance, in the JSON form of the simulator and of the configuration file of the
//! program `limiter`. Times are milliseconds, costs quota units.

use limiter_core::Millis;
use serde::Deserialize;

/// The settings of an instance.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct InstanceSettings {
    /// Number of limiters in front of the servers.
    #[serde(rename = "Balancers")]
    pub(crate) limiters: u32,
    /// Position of this limiter among them, starting at 0.
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
    /// Which servers drop duplicates together; required with [`IdempotencyKind::WithKey`].
    #[serde(rename = "KeyScope")]
    pub(crate) dedup_scope: Option<DedupScopeKind>,
    /// Fraction of its value that a response after the latency objective still has.
    #[serde(rename = "LateWorth", default)]
    pub late_value: f64,
    /// For how long servers drop duplicates.
    #[serde(rename = "WindowMs", default)]
    pub(crate) dedup_window_ms: Millis,
    /// How long, in milliseconds, a client waits at most, where the settings say so.
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

/// Which servers share the record of the idempotency keys that they have seen.
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

/// A plan: the quotas of each customer on it. A quota or ceiling that is left out is 0 and does not apply.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct PlanSettings {
    /// The name.
    pub name: String,
    /// Units a second.
    pub rate: f64,
    /// Capacity of the quota's token bucket in units.
    #[serde(rename = "StoreSize")]
    pub burst: f64,
    /// Attempts in flight at once.
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

/// What a site supports and allows. A capability that is left out is not available.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SiteCapabilities {
    /// Most attempts for one request, the first included.
    #[serde(rename = "MostTries")]
    pub(crate) max_attempts: u32,
    /// Timeout of a connect to a server.
    #[serde(rename = "DialTimeoutMs")]
    pub(crate) connect_timeout_ms: Millis,
    /// Health checks may be sent to servers; limiters send none.
    #[serde(rename = "Probes", default)]
    #[expect(dead_code, reason = "parsed to find malformed values")]
    pub(crate) can_probe: bool,
    /// Gossip messages may be sent to other limiters.
    #[serde(rename = "MayTell", default)]
    pub(crate) can_gossip: bool,
    /// Attempts may be cancelled.
    #[serde(rename = "Cancelling", default)]
    pub(crate) can_cancel: bool,
    /// Rejections may carry a `Retry-After`.
    #[serde(rename = "RetryAfter", default)]
    pub(crate) can_send_retry_after: bool,
    /// A server closes a connection after this idle time in milliseconds; absent on sites without
    /// connections.
    #[serde(rename = "IdleCloseMs")]
    pub server_idle_timeout_ms: Option<Millis>,
}

/// How servers warm up after a start.
#[derive(Deserialize)]
pub(crate) struct SlowStartSettings {
    /// Minimum fraction of its capacity that a server has when it starts.
    #[serde(rename = "StartCapacity")]
    pub cold_capacity_fraction: f64,
    /// Time after its start at which a server has its full capacity.
    #[serde(rename = "ColdMs")]
    pub slow_start_ms: Millis,
    /// A server in slow start fails under a sustained load of this multiple of its present capacity.
    #[serde(rename = "FallMultiple")]
    pub overload_factor: f64,
    /// How long an overload lasts before a server in slow start fails.
    #[serde(rename = "TipAfterMs")]
    pub overload_ms: Millis,
}

/// Parameters of the service.
#[derive(Deserialize)]
pub struct ServiceSettings {
    /// Gossip messages per second that one limiter accepts.
    #[serde(rename = "MailPerS")]
    pub(crate) gossip_messages_per_s: f64,
    /// Most units that one request may cost, where the settings say so.
    #[serde(rename = "UnitsTop")]
    pub max_request_units: Option<f64>,
}
