//! What identifies quotas, their members and their grants.

use crate::context::Context;
use crate::event::{CustomerId, Request, RequestId};
use crate::gossip::{GrantReply, QuotaRequest};

/// Whose quota it is: a customer on another plan, or an id that was given to another customer since, has a
/// quota of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QuotaKey {
    /// The customer.
    pub customer: CustomerId,
    /// Index of its plan in the settings.
    pub plan: usize,
}

impl QuotaKey {
    /// The quota that a request counts against.
    pub fn of(request: &Request) -> Self {
        QuotaKey { customer: request.customer, plan: request.plan }
    }
}

/// The limiters that receive a customer's requests: so many from a position on, in a ring.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemberRange {
    /// Position of the first.
    pub first: u32,
    /// How many.
    pub count: u32,
}

impl MemberRange {
    /// The members for a request's customer.
    pub fn of(request: &Request) -> Self {
        MemberRange { first: request.first_member, count: request.member_count }
    }
}

/// Identifies a member's request at the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GrantKey {
    /// Position of the member.
    pub member: u32,
    /// The member's start.
    pub incarnation: u32,
    /// The member's request.
    pub request: RequestId,
}

impl GrantKey {
    /// A request of this limiter's own.
    pub(crate) fn local(context: &Context, request: RequestId) -> Self {
        GrantKey { member: context.settings.position, incarnation: context.incarnation, request }
    }
}

impl QuotaRequest {
    /// Asks for the units of a request; `unreported_units` were shed since the last reply.
    pub(crate) fn new(request: &Request, unreported_units: f64) -> Self {
        QuotaRequest {
            id: request.id,
            customer: request.customer,
            plan: request.plan as u8,
            first_member: request.first_member as u16,
            member_count: request.member_count as u16,
            units: request.cost_units as f32,
            unreported_units: unreported_units as f32,
            already_spent: false,
        }
    }

    /// The owner's reply to it.
    pub(crate) fn reply(
        &self,
        member_incarnation: u32,
        granted: bool,
        demand_ratio: f64,
        tokens_left: f64,
    ) -> GrantReply {
        GrantReply {
            id: self.id,
            customer: self.customer,
            plan: self.plan,
            member_incarnation,
            granted,
            demand_ratio: demand_ratio as f32,
            tokens_left: tokens_left.max(0.0) as f32,
        }
    }

    /// The quota asked for.
    pub(crate) fn quota(&self) -> QuotaKey {
        QuotaKey { customer: self.customer, plan: usize::from(self.plan) }
    }

    /// The members of the quota.
    pub(crate) fn members(&self) -> MemberRange {
        MemberRange { first: self.first_member.into(), count: self.member_count.into() }
    }
}

impl GrantReply {
    /// The quota that was asked for.
    pub(crate) fn quota(&self) -> QuotaKey {
        QuotaKey { customer: self.customer, plan: usize::from(self.plan) }
    }
}
