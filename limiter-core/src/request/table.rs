//! The container of the pending requests, the attempts in flight and the queue.

use std::collections::{BTreeMap, VecDeque};

use super::attempts::{AttemptKey, AttemptRecord};
use super::pending::PendingRequest;
use crate::event::RequestId;

/// The pending requests, the attempts in flight and the queue of one limiter.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    /// Pending requests by id.
    pub pending: BTreeMap<RequestId, PendingRequest>,
    /// Attempts in flight, including those of requests that have finished: such an attempt is recorded until
    /// it ends, because it may occupy slots and is included in the number of attempts at its server.
    pub(super) attempts: BTreeMap<AttemptKey, AttemptRecord>,
    /// Ids of the queued requests, the oldest first. May contain ids of requests that have finished.
    pub(super) queue: VecDeque<RequestId>,
}

impl RequestTable {
    /// Returns the pending request with an id, if there is one.
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.pending.get(&id)
    }

    /// Returns the pending request with an id for modification, if there is one.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.pending.get_mut(&id)
    }

    /// Applies a change to the request with an id, if the request is pending.
    pub fn update(&mut self, id: RequestId, change: impl FnOnce(&mut PendingRequest)) {
        if let Some(pending) = self.pending.get_mut(&id) {
            change(pending);
        }
    }
}
