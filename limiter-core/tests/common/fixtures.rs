//! Settings, servers, requests and events that the tests share.

use std::sync::Arc;

use limiter_core::*;

/// Index of the class of [`settings`] whose requests are idempotent.
pub const IDEMPOTENT: usize = 0;
/// Index of the class of [`settings`] whose requests have an idempotency key.
pub const WITH_KEY: usize = 1;
/// Index of the class of [`settings`] whose requests are not idempotent.
pub const NON_IDEMPOTENT: usize = 2;

/// Index of the plan of [`settings`] with a rate quota.
pub const WITH_RATE: usize = 0;
/// Index of the plan of [`settings`] with a hard ceiling.
pub const WITH_CEILING: usize = 1;
/// Index of the plan of [`settings`] with a quota on attempts in flight.
pub const WITH_MAX_IN_FLIGHT: usize = 2;
/// Index of the plan of [`settings`] without any quota.
pub const UNLIMITED: usize = 3;

/// Number of limiters in a deployment with [`settings`].
pub const LIMITERS: u32 = 3;

/// Returns a class with a latency objective of 1 s and a deduplication window of 3 s over all servers.
fn class(idempotency: Idempotency, late_value: f64) -> RequestClass {
    RequestClass {
        latency_objective_ms: 1000.0,
        late_value,
        idempotency,
        dedup_scope: DedupScope::All,
        dedup_window_ms: 3000.0,
    }
}

/// A plan without any quota.
const NO_QUOTA: Plan = Plan {
    rate: 0.0,
    burst: 0.0,
    max_in_flight: 0,
    ceiling_rate: 0.0,
    ceiling_burst: 0.0,
    ceiling_slack: 0.0,
};

/// Returns the classes of [`settings`], in the order of their indexes. A late response has no value.
fn classes() -> Vec<RequestClass> {
    vec![
        class(Idempotency::Idempotent, 0.0),
        class(Idempotency::WithKey, 0.0),
        class(Idempotency::NonIdempotent, 0.0),
    ]
}

/// Returns the plans of [`settings`], in the order of their indexes.
fn plans() -> Vec<Plan> {
    let with_rate = Plan { rate: 6.0, burst: 12.0, ..NO_QUOTA };
    // The rate quota is far above the ceiling, so that only the ceiling is tested.
    let with_ceiling = Plan {
        rate: 60.0,
        burst: 300.0,
        ceiling_rate: 12.0,
        ceiling_burst: 60.0,
        ceiling_slack: 3.0,
        ..NO_QUOTA
    };
    let with_max_in_flight = Plan { max_in_flight: 6, ..NO_QUOTA };
    vec![with_rate, with_ceiling, with_max_in_flight, NO_QUOTA]
}

/// Returns the settings of one of three limiters. The constants above are the indexes of the classes and
/// plans.
pub fn settings(position: u32) -> Settings {
    Settings {
        limiters: LIMITERS,
        position,
        zone: 0,
        classes: classes(),
        plans: plans(),
        event_interval_ms: 4.0,
        max_attempts: 3,
        connect_timeout_ms: 250.0,
        can_gossip: true,
        can_cancel: true,
        can_send_retry_after: false,
        gossip_messages_per_s: 100.0,
        must_subscribe: false,
        cold_capacity_fraction: 0.2,
        slow_start_ms: 10_000.0,
        overload_factor: 3.0,
        overload_ms: 2000.0,
    }
}

/// Returns the settings of one of `limiters` limiters.
pub fn settings_among(limiters: u32, position: u32) -> Settings {
    Settings { limiters, ..settings(position) }
}

/// Returns the settings of the only limiter of a deployment.
pub fn settings_of_only_limiter() -> Settings {
    settings_among(1, 0)
}

/// Returns the id of server `n`.
pub fn server(n: u32) -> ServerId {
    Arc::from(format!("10.0.0.{n}:80"))
}

/// Returns a serving server that started long ago.
pub fn endpoint(n: u32) -> Endpoint {
    Endpoint {
        server: server(n),
        zone: 0,
        cell: 0,
        state: EndpointState::Serving,
        weight: 1.0,
        started_at: 0.0,
    }
}

/// Returns a server that is draining.
pub fn draining(n: u32) -> Endpoint {
    Endpoint { state: EndpointState::Draining, ..endpoint(n) }
}

/// Returns a serving server that started at a given time.
pub fn started_at(n: u32, started_at: Millis) -> Endpoint {
    Endpoint { started_at, ..endpoint(n) }
}

/// Returns a request of one unit. The customer is always the same, and all three limiters are members of its
/// quota.
pub fn request(id: RequestId, class: usize, plan: usize) -> Request {
    Request {
        id,
        class,
        plan,
        customer: 7,
        timeout_ms: 3000.0,
        waited_ms: 0.0,
        cost_units: 1.0,
        member_count: LIMITERS,
        first_member: 0,
    }
}

/// Returns the event that an attempt has ended. Only a good response finishes the request.
pub fn attempt_ended(id: RequestId, attempt: u32, outcome: Outcome, elapsed_ms: Millis) -> Event {
    let request_finished = outcome == Outcome::Ok;
    Event::AttemptEnded { id, attempt, outcome, elapsed_ms, request_finished, actual_units: None }
}

/// Returns the event that discovery has announced these servers, and that all other servers are unchanged.
pub fn endpoints_changed(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointsChanged { complete: false, endpoints: endpoints.into() }
}

/// Returns the event that discovery has announced the complete endpoint list.
pub fn endpoints_replaced(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointsChanged { complete: true, endpoints: endpoints.into() }
}
