//! Translates messages to events of `limiter-core`.

use std::sync::Arc;

use limiter_core::{CustomerId, Endpoint, EndpointState, Event, Outcome, Request};

use crate::error::MessageError;
use crate::names::{NameIndex, UnknownName};
use crate::wire::event::{AttemptEnd, EndpointCondition, EndpointEntry, OutcomeCode, RequestArrival};

/// Returns the request that has arrived.
///
/// # Errors
/// The class or plan is unknown, or the customer is not a number in hex digits.
pub(crate) fn request(arrival: &RequestArrival, names: &NameIndex) -> Result<Request, MessageError> {
    Ok(Request {
        id: arrival.request_id,
        class: names.class(&arrival.class)?,
        plan: names.plan(&arrival.plan)?,
        customer: parse_customer_id(&arrival.customer)?,
        timeout_ms: arrival.timeout_ms,
        waited_ms: 0.0,
        cost_units: arrival.cost_units,
        member_count: arrival.member_count,
        first_member: arrival.first_member,
    })
}

fn parse_customer_id(text: &str) -> Result<CustomerId, MessageError> {
    CustomerId::from_str_radix(text, 16).map_err(|_| MessageError::InvalidCustomer(text.to_string()))
}

/// Returns the event for the end of an attempt.
pub(crate) fn attempt_ended_event(end: &AttemptEnd) -> Event {
    Event::AttemptEnded {
        id: end.request_id,
        attempt: end.attempt,
        outcome: end.outcome.into(),
        elapsed_ms: end.elapsed_ms,
        request_finished: end.request_finished,
        actual_units: end.actual_units.filter(|units| *units > 0.0),
    }
}

/// Returns the endpoint of an announced server.
///
/// # Errors
/// The zone is unknown.
pub(crate) fn endpoint(entry: &EndpointEntry, names: &NameIndex) -> Result<Endpoint, UnknownName> {
    Ok(Endpoint {
        server: Arc::from(entry.server.as_str()),
        zone: names.zone(&entry.zone)?,
        cell: entry.cell.unwrap_or_default(),
        state: entry.state.into(),
        weight: entry.weight.unwrap_or_default(),
        started_at: entry.started_at_ms.unwrap_or_default(),
    })
}

impl From<EndpointCondition> for EndpointState {
    fn from(condition: EndpointCondition) -> EndpointState {
        match condition {
            EndpointCondition::Serving => EndpointState::Serving,
            EndpointCondition::Draining => EndpointState::Draining,
            EndpointCondition::Removed => EndpointState::Removed,
        }
    }
}

impl From<OutcomeCode> for Outcome {
    fn from(code: OutcomeCode) -> Outcome {
        match code {
            OutcomeCode::Ok => Outcome::Ok,
            OutcomeCode::Error => Outcome::Error,
            OutcomeCode::Rejected => Outcome::Rejected,
            OutcomeCode::TimedOut => Outcome::TimedOut,
            OutcomeCode::ConnectFailed => Outcome::ConnectFailed,
            OutcomeCode::ConnectionLost => Outcome::ConnectionLost,
            OutcomeCode::Cancelled => Outcome::Cancelled,
            OutcomeCode::NotSent => Outcome::NotSent,
        }
    }
}
