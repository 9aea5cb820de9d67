//! The quotas of customers, which the limiters enforce jointly.
//!
//! # Members and owners
//!
//! The requests of one customer arrive at a fixed range of limiters, the *members* of the customer's quota.
//! Up to three of the members are also *owners* of the quota. All limiters compute the same owners from the
//! customer's id, so owners are never elected. An owner holds the token buckets of the quota and decides on
//! the *quota requests* of members; each decision is returned in a *grant reply*. Members ask the first
//! owner. They ask the second and the third owner only while the preceding owners do not reply.
//!
//! An *even share* is the quota divided by the number of members. Each member holds a token bucket for its
//! even share, which lets the member forward a request without waiting for an owner.
//!
//! # How a request is admitted
//!
//! 1. The member rejects the request at random if the customer's demand at all limiters is far above the
//!    quota (`member/shedding.rs`).
//! 2. If the member's even share covers the request and the owner's bucket has enough tokens left by the
//!    member's estimate, the member spends from its even share and notifies the first owner
//!    (`member/local_share.rs`, `member/even_share.rs`).
//! 3. Otherwise the member asks the first owner that is not silent (`member/grant_requests.rs`; silent
//!    owners: `member/owner_health.rs`).
//! 4. The owner decides and replies (`owner/mod.rs`, `owner/grants.rs`, `owner/bucket.rs`).
//! 5. The member handles the reply. If the reply is late, the member asks the same owner again, and
//!    afterwards the next owner (`member/grant_replies.rs`, `member/reply_wait.rs`).
//! 6. If no owner can be asked, the member decides by its even share (`member/fallback.rs`).
//! 7. When the request has finished, the member reports the actual cost in a *settlement*, and the owner
//!    corrects its bucket (`owner/mod.rs`). No settlement is sent if the cost is the expected one and the
//!    plan does not limit attempts in flight.
//!
//! `placement.rs` computes the owners, `keys.rs` identifies quotas and grants, `messages.rs` builds quota
//! requests and returns the quota keys of requests and replies, `retention.rs` and `owner/expiry.rs` bound
//! the memory.
//!
//! # Ceilings
//!
//! A plan may have a hard ceiling in addition to its rate quota. A rate quota may be exceeded for a moment,
//! but the members together must never spend more than the ceiling allows, regardless of failures. Ceilings
//! therefore follow stricter rules:
//!
//! - Each owner holds a fixed fraction of the ceiling in a separate bucket, whether or not the other owners
//!   can be reached. Two owners can never grant the same units.
//! - A grant is valid for [`GRANT_VALIDITY_MS`], and its units are outstanding for that time. The member may
//!   still spend the units at the end of that time, so outstanding units lower the capacity to which the
//!   owner's ceiling bucket refills.
//! - A restarted owner does not know its earlier grants. It assumes that all units have been spent: its
//!   ceiling bucket starts overdrawn by the slack, and refills only once all earlier grants must have
//!   expired.
//! - A member spends from its even share only if the member is also an owner, and its fraction of the ceiling
//!   covers the units.
//! - No request under a ceiling is admitted while no owner can be asked.

mod keys;
mod member;
mod messages;
mod owner;
mod placement;
mod retention;

pub(crate) use keys::GrantKey;
pub(crate) use member::MemberQuotas;
pub(crate) use owner::{OwnedQuotas, GRANT_VALIDITY_MS};
