//! The container of all pending requests, of their attempts in flight and of their queue.

use std::collections::{BTreeMap, VecDeque};

use super::attempts::{AttemptKey, AttemptRecord};
use super::pending::PendingRequest;
use crate::event::RequestId;

/// The pending requests, the attempts in flight and the queue of one limiter.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    /// Pending requests by id.
    pub pending: BTreeMap<RequestId, PendingRequest>,
    /// Attempts in flight, including those of requests that have finished: their slots and their count at the
    /// server are released when they end.
    pub(super) attempts: BTreeMap<AttemptKey, AttemptRecord>,
    /// Ids of the queued requests, the oldest first. May contain ids of requests that have finished.
    pub(super) queue: VecDeque<RequestId>,
}

impl RequestTable {
    /// Returns a pending request.
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.pending.get(&id)
    }

    /// Returns a pending request for modification.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.pending.get_mut(&id)
    }

    /// Applies a change to a request, if the request is pending.
    pub fn update(&mut self, id: RequestId, change: impl FnOnce(&mut PendingRequest)) {
        if let Some(pending) = self.pending.get_mut(&id) {
            change(pending);
        }
    }
}
