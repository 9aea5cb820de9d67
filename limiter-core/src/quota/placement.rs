//! Placement of quotas: which limiters are the members of a quota, and which of the members own it.

use crate::event::{CustomerId, Request};
use crate::hashing::fibonacci_hash;

/// Fractions of a customer's ceiling that the owners hold, in the order in which members ask the owners. The
/// fractions are fixed and sum to one: a silent owner's fraction never moves to another owner, which could
/// otherwise grant the same units a second time. The first owner holds most of the ceiling because it decides
/// nearly all requests; the fractions of the others serve the customer while the first owner is down.
pub(super) const CEILING_FRACTIONS: [f64; 3] = [0.62, 0.23, 0.15];

/// The limiters that receive a customer's requests: consecutive positions that wrap around after the last
/// limiter.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemberRange {
    /// Position of the first member.
    pub first: u32,
    /// Number of members.
    pub count: u32,
}

impl MemberRange {
    /// Returns the members of the quota that a request counts against.
    pub fn of(request: &Request) -> Self {
        MemberRange { first: request.first_member, count: request.member_count }
    }
}

/// Returns the position of the customer's owner with this rank (0 is asked first), or `None` if the customer
/// has no owner of this rank. Every limiter computes the same owners. The hash distributes customers evenly
/// over their members, and the owners of one customer are spaced evenly over its member range.
pub(super) fn owner_of(customer: CustomerId, members: MemberRange, limiters: u32, rank: u32) -> Option<u32> {
    let count = members.count.clamp(1, limiters);
    let owners = (CEILING_FRACTIONS.len() as u32).min(count);
    if rank >= owners {
        return None;
    }
    let hash = (fibonacci_hash(customer) >> 32) as u32;
    let spacing = count / owners;
    let offset = (hash % count + rank * spacing) % count;
    let position = (u64::from(members.first) + u64::from(offset)) % u64::from(limiters);
    Some(position as u32)
}
