//! The invariants of one limiter, checked on its actions alone.

use std::collections::{BTreeMap, BTreeSet};

use limiter_core::*;
use proptest::prelude::*;

use crate::common::ReferenceBucket;

/// Time in milliseconds by which a final response may be late after the deadline of its request.
const DEADLINE_TOLERANCE_MS: Millis = 16.0;
/// Largest gossip message in bytes.
const MAX_MESSAGE_BYTES: usize = 256;
/// Units by which a ceiling may appear to be overdrawn because of rounding.
const CEILING_TOLERANCE_UNITS: f64 = 1e-6;

/// A request that has no final response yet.
#[derive(Debug, Clone)]
struct OpenRequest {
    request: Request,
    deadline: Millis,
}

/// Identifies an attempt at one limiter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    pub request: RequestId,
    pub number: u32,
}

/// The token buckets of the ceilings of all customers, over all limiters together.
pub type Ceilings = BTreeMap<CustomerId, ReferenceBucket>;

/// The state that all limiters of a run share, at the time of a check.
pub struct SharedState<'a> {
    pub settings: &'a Settings,
    pub now: Millis,
    pub ceilings: &'a mut Ceilings,
}

/// Tracks the requests and attempts of one limiter from its events and actions, and checks each action.
#[derive(Default)]
pub struct Observer {
    open: BTreeMap<RequestId, OpenRequest>,
    attempts: BTreeSet<AttemptId>,
    num_attempts: BTreeMap<RequestId, u32>,
    in_flight: BTreeSet<RequestId>,
    /// For each request, the time at which the first attempt that may have been executed was forwarded.
    may_have_executed: BTreeMap<RequestId, Millis>,
    forwarded_at: BTreeMap<RequestId, Millis>,
    not_serving: BTreeSet<ServerId>,
    listed: BTreeSet<ServerId>,
}

impl Observer {
    /// Creates an observer of a limiter to which these servers are announced.
    pub fn new(listed: impl Iterator<Item = ServerId>) -> Observer {
        Observer { listed: listed.collect(), ..Observer::default() }
    }

    /// Records a request that is about to be submitted.
    pub fn record_submission(&mut self, request: &Request, now: Millis) {
        let open = OpenRequest { request: request.clone(), deadline: now + request.timeout_ms };
        self.open.insert(request.id, open);
    }

    /// Records the disconnect of a client whose request has no final response. Returns that request, if there
    /// is one.
    pub fn record_disconnect(&mut self, pick: u16) -> Option<RequestId> {
        let id = nth_cyclic(self.open.keys().copied(), pick)?;
        self.open.remove(&id);
        Some(id)
    }

    /// Records the end of an attempt in flight. Returns that attempt, if there is one.
    pub fn record_end_of_picked_attempt(&mut self, pick: u16, outcome: Outcome) -> Option<AttemptId> {
        let picked = nth_cyclic(self.attempts.iter().copied(), pick)?;
        self.attempts.remove(&picked);
        self.record_attempt_end(picked.request, outcome);
        Some(picked)
    }

    /// Records the announced state of a server.
    pub fn record_endpoint_state(&mut self, server: ServerId, state: EndpointState) {
        if state == EndpointState::Serving {
            self.not_serving.remove(&server);
        } else {
            self.not_serving.insert(server);
        }
    }

    /// Checks the actions that the limiter has returned, and that no open request is past its deadline.
    pub fn check(&mut self, actions: &[Action], shared: &mut SharedState) -> Result<(), TestCaseError> {
        for action in actions {
            self.check_action(action, shared)?;
        }
        for (id, OpenRequest { deadline, .. }) in &self.open {
            let latest = deadline + DEADLINE_TOLERANCE_MS;
            prop_assert!(shared.now <= latest, "request {id} has no final response in time");
        }
        Ok(())
    }

    fn check_action(&mut self, action: &Action, shared: &mut SharedState) -> Result<(), TestCaseError> {
        match action {
            Action::Forward { id, server, .. } => self.check_forward(*id, server, shared)?,
            Action::Reject { id, .. } => self.check_rejection(*id, shared.settings)?,
            Action::Fail { id } => {
                self.record_final_response(*id)?;
            }
            Action::CancelAttempt { id, attempt } => {
                let cancelled = AttemptId { request: *id, number: *attempt };
                prop_assert!(self.attempts.remove(&cancelled), "no such attempt to cancel");
                self.record_attempt_end(*id, Outcome::Cancelled);
            }
            Action::SendGossip { body, .. } => prop_assert!(body.len() <= MAX_MESSAGE_BYTES),
            _ => {}
        }
        Ok(())
    }

    fn check_rejection(&mut self, id: RequestId, settings: &Settings) -> Result<(), TestCaseError> {
        let request = self.record_final_response(id)?;
        if settings.classes[request.class].idempotency == Idempotency::NonIdempotent {
            let may_have_executed = self.may_have_executed.contains_key(&id) || self.in_flight.contains(&id);
            prop_assert!(
                !may_have_executed,
                "a non-idempotent request that may have been executed was rejected"
            );
        }
        Ok(())
    }

    fn check_forward(
        &mut self,
        id: RequestId,
        server: &ServerId,
        shared: &mut SharedState,
    ) -> Result<(), TestCaseError> {
        let Some(OpenRequest { request, .. }) = self.open.get(&id) else {
            return Err(TestCaseError::fail(format!("forwarded a request that has ended: {id}")));
        };
        prop_assert!(!self.in_flight.contains(&id), "two attempts in flight");
        prop_assert!(!self.not_serving.contains(server), "forwarded to a draining or removed server");
        prop_assert!(self.listed.contains(server), "forwarded to an unlisted server");
        let num_attempts = self.num_attempts.get(&id).copied().unwrap_or(0);
        prop_assert!(num_attempts < shared.settings.max_attempts);
        if num_attempts == 0 {
            take_from_ceiling(request, shared)?;
        }
        self.check_repeated_execution(request, shared)?;
        self.record_forwarded(id, num_attempts, shared.now);
        Ok(())
    }

    /// Checks that forwarding a request now cannot have its effect twice.
    fn check_repeated_execution(&self, request: &Request, shared: &SharedState) -> Result<(), TestCaseError> {
        let Some(since) = self.may_have_executed.get(&request.id) else { return Ok(()) };
        let class = &shared.settings.classes[request.class];
        prop_assert!(class.idempotency != Idempotency::NonIdempotent, "a non-idempotent request was retried");
        prop_assert!(
            class.idempotency != Idempotency::WithKey || shared.now - since <= class.dedup_window_ms,
            "a request with a key was retried after its deduplication window"
        );
        Ok(())
    }

    fn record_forwarded(&mut self, id: RequestId, number: u32, now: Millis) {
        self.attempts.insert(AttemptId { request: id, number });
        self.forwarded_at.insert(id, now);
        self.in_flight.insert(id);
        self.num_attempts.insert(id, number + 1);
    }

    /// Records the final response of a request. The request must be open: it has had no final response, and
    /// its client is connected.
    fn record_final_response(&mut self, id: RequestId) -> Result<Request, TestCaseError> {
        let open = self.open.remove(&id);
        let open =
            open.ok_or_else(|| TestCaseError::fail(format!("final response for {id}, which is not open")))?;
        Ok(open.request)
    }

    fn record_attempt_end(&mut self, id: RequestId, outcome: Outcome) {
        self.in_flight.remove(&id);
        if !matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed) {
            self.may_have_executed.entry(id).or_insert(self.forwarded_at[&id]);
        }
        if outcome == Outcome::Ok {
            self.open.remove(&id);
        }
    }
}

/// Returns the item whose index is `pick` modulo the number of items, or `None` if there are no items.
fn nth_cyclic<T>(mut items: impl ExactSizeIterator<Item = T>, pick: u16) -> Option<T> {
    let count = items.len();
    if count == 0 {
        return None;
    }
    items.nth(usize::from(pick) % count)
}

/// Takes the cost of a request from the ceiling of its customer, and checks that the ceiling is not overdrawn
/// by more than its slack.
fn take_from_ceiling(request: &Request, shared: &mut SharedState) -> Result<(), TestCaseError> {
    let plan = &shared.settings.plans[request.plan];
    if !plan.has_ceiling() {
        return Ok(());
    }
    let now = shared.now;
    let full = || ReferenceBucket::full_ceiling_of(plan, now);
    let bucket = shared.ceilings.entry(request.customer).or_insert_with(full);
    let level = bucket.take(request.cost_units, now);
    prop_assert!(level >= -plan.ceiling_slack - CEILING_TOLERANCE_UNITS, "ceiling overdrawn: {level}");
    Ok(())
}
