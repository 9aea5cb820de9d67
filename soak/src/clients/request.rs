//! The requests that clients send.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;

use crate::deployment::{Deployment, Idempotency};
use crate::http::Message;
use crate::record::{Outcome, RequestId};

/// Number of customers on each plan.
const CUSTOMERS_PER_PLAN: u64 = 12;
/// Distance between the customer ids of two plans.
const CUSTOMER_ID_STEP: u64 = 100;
/// Maximum number of limiters that receive the requests of one customer.
const MAX_MEMBERS: usize = 4;
/// Fraction of the requests with a very short timeout.
const SHORT_TIMEOUT_FRACTION: f64 = 0.01;
/// Body of each POST request.
const BODY: &str = "order";

/// A client's request, as drawn before it is sent.
pub struct RequestSpec {
    /// The request id.
    pub id: RequestId,
    /// Index of the request class.
    pub class: usize,
    /// Index of the plan.
    pub plan: usize,
    /// The customer id.
    pub customer: u64,
    /// Estimated cost in quota units.
    pub units: u32,
    /// How long the client waits for the response.
    pub timeout: Duration,
    /// Number of members of the customer's quota.
    pub num_members: usize,
    /// Position of the first member.
    pub first_member: usize,
}

impl RequestSpec {
    /// Draws a request for a customer of `num_limiters` running limiters.
    pub fn draw(
        id: RequestId,
        deployment: &Deployment,
        num_limiters: usize,
        rng: &mut SmallRng,
    ) -> RequestSpec {
        let plan = rng.random_range(0..deployment.plans.len());
        let customer = rng.random_range(0..CUSTOMERS_PER_PLAN) + CUSTOMER_ID_STEP * plan as u64;
        let timeout_ms = if rng.random_bool(SHORT_TIMEOUT_FRACTION) {
            rng.random_range(15..60)
        } else {
            let min_ms = deployment.min_timeout.as_millis();
            let max_ms = deployment.max_timeout.as_millis();
            rng.random_range(min_ms..=max_ms) as u64
        };
        RequestSpec {
            id,
            class: rng.random_range(0..deployment.classes.len()),
            plan,
            customer,
            units: rng.random_range(1..=3),
            timeout: Duration::from_millis(timeout_ms),
            num_members: num_limiters.min(MAX_MEMBERS),
            first_member: customer as usize % num_limiters,
        }
    }

    /// Returns the HTTP message of the request.
    pub fn to_http(&self, deployment: &Deployment) -> String {
        let class = &deployment.classes[self.class];
        let is_idempotent = class.idempotency == Idempotency::Idempotent;
        let method = if is_idempotent { "GET" } else { "POST" };
        let body = if is_idempotent { "" } else { BODY };
        let key = match class.idempotency {
            Idempotency::WithKey(_) => format!("Idempotency-Key: k-{}\r\n", self.id),
            Idempotency::Idempotent | Idempotency::NonIdempotent => String::new(),
        };
        let length = match body.len() {
            0 => String::new(),
            length => format!("Content-Length: {length}\r\n"),
        };
        format!(
            "{method} /{}/{:016x} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: r-{}\r\nX-Tariff: {}\r\n\
             X-Time-Left: {:.3}\r\nX-Weight: units={},spread={},first={}\r\n{key}{length}\r\n{body}",
            class.name,
            self.customer,
            self.id,
            deployment.plans[self.plan].name,
            self.timeout.as_secs_f64(),
            self.units,
            self.num_members,
            self.first_member,
        )
    }

    /// Returns the outcome of the request for a complete response.
    pub fn outcome(&self, response: &Message) -> Outcome {
        let expected_prefix = format!("r-{}:", self.id);
        let has_expected_body =
            response.status != 200 || response.body.starts_with(expected_prefix.as_bytes());
        Outcome::Answered { status: response.status, has_expected_body }
    }
}
