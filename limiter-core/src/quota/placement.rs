//! Which limiters own a customer's quota.

use super::records::MemberRange;
use crate::event::CustomerId;
use crate::hashing::fibonacci_hash;

/// Fractions of a customer's ceiling that its owners hold, the first asked first. Fixed: no silence moves
/// them; the first one's is near the whole quota, the others carry on while it is dead.
pub(super) const CEILING_FRACTIONS: [f64; 3] = [0.62, 0.23, 0.15];

/// The position of a customer's owner of that rank, the same at every limiter; none past the last.
pub(super) fn owner_of(customer: CustomerId, members: MemberRange, limiters: u32, rank: u32) -> Option<u32> {
    let count = members.count.clamp(1, limiters);
    let owners = (CEILING_FRACTIONS.len() as u32).min(count);
    // Customers fall evenly on their members.
    let hash = (fibonacci_hash(customer) >> 32) as u32;
    let offset = (hash % count + rank * (count / owners)) % count;
    let position = (u64::from(members.first) + u64::from(offset)) % u64::from(limiters);
    (rank < owners).then_some(position as u32)
}
