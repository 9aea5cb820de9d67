//! The record of a request that has no final response yet.

use super::attempts::AttemptKey;
use super::retry::PossibleExecution;
use crate::event::{Millis, Request, ServerId};

/// A quota request whose reply is outstanding.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AwaitedReply {
    /// Position of the owner that the quota request is addressed to.
    pub owner: u32,
    /// When the quota request was made. Its message may be sent later, because the send allowance of gossip
    /// limits the rate of messages.
    pub requested_at: Millis,
}

/// A request that has no final response yet.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    /// The request as submitted, with the members of its quota limited to the limiters that exist.
    pub request: Request,
    /// When the request arrived at this process.
    pub arrived_at: Millis,
    /// When the request was submitted to the limiter; no earlier than the arrival.
    pub submitted_at: Millis,
    /// Number of quota owners that have been skipped so far. This is also the rank of the current owner.
    pub owner_rank: u32,
    /// Number of quota requests that have been made to the current owner for this request.
    pub quota_requests: u32,
    /// The outstanding quota request, if there is one.
    pub awaited_reply: Option<AwaitedReply>,
    /// Position of the owner that granted the units, or that was notified that they were spent locally.
    pub granting_owner: Option<u32>,
    /// When the quota admitted the request. The time in the queue is measured from then on.
    pub admitted_at: Millis,
    /// The actual cost in quota units, once a response has reported it.
    pub actual_units: Option<f64>,
    /// Time at which the request is rejected or fails, unless its response has begun to stream.
    pub deadline: Millis,
    /// Number of attempts that have been started.
    pub attempts: u32,
    /// The earliest attempt that may have been executed by a server, if there is one.
    pub possible_execution: Option<PossibleExecution>,
    /// Whether an attempt is in flight.
    pub is_in_flight: bool,
    /// Whether the request is queued for slots or for a server.
    pub is_queued: bool,
    /// Whether the response has begun to stream to the client. No deadline applies from then on.
    pub is_streaming: bool,
    /// Server of the latest attempt. The next attempt uses another server if there is one.
    pub last_server: Option<ServerId>,
}

impl PendingRequest {
    /// Creates the record of a request that is submitted now.
    pub fn new(request: Request, now: Millis, deadline: Millis) -> Self {
        PendingRequest {
            arrived_at: now - request.waited_ms,
            submitted_at: now,
            request,
            owner_rank: 0,
            quota_requests: 0,
            awaited_reply: None,
            granting_owner: None,
            admitted_at: now,
            actual_units: None,
            deadline,
            attempts: 0,
            possible_execution: None,
            is_in_flight: false,
            is_queued: false,
            is_streaming: false,
            last_server: None,
        }
    }

    /// Records that an attempt starts at a server, and returns the key of that attempt.
    pub(super) fn begin_attempt(&mut self, server: ServerId) -> AttemptKey {
        self.attempts += 1;
        self.is_in_flight = true;
        self.last_server = Some(server);
        self.last_attempt()
    }

    /// Returns the key of the latest attempt. Must not be called before the first attempt has started.
    pub fn last_attempt(&self) -> AttemptKey {
        AttemptKey { request: self.request.id, number: self.attempts - 1 }
    }

    /// Records a quota request whose reply is outstanding from now on.
    pub fn record_quota_request(&mut self, reply: AwaitedReply) {
        self.awaited_reply = Some(reply);
        self.quota_requests += 1;
    }

    /// Skips the current owner of the quota: the next quota request is made to the owner of the next rank.
    pub fn skip_owner(&mut self) {
        self.owner_rank += 1;
        self.quota_requests = 0;
    }
}
