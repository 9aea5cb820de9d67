//! The deployment that a seed draws: request classes, plans, and the parameters of servers, clients and
//! gossip.

mod settings;

use std::time::Duration;

use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};

/// Zones of every deployment.
pub const ZONES: [&str; 2] = ["a", "b"];
/// Number of cells in every deployment.
pub const NUM_CELLS: u32 = 3;

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Several executions have the same effect as one.
    Idempotent,
    /// The request carries an idempotency key, and the servers of one scope drop duplicates within the
    /// deduplication window.
    WithKey(DedupScope),
    /// The request must not be executed more than once.
    NonIdempotent,
}

/// Deduplication scope: the servers that share one record of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A request class.
#[derive(Debug, Clone)]
pub struct RequestClass {
    /// The name in the settings and in request paths.
    pub name: &'static str,
    /// Whether a request of this class may be executed more than once.
    pub idempotency: Idempotency,
    /// The latency objective.
    pub latency_objective: Duration,
    /// Deduplication window: how long servers drop duplicates of an idempotency key.
    pub dedup_window: Duration,
    late_value: f64,
}

/// A plan, with or without a hard ceiling.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The name in the settings and in request headers.
    pub name: &'static str,
    settings: Value,
    /// The hard ceiling, if the plan has one.
    pub ceiling: Option<Ceiling>,
}

/// A hard ceiling on the units that all limiters together forward for one customer: a token bucket.
#[derive(Debug, Clone, Copy)]
pub struct Ceiling {
    /// Refill rate in units per second.
    pub rate: f64,
    /// Capacity of the bucket in units.
    pub burst: f64,
    /// Units by which the bucket may be overdrawn.
    pub slack: f64,
}

/// A deployment: the size of the fleet, the settings of the limiters, and the parameters of the environment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Number of limiters.
    pub limiters: usize,
    /// Number of servers at the start of the run.
    pub servers: usize,
    /// Request classes. Requests are distributed uniformly over them.
    pub classes: Vec<RequestClass>,
    /// Plans. Requests are distributed uniformly over them.
    pub plans: Vec<Plan>,
    /// Whether limiters subscribe to endpoint lists; otherwise an agent pushes the lists.
    pub subscribes: bool,
    /// Whether limiters may cancel attempts.
    pub can_cancel: bool,
    /// Requests per second of all clients together.
    pub rate_per_s: f64,
    /// Requests per second that a warm server can serve.
    pub capacity_per_s: f64,
    /// Fraction of the full capacity with which a server starts.
    pub initial_capacity_fraction: f64,
    /// Duration of slow start: the time from the start of a server until it reaches its full capacity.
    pub slow_start: Duration,
    /// Multiple of its current capacity at which a server in slow start fails.
    pub overload_factor: f64,
    /// Duration of an overload after which a server in slow start fails.
    pub overload_time: Duration,
    /// Timeout of a limiter's connects.
    pub connect_timeout: Duration,
    /// Idle time after which a server closes a connection.
    pub server_idle_timeout: Duration,
    /// Longest timeout of a client.
    pub max_timeout: Duration,
    /// Shortest timeout of a client.
    pub min_timeout: Duration,
    /// Longest delay of a gossip message.
    pub gossip_delay: Duration,
    /// Fraction of the gossip messages that are lost.
    pub gossip_loss: f64,
    /// Offset, in seconds, of the wall clocks of limiters that run with the fault injection library.
    pub clock_offset_s: i64,
}

/// Draws a duration of at least `min` and at most `max` milliseconds.
fn random_ms(rng: &mut StdRng, min: u64, max: u64) -> Duration {
    Duration::from_millis(rng.random_range(min..=max))
}

impl Deployment {
    /// Draws a deployment of the given size. The order of the draws must not change: each seed has to
    /// reproduce the same deployment.
    pub fn draw(rng: &mut StdRng, limiters: usize, servers: usize) -> Deployment {
        let dedup_window = random_ms(rng, 1500, 6000);
        let classes = draw_classes(rng, dedup_window);
        let rate_per_s = servers as f64 * rng.random_range(10.0..20.0);
        let clock_offsets_s = [0, 0, -10, 10, -3600, 3600];
        Deployment {
            limiters,
            servers,
            classes,
            plans: draw_plans(rng),
            subscribes: rng.random_bool(0.4),
            can_cancel: rng.random_bool(0.85),
            rate_per_s,
            capacity_per_s: rate_per_s / servers as f64 / rng.random_range(0.5..0.8),
            initial_capacity_fraction: rng.random_range(0.15..0.3),
            slow_start: random_ms(rng, 5000, 14_000),
            overload_factor: rng.random_range(2.5..4.0),
            overload_time: random_ms(rng, 1500, 2500),
            connect_timeout: random_ms(rng, 150, 1600),
            server_idle_timeout: random_ms(rng, 800, 6000),
            max_timeout: random_ms(rng, 2000, 4000),
            min_timeout: random_ms(rng, 300, 1000),
            gossip_delay: random_ms(rng, 5, 40),
            gossip_loss: rng.random_range(0.0..0.06),
            clock_offset_s: clock_offsets_s[rng.random_range(0..clock_offsets_s.len())],
        }
    }

    /// Returns the fraction of its full capacity that a server has at the given age.
    pub fn capacity_fraction(&self, age: Duration) -> f64 {
        let progress = (age.as_secs_f64() / self.slow_start.as_secs_f64()).min(1.0);
        self.initial_capacity_fraction + (1.0 - self.initial_capacity_fraction) * progress
    }

    /// Returns how many requests a server of the given age may receive within `overload_time` without a
    /// violation.
    ///
    /// Let N be the number of requests in `overload_time` that would overload the server according to the
    /// settings. The budget is N + 2 x sqrt(N) + 2 requests or, for N below 30, N + 3 x sqrt(N) + 3. The
    /// square root allows for requests that arrive at random. Both cases come from the requirements of the
    /// limiter (`docs/guarantees.md`, row "The load of all limiters on a cold server").
    pub fn slow_start_budget(&self, age: Duration) -> f64 {
        let capacity_per_s = self.capacity_per_s * self.capacity_fraction(age);
        let overload_requests = self.overload_factor * capacity_per_s * self.overload_time.as_secs_f64();
        if overload_requests < 30.0 {
            overload_requests + 3.0 * overload_requests.sqrt() + 3.0
        } else {
            overload_requests + 2.0 * overload_requests.sqrt() + 2.0
        }
    }
}

fn draw_classes(rng: &mut StdRng, dedup_window: Duration) -> Vec<RequestClass> {
    let kinds = [
        ("look", Idempotency::Idempotent),
        ("once", Idempotency::NonIdempotent),
        ("book", Idempotency::WithKey(DedupScope::All)),
        ("zoned", Idempotency::WithKey(DedupScope::Zone)),
        ("celled", Idempotency::WithKey(DedupScope::Cell)),
    ];
    let mut classes = Vec::new();
    for (name, idempotency) in kinds {
        let latency_objective = random_ms(rng, 800, 2000);
        let late_value = if rng.random_bool(0.5) { 0.0 } else { 0.2 };
        classes.push(RequestClass { name, idempotency, latency_objective, dedup_window, late_value });
    }
    classes
}

fn draw_plans(rng: &mut StdRng) -> Vec<Plan> {
    let rate = rng.random_range(2.0..6.0);
    let ceiling = Ceiling { rate: 4.0, burst: 12.0, slack: 3.0 };
    vec![
        Plan { name: "open", settings: json!({"Name": "open"}), ceiling: None },
        Plan {
            name: "rated",
            settings: json!({"Name": "rated", "Rate": rate, "StoreSize": rate * 3.0}),
            ceiling: None,
        },
        Plan {
            name: "counted",
            settings: json!({"Name": "counted", "Rate": 0.0, "StoreSize": 0.0, "AtOnce": 4}),
            ceiling: None,
        },
        Plan {
            name: "capped",
            settings: json!({
                "Name": "capped", "Rate": 20.0, "StoreSize": 60.0, "HardRate": ceiling.rate,
                "NeverOverDepth": ceiling.burst, "CeilingSlack": ceiling.slack,
            }),
            ceiling: Some(ceiling),
        },
    ]
}
