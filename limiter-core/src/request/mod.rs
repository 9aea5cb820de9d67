//! The path of a request through one limiter, from its arrival to its final response.
//!
//! A request passes these steps. Each file holds one of them, with the constants and the state that belong to
//! it:
//!
//! 1. [`arrival`]: the request is validated, may be rejected as overdue or be shed, is recorded as pending
//!    and gets its timers. The quota of its customer, if there is one, then admits or denies the request (see
//!    [`crate::quota`]).
//! 2. [`queue`]: an admitted request is forwarded as soon as its slots are free and a server is available.
//!    Until then, the request is queued, for a fraction of its latency objective.
//! 3. [`attempts`]: the request is forwarded to a server, and the end of the attempt is recorded.
//! 4. [`retry`]: an attempt without a good response is followed by another one where a second execution is
//!    safe and the retry budget allows it.
//! 5. [`final_response`]: the request is removed, its cost is settled with the owner of its quota, and its
//!    client receives a response unless an attempt has delivered one.
//!
//! [`timeouts`] runs beside these steps: the deadline, the latency objective and the silence check of each
//! request, and the earlier deadlines during a shutdown. [`pending`] defines the record of a request, and
//! [`table`] the container of all records.
//!
//! A request has one attempt in flight at most, and exactly one final response. Every step that may end a
//! request looks the request up by its id first, so that a step after the end does nothing.

mod arrival;
mod attempts;
mod final_response;
mod pending;
mod queue;
mod retry;
mod table;
mod timeouts;

pub(crate) use attempts::{AttemptEnd, AttemptKey, AttemptRecord};
pub(crate) use pending::{AwaitedReply, PendingRequest};
pub(crate) use retry::RetryBudget;
pub(crate) use table::RequestTable;
