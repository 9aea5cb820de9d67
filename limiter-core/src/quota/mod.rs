//! Quotas that a customer has over all limiters together.
//!
//! # Members and owners
//!
//! The requests of one customer arrive at a fixed range of limiters, the *members* of the customer's quota.
//! Up to three of the members are also *owners* of the quota. All limiters compute the same owners from the
//! customer's id, so owners are never elected. An owner holds the token buckets of the quota and decides on
//! the *quota requests* of members; each decision is returned in a *grant reply*. Members ask the first
//! owner, and ask the second and third owner only while the owners before them do not reply.
//!
//! An *even share* is the quota divided by the number of members. Each member holds a token bucket for its
//! even share, which lets the member forward a request without waiting for an owner.
//!
//! # How a request is admitted
//!
//! 1. The member rejects the request at random if the customer's demand at all limiters is far above the
//!    quota (`member/shedding.rs`).
//! 2. The member spends from its even share and notifies the first owner, if the share holds the request and
//!    the owner has enough tokens left (`member/local_share.rs`, `member/even_share.rs`).
//! 3. Otherwise the member asks the first owner that is not silent (`member/grant_requests.rs`; silent
//!    owners: `member/owner_health.rs`).
//! 4. The owner decides and replies (`owner/mod.rs`, `owner/grants.rs`, `owner/bucket.rs`).
//! 5. The member handles the reply. If the reply is late, the member asks again, then the next owner
//!    (`member/grant_replies.rs`, `member/reply_wait.rs`).
//! 6. If no owner can be asked, the member decides by its even share (`member/fallback.rs`).
//! 7. When the request has finished, the member reports the actual cost, the *settlement*, and the owner
//!    corrects its bucket (`owner/mod.rs`).
//!
//! `placement.rs` computes the owners, `keys.rs` identifies quotas and grants, `messages.rs` builds the quota
//! requests and reads their keys, `retention.rs` and `owner/expiry.rs` bound the memory.
//!
//! # Ceilings
//!
//! A plan may have a hard ceiling beside its rate. All members together must never spend more than the
//! ceiling allows, whatever fails, while a rate quota may be exceeded for a moment. Ceilings therefore follow
//! stricter rules:
//!
//! - Each owner holds a fixed fraction of the ceiling in a separate bucket, whether or not the other owners
//!   can be reached. Two owners can never grant the same units.
//! - Units are granted for [`GRANT_VALIDITY_MS`] and count as outstanding for that time: the member may still
//!   spend the units at the end of it, so the owner's bucket refills to a capacity that is lower by as much.
//! - A restarted owner does not know what it granted before. Its ceiling bucket starts as if everything was
//!   spent, and refills only once all earlier grants must have expired.
//! - A member spends from its even share only if it is an owner too, and its fraction of the ceiling has the
//!   units.
//! - Without an owner, nothing is admitted.

mod keys;
mod member;
mod messages;
mod owner;
mod placement;
mod retention;

pub(crate) use keys::GrantKey;
pub(crate) use member::MemberQuotas;
pub(crate) use owner::{OwnedQuotas, GRANT_VALIDITY_MS};
