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
//! 4. [`retry`]: after an attempt without a good response, the request is attempted again if the rules and
//!    the retry budget allow it. In particular, the rules require that a second execution is safe.
//! 5. [`final_response`]: the request is removed, its cost is settled with the owner of its quota, and its
//!    client receives a response, unless an attempt has delivered one or the client has disconnected.
//!
//! [`timeouts`] applies during all of these steps: it handles the deadline, the latency objective and the
//! silence check of each request, and the earlier deadlines during a shutdown. [`pending`] defines the record
//! of a request, and [`table`] the container of all records.
//!
//! A request has at most one attempt in flight, and at most one final response: exactly one unless its client
//! disconnects. Every step that may finish a request first looks the request up by its id, so that a step
//! that runs after the request has finished has no effect.

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
