//! Requests that wait for their final response, and their attempts in flight.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use hyper::header::HeaderValue;
use limiter_core::{Idempotency, Millis, Outcome, RequestId};
use tokio::sync::oneshot;

use super::ClientConnection;
use crate::messages::attempt::AttemptId;
use crate::messages::request::{FinalResponse, ForwardedRequest};

/// The times until which a request must be answered.
#[derive(Debug, Clone, Copy)]
pub struct Deadlines {
    /// Time at which the client abandons the request, if the request arrived when it was read.
    pub deadline: Millis,
    /// Earliest time at which the client may abandon the request, since the request may have arrived before
    /// it was read. Servers must not be given a later time.
    pub server_deadline: Millis,
}

/// A request that waits for its final response.
struct PendingRequest {
    content: Rc<ForwardedRequest>,
    response: oneshot::Sender<FinalResponse>,
    deadlines: Deadlines,
    client: Rc<dyn ClientConnection>,
    /// Number of attempts so far, including those that were not sent.
    num_attempts: u32,
    has_attempt_in_flight: bool,
    /// Whether an attempt has ended after which the request may have been executed.
    may_have_executed: bool,
    idempotency: Idempotency,
}

impl PendingRequest {
    /// Returns whether the request must not be executed by a server from now on, because it may have been
    /// executed already.
    fn must_not_be_repeated(&self) -> bool {
        let may_have_executed = self.may_have_executed || self.has_attempt_in_flight;
        may_have_executed && self.idempotency != Idempotency::Idempotent
    }
}

/// A request that was removed without a response.
pub struct AbandonedRequest {
    /// Value of [`CORRELATION_ID`](crate::messages::request::CORRELATION_ID).
    pub correlation_id: HeaderValue,
    /// Whether a second execution of the request is not safe, and there may have been a first one.
    pub must_not_be_repeated: bool,
}

/// A request that was inserted, and the receiver of its final response.
pub struct InsertedRequest {
    /// The id that was assigned to the request.
    pub id: RequestId,
    /// Receives the final response.
    pub response: oneshot::Receiver<FinalResponse>,
}

/// An attempt that was started and whose end has not been recorded.
struct InFlightAttempt {
    started_at: Millis,
    /// Sends the outcome with which the attempt is to be cancelled.
    cancel: oneshot::Sender<Outcome>,
}

/// The next attempt of a request, before it is started.
pub struct NewAttempt {
    /// The request and the number of the attempt.
    pub id: AttemptId,
    /// The request that is forwarded.
    pub content: Rc<ForwardedRequest>,
    /// The times until which the request must be answered.
    pub deadlines: Deadlines,
    /// Whether another attempt of the same request is in flight. If so, this attempt must not be started.
    pub another_in_flight: bool,
}

/// All requests that wait for their final response, by id and by correlation id, and all attempts in flight.
#[derive(Default)]
pub struct PendingRequests {
    requests: HashMap<RequestId, PendingRequest>,
    correlation_ids: HashSet<HeaderValue>,
    in_flight: HashMap<AttemptId, InFlightAttempt>,
    next_id: RequestId,
}

impl PendingRequests {
    /// Inserts a request. Returns `None` if a request with the same correlation id is pending.
    pub fn insert(
        &mut self,
        content: ForwardedRequest,
        deadlines: Deadlines,
        client: Rc<dyn ClientConnection>,
        idempotency: Idempotency,
    ) -> Option<InsertedRequest> {
        if !self.correlation_ids.insert(content.correlation_id.clone()) {
            return None;
        }
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        let (sender, receiver) = oneshot::channel();
        let request = PendingRequest {
            content: Rc::new(content),
            response: sender,
            deadlines,
            client,
            num_attempts: 0,
            has_attempt_in_flight: false,
            may_have_executed: false,
            idempotency,
        };
        self.requests.insert(id, request);
        Some(InsertedRequest { id, response: receiver })
    }

    /// Returns the number of requests that wait for their final response.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether a request waits for its final response.
    pub fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Returns the client of a request, if the request waits for its final response.
    pub fn client(&self, id: RequestId) -> Option<Rc<dyn ClientConnection>> {
        self.requests.get(&id).map(|request| request.client.clone())
    }

    /// Removes a request without a response. Returns `None` if the request was not pending.
    pub fn remove(&mut self, id: RequestId) -> Option<AbandonedRequest> {
        let request = self.take(id)?;
        Some(AbandonedRequest {
            correlation_id: request.content.correlation_id.clone(),
            must_not_be_repeated: request.must_not_be_repeated(),
        })
    }

    /// Sends the final response to a request, and removes the request. Returns whether the request was
    /// pending. The response is lost if the client has disconnected.
    pub fn respond(&mut self, id: RequestId, response: FinalResponse) -> bool {
        let Some(request) = self.take(id) else { return false };
        let _ = request.response.send(response);
        true
    }

    fn take(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.requests.remove(&id)?;
        self.correlation_ids.remove(&request.content.correlation_id);
        Some(request)
    }

    /// Counts one more attempt of a request, and returns the attempt. Returns `None` if the request is not
    /// pending.
    pub fn next_attempt(&mut self, id: RequestId) -> Option<NewAttempt> {
        let request = self.requests.get_mut(&id)?;
        let number = request.num_attempts;
        request.num_attempts += 1;
        Some(NewAttempt {
            id: AttemptId { request: id, number },
            content: request.content.clone(),
            deadlines: request.deadlines,
            another_in_flight: request.has_attempt_in_flight,
        })
    }

    /// Records that an attempt is in flight. The receiver yields the outcome with which the attempt is to be
    /// cancelled.
    pub fn record_attempt_start(&mut self, id: AttemptId, now: Millis) -> oneshot::Receiver<Outcome> {
        if let Some(request) = self.requests.get_mut(&id.request) {
            request.has_attempt_in_flight = true;
        }
        let (cancel, cancelled) = oneshot::channel();
        self.in_flight.insert(id, InFlightAttempt { started_at: now, cancel });
        cancelled
    }

    /// Records that an attempt has ended, and returns when the attempt was started. Returns `None` if the
    /// attempt was not in flight.
    pub fn record_attempt_end(&mut self, id: AttemptId, outcome: Outcome) -> Option<Millis> {
        let attempt = self.in_flight.remove(&id)?;
        if let Some(request) = self.requests.get_mut(&id.request) {
            request.has_attempt_in_flight = false;
            request.may_have_executed |= !outcome.never_executed();
        }
        Some(attempt.started_at)
    }

    /// Returns whether an attempt is in flight.
    pub fn is_in_flight(&self, id: AttemptId) -> bool {
        self.in_flight.contains_key(&id)
    }

    /// Cancels an attempt: the attempt closes its connection and ends with this outcome. Only the first call
    /// for an attempt has an effect. The attempt stays in flight until its end is recorded, so that no other
    /// attempt of the request begins before the connection is closed.
    pub fn cancel_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        if let Some(attempt) = self.in_flight.get_mut(&id) {
            // A sender can be used once. The placeholder that replaces the sender has no receiver, so that
            // later calls have no effect.
            let (placeholder, _) = oneshot::channel();
            let _ = std::mem::replace(&mut attempt.cancel, placeholder).send(outcome);
        }
    }
}
