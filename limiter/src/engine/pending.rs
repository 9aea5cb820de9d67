//! Requests that wait for their final response, and their attempts in flight.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use hyper::header::HeaderValue;
use limiter_core::{Millis, Outcome, RequestId};
use tokio::sync::oneshot;

use super::ClientConnection;
use crate::messages::attempt::AttemptId;
use crate::messages::request::{FinalResponse, ForwardedRequest};

/// Until when a request has to be answered.
#[derive(Debug, Clone, Copy)]
pub struct Deadlines {
    /// When the client gives up, as far as is known when it sent the request.
    pub deadline: Millis,
    /// When it may give up at the earliest: servers must not be told a later time.
    pub server_deadline: Millis,
}

/// A request that waits for its final response.
struct SubmittedRequest {
    content: Rc<ForwardedRequest>,
    response: oneshot::Sender<FinalResponse>,
    deadlines: Deadlines,
    client: Rc<dyn ClientConnection>,
    /// Attempts begun so far.
    attempts: u32,
    has_attempt_in_flight: bool,
}

struct InFlightAttempt {
    started_at: Millis,
    cancel: oneshot::Sender<Outcome>,
}

/// An attempt that may be made.
pub struct NewAttempt {
    /// Which.
    pub id: AttemptId,
    /// What is forwarded.
    pub content: Rc<ForwardedRequest>,
    /// When the client gives up.
    pub deadlines: Deadlines,
    /// Another attempt of the same request is in flight: this one must not be made.
    pub another_in_flight: bool,
}

/// All requests that wait, by id and by correlation id.
#[derive(Default)]
pub struct PendingRequests {
    requests: HashMap<RequestId, SubmittedRequest>,
    correlation_ids: HashSet<HeaderValue>,
    in_flight: HashMap<AttemptId, InFlightAttempt>,
    next_id: RequestId,
}

impl PendingRequests {
    /// Adds a request; nothing if one with the same correlation id is pending.
    pub fn insert(
        &mut self,
        content: ForwardedRequest,
        deadlines: Deadlines,
        client: Rc<dyn ClientConnection>,
    ) -> Option<(RequestId, oneshot::Receiver<FinalResponse>)> {
        if !self.correlation_ids.insert(content.correlation_id.clone()) {
            return None;
        }
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        let (response, receiver) = oneshot::channel();
        let content = Rc::new(content);
        let (attempts, has_attempt_in_flight) = (0, false);
        let pending =
            SubmittedRequest { content, response, deadlines, client, attempts, has_attempt_in_flight };
        self.requests.insert(id, pending);
        Some((id, receiver))
    }

    /// Requests that wait for their final response.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether a request still waits for its final response.
    pub fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// The client of a request that waits for its final response.
    pub fn client(&self, id: RequestId) -> Option<Rc<dyn ClientConnection>> {
        self.requests.get(&id).map(|pending| pending.client.clone())
    }

    /// Forgets a request; false if it was not pending.
    pub fn remove(&mut self, id: RequestId) -> bool {
        self.take(id).is_some()
    }

    /// Gives a request its one final response; false if it was not pending. A client that has disconnected meanwhile
    /// gets none.
    pub fn respond(&mut self, id: RequestId, response: FinalResponse) -> bool {
        let Some(pending) = self.take(id) else { return false };
        let _ = pending.response.send(response);
        true
    }

    fn take(&mut self, id: RequestId) -> Option<SubmittedRequest> {
        let pending = self.requests.remove(&id)?;
        self.correlation_ids.remove(&pending.content.correlation_id);
        Some(pending)
    }

    /// Counts one more attempt of a request.
    pub fn next_attempt(&mut self, request: RequestId) -> Option<NewAttempt> {
        let pending = self.requests.get_mut(&request)?;
        let id = AttemptId { request, number: pending.attempts };
        pending.attempts += 1;
        let (content, deadlines) = (pending.content.clone(), pending.deadlines);
        Some(NewAttempt { id, content, deadlines, another_in_flight: pending.has_attempt_in_flight })
    }

    /// Counts an attempt as in flight; what the receiver gets tells how it is cancelled.
    pub fn attempt_started(&mut self, id: AttemptId, now: Millis) -> oneshot::Receiver<Outcome> {
        if let Some(pending) = self.requests.get_mut(&id.request) {
            pending.has_attempt_in_flight = true;
        }
        let (cancel, cancelled) = oneshot::channel();
        self.in_flight.insert(id, InFlightAttempt { started_at: now, cancel });
        cancelled
    }

    /// Takes an attempt out of those in flight: when it was started.
    pub fn attempt_ended(&mut self, id: AttemptId) -> Option<Millis> {
        let attempt = self.in_flight.remove(&id)?;
        if let Some(pending) = self.requests.get_mut(&id.request) {
            pending.has_attempt_in_flight = false;
        }
        Some(attempt.started_at)
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self, id: AttemptId) -> bool {
        self.in_flight.contains_key(&id)
    }

    /// Tells an attempt to close its connection and then to end with this outcome.
    pub fn cancel_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        if let Some(attempt) = self.in_flight.get_mut(&id) {
            let (used, _) = oneshot::channel();
            let _ = std::mem::replace(&mut attempt.cancel, used).send(outcome);
        }
    }
}
