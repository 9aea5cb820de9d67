//! Quotas over all limiters. Every customer has a few owners among its members; the owners hold its token
//! buckets, and the members spend their even share or ask an owner for a grant.

mod member;
mod member_state;
mod owner;
mod owner_state;
mod placement;
mod records;

pub(crate) use member_state::MemberQuotas;
pub(crate) use owner_state::{OwnedQuotas, GRANT_VALIDITY_MS};
pub(crate) use records::GrantKey;
