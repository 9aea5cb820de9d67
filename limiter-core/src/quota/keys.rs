//! Keys that identify quotas and grants.

use crate::context::Context;
use crate::event::{CustomerId, Request, RequestId};

/// Identifies a quota. The plan is part of the key: a customer that changes its plan has a new quota, and two
/// customers that use the same id on different plans have separate quotas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QuotaKey {
    /// The customer that has the quota.
    pub customer: CustomerId,
    /// Index of the customer's plan in the settings.
    pub plan: usize,
}

impl QuotaKey {
    /// Returns the key of the quota that a request counts against.
    pub fn of(request: &Request) -> Self {
        QuotaKey { customer: request.customer, plan: request.plan }
    }
}

/// Identifies an owner's decision on one request of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GrantKey {
    /// Position of the member.
    pub member: u32,
    /// Incarnation of the member: a restarted member may reuse the request ids of its previous incarnation.
    pub incarnation: u32,
    /// The member's request.
    pub request: RequestId,
}

impl GrantKey {
    /// Returns the key for a request that arrived at this limiter.
    pub(crate) fn local(context: &Context, request: RequestId) -> Self {
        GrantKey { member: context.settings.position, incarnation: context.incarnation, request }
    }
}
