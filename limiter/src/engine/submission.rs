//! Submission of client requests, and disconnects of their clients.

use std::rc::Rc;

use limiter_core::{Event, Millis, Request, RequestId};
use tokio::task::yield_now;

use super::pending::{AbandonedRequest, Deadlines, InsertedRequest};
use super::timer_queue::TimerKind;
use super::{ClientConnection, ClientPresence, Engine, PendingResponse};
use crate::messages::request::ForwardedRequest;
use crate::observability::labels::ResponseOutcome;
use crate::observability::metrics::Metrics;
use crate::runtime::arrival::Arrival;
use crate::runtime::duration;

/// Highest number of checks for a disconnect before a client that keeps sending is treated as connected. Each
/// check reads up to 32 KiB, so that all is read that the send and receive buffers of a connection hold.
const MAX_PRESENCE_CHECKS: usize = 512;

/// Why a request was not submitted: a server could not distinguish it from an earlier one with the same
/// correlation id. The message is the body of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DuplicateRequest {
    /// The earlier request is pending.
    #[error("a request with this X-Correlation-Id is open")]
    Pending,
    /// The client of the earlier request disconnected, and the request may have been executed.
    #[error("a request with this X-Correlation-Id may have been executed")]
    MayHaveExecuted,
}

impl Engine {
    /// Submits a client's request.
    ///
    /// `arrival` is the arrival of the last byte of the request, which may have waited in the read-ahead
    /// buffer since. The deadline of the request is measured from the time at which that byte was read. The
    /// deadline that servers are given is measured from the earliest time at which the byte may have arrived.
    /// After a stall of the process, that time is earlier.
    ///
    /// # Errors
    /// [`DuplicateRequest`] if a request with the same correlation id is pending, or may have been executed
    /// for a client that has disconnected.
    pub fn submit(
        self: &Rc<Self>,
        content: ForwardedRequest,
        mut request: Request,
        arrival: Arrival,
        client: Rc<dyn ClientConnection>,
    ) -> Result<PendingResponse, DuplicateRequest> {
        let mut state = self.state.borrow_mut();
        let now = self.now();
        let waited_ms = duration::to_ms(arrival.read_at.elapsed());
        let deadline = now + request.timeout_ms - waited_ms;
        let server_deadline = deadline - duration::to_ms(arrival.possible_wait());
        let deadlines = Deadlines { deadline, server_deadline };
        let correlation_id = content.correlation_id.clone();
        if state.abandoned_ids.contains(&correlation_id, now) {
            return Err(DuplicateRequest::MayHaveExecuted);
        }
        let idempotency = self.config.settings.classes[request.class].idempotency;
        let inserted = state.pending.insert(content, deadlines, client, idempotency);
        let InsertedRequest { id, response } = inserted.ok_or(DuplicateRequest::Pending)?;
        tracing::debug!(request = id, ?correlation_id, waited_ms, "request submitted");
        self.set_timer(&mut state, deadline, TimerKind::Deadline(id));
        request.id = id;
        request.waited_ms = waited_ms;
        self.dispatch_event(&mut state, Event::RequestArrived(request));
        self.metrics.requests.inc();
        Ok(PendingResponse::new(self.clone(), id, response))
    }

    /// Returns the time in milliseconds after which the client of a rejected request should retry; 0 if the
    /// client is not advised.
    pub fn retry_after_ms(&self, request: &Request) -> Millis {
        self.state.borrow().limiter.retry_after_ms(request)
    }

    /// Returns whether the client of a request still waits for its response. Reads the client's socket to
    /// the end of what has arrived, because a disconnect may not have been read yet if the process stalled or
    /// the client has sent much, and records a disconnect that it finds.
    ///
    /// Yields to other tasks between bounded reads. Awaited by the task of an attempt; cancelling only ends
    /// the check.
    pub async fn is_client_waiting(self: &Rc<Self>, id: RequestId) -> bool {
        for _ in 0..MAX_PRESENCE_CHECKS {
            let Some(client) = self.state.borrow().pending.client(id) else { return false };
            match client.presence() {
                ClientPresence::Connected => return true,
                ClientPresence::Disconnected => {
                    self.record_client_disconnect(id);
                    return false;
                }
                ClientPresence::Unknown => yield_now().await,
            }
        }
        self.state.borrow().pending.contains(id)
    }

    /// Records that the client of a request has disconnected. Has no effect if the request is no longer
    /// pending.
    pub(super) fn record_client_disconnect(self: &Rc<Self>, id: RequestId) {
        let mut state = self.state.borrow_mut();
        let Some(abandoned) = state.pending.remove(id) else { return };
        let AbandonedRequest { correlation_id, must_not_be_repeated } = abandoned;
        tracing::debug!(request = id, must_not_be_repeated, "client disconnected");
        if must_not_be_repeated {
            state.abandoned_ids.insert(&correlation_id, self.now());
        }
        Metrics::count(&self.metrics.responses, ResponseOutcome::ClientDisconnected);
        self.dispatch_event(&mut state, Event::ClientDisconnected { id });
    }
}
