//! Conversions between requests and the gossip lines that members and owners exchange.

use super::keys::QuotaKey;
use super::placement::MemberRange;
use crate::event::Request;
use crate::gossip::{GrantReply, QuotaRequest};

impl QuotaRequest {
    /// Returns a quota request for the units of `request`. `unreported_units` is the demand that the member
    /// has shed since the last reply, which the owner adds to the demand of the customer.
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

    /// Returns the key of the requested quota.
    pub(crate) fn quota_key(&self) -> QuotaKey {
        QuotaKey { customer: self.customer, plan: usize::from(self.plan) }
    }

    /// Returns the members of the requested quota.
    pub(crate) fn members(&self) -> MemberRange {
        MemberRange { first: self.first_member.into(), count: self.member_count.into() }
    }
}

impl GrantReply {
    /// Returns the key of the quota that the owner decided on.
    pub(crate) fn quota_key(&self) -> QuotaKey {
        QuotaKey { customer: self.customer, plan: usize::from(self.plan) }
    }
}
