//! Records of requests and their attempts.

use std::collections::{BTreeMap, VecDeque};

use crate::context::Context;
use crate::event::{Millis, Outcome, Request, RequestId, ServerId};
use crate::settings::Idempotency;

/// Retries that each first attempt pays for.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Retries that can be saved up.
const MAX_RETRIES: f64 = 20.0;

/// A quota request that waits for the owner's reply.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AwaitedReply {
    /// Position of the owner.
    pub owner: u32,
    /// When it was asked.
    pub asked_at: Millis,
}

/// The earliest attempt that may have been executed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PossibleExecution {
    /// When it was sent.
    pub sent_at: Millis,
    /// Where its server is.
    pub location: ServerLocation,
}

/// Where a server was when an attempt was sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ServerLocation {
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
}

/// A request that has no final response yet.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    /// As it arrived.
    pub request: Request,
    /// When it arrived.
    pub arrived_at: Millis,
    /// When it was submitted: no earlier than it arrived.
    pub submitted_at: Millis,
    /// Quota owners passed over so far.
    pub owner_rank: u32,
    /// Quota requests sent to the present owner.
    pub quota_requests: u32,
    /// The reply that it waits for.
    pub awaited_reply: Option<AwaitedReply>,
    /// The owner that granted the units, or that was notified that they were spent.
    pub granting_owner: Option<u32>,
    /// When the quota admitted it.
    pub admitted_at: Millis,
    /// What it really cost, once a response has reported it.
    pub actual_units: Option<f64>,
    /// When its final response has to be given.
    pub deadline: Millis,
    /// Attempts begun.
    pub attempts: u32,
    /// Set once it may have been executed.
    pub possible_execution: Option<PossibleExecution>,
    /// An attempt is in flight.
    pub is_in_flight: bool,
    /// It waits for slots or for a server.
    pub is_queued: bool,
    /// Its response has begun.
    pub is_streaming: bool,
    /// Server of the last attempt, avoided by the next.
    pub last_server: Option<ServerId>,
}

impl PendingRequest {
    /// A request that is submitted now.
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

    /// Time for which servers still drop duplicates; infinite if no attempt can have been executed or the
    /// class needs no key.
    pub(super) fn dedup_ends_in_ms(&self, context: &Context) -> Millis {
        let class = context.class(&self.request);
        match (class.idempotency, self.possible_execution) {
            (Idempotency::WithKey, Some(execution)) => {
                let window_ms = class.dedup_window_ms - context.settings.event_interval_ms;
                window_ms - (context.now - execution.sent_at)
            }
            _ => f64::INFINITY,
        }
    }

    /// The attempt that was begun last. Must not be called before the first.
    pub fn last_attempt(&self) -> AttemptKey {
        AttemptKey { request: self.request.id, number: self.attempts - 1 }
    }

    /// A quota request has been sent for it.
    pub fn await_reply(&mut self, reply: AwaitedReply) {
        self.awaited_reply = Some(reply);
        self.quota_requests += 1;
    }

    /// Goes on to the next owner of its quota.
    pub fn skip_owner(&mut self) {
        self.owner_rank += 1;
        self.quota_requests = 0;
    }
}

/// Identifies an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    /// The request that is attempted.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub number: u32,
}

/// The end of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    /// Which attempt.
    pub key: AttemptKey,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub elapsed_ms: Millis,
    /// The request has its final response, or needs none any more.
    pub request_finished: bool,
    /// What the request really cost, once a response has reported it.
    pub actual_units: Option<f64>,
}

/// Identifies the record of a server; never used twice by one limiter.
pub(crate) type RecordId = u64;

/// An attempt in flight.
#[derive(Debug)]
pub(crate) struct AttemptRecord {
    /// Where it was sent.
    pub server: ServerId,
    /// The record of that server at that moment: one that was removed and announced again has another.
    pub record: RecordId,
    /// Where that server was then. It may be announced elsewhere, or be gone, by the end of the attempt.
    pub location: ServerLocation,
    /// When it was sent.
    pub sent_at: Millis,
    /// Slots that it occupies.
    pub slots: f64,
    /// Class of the request.
    pub class: usize,
    /// It was cancelled for want of a response.
    pub cancelled: bool,
}

/// The pending requests, their attempts in flight and the queue of those that wait for slots or a server.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    /// Requests by id.
    pub pending: BTreeMap<RequestId, PendingRequest>,
    /// Attempts in flight, also those of finished requests.
    pub(super) attempts: BTreeMap<AttemptKey, AttemptRecord>,
    /// Requests that wait, the oldest first; may hold some that have finished.
    pub(super) queue: VecDeque<RequestId>,
}

impl RequestTable {
    /// A pending request.
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.pending.get(&id)
    }

    /// Changes a request, if it is pending.
    pub fn update(&mut self, id: RequestId, change: impl FnOnce(&mut PendingRequest)) {
        if let Some(request) = self.pending.get_mut(&id) {
            change(request);
        }
    }

    /// A pending request, to be changed.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.pending.get_mut(&id)
    }
}

/// Bounds retries to a fraction of the requests, so that they cannot multiply an overload.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new() -> Self {
        RetryBudget { retries: MAX_RETRIES }
    }

    /// Adds the fraction of a retry that each first attempt pays for.
    pub fn deposit(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Whether a retry has been paid for.
    pub fn allows_retry(&self) -> bool {
        self.retries >= 1.0
    }

    /// Takes one retry out.
    pub fn withdraw(&mut self) {
        self.retries -= 1.0;
    }
}
