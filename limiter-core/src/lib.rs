//! The decisions of a gateway that admits requests by customer quotas and forwards them to a shared back end.
//!
//! The gateway runs as many instances, called limiters. Each of them decides which requests to admit, which
//! server receives each request, and whether a request is retried. The limiters enforce the quotas of the
//! customers together and exchange gossip messages for this purpose. This crate contains these decisions and
//! no input or output: the program `limiter` connects them to sockets, and `simulator-adapter` connects them
//! to a simulator.
//!
//! # Model
//!
//! - **Events in, actions out.** [`Limiter::handle`] takes one [`Event`] with the time at which it is
//!   delivered, and appends [`Action`]s for the caller to execute. The caller reports the effects of the
//!   actions as further events: the end of an attempt, a timer that has fired.
//! - **No input or output.** The crate uses no clock, thread, socket, file or shared state. Time advances
//!   only with the times of the events.
//! - **Control step.** Every 100 ms, a timer triggers the periodic work: slow start, polls of peers while
//!   discovery does not answer, the feedback of admission control, the request queue, the log of ejections,
//!   and the expiry of records. All other decisions are made when an event requires them.
//! - **Determinism.** All random numbers are generated from the seed of a limiter. The same settings, seed,
//!   events and times lead to the same actions, so that every run can be reproduced.
//! - **Bounded state.** Each request ends by its deadline unless its response has begun to stream, and
//!   all other records of a limiter expire or are bounded by a constant; see [`RecordCounts`].
//!
//! # Where to begin reading
//!
//! 1. [`Event`] and [`Action`]: the input and the output of a limiter (`event/`).
//! 2. `dispatch.rs`: which module handles which event.
//! 3. `request/mod.rs`: the path of a request through a limiter.
//! 4. [`rules`]: whether a request may be sent or executed again, a connection closed, or the process ended.
//! 5. The modules that a request passes through: `quota/` (quotas over all limiters), `admission/` (slots and
//!    their feedback), `endpoints/` (choice and health of servers), `gossip/` (messages between limiters).
//!
//! # Example
//!
//! ```
//! use limiter_core::*;
//!
//! let search = RequestClass {
//!     latency_objective_ms: 1000.0,
//!     late_value: 0.0,
//!     idempotency: Idempotency::Idempotent,
//!     dedup_scope: DedupScope::All,
//!     dedup_window_ms: 0.0,
//! };
//! let basic = Plan {
//!     rate: 4.0, burst: 8.0, max_in_flight: 0, ceiling_rate: 0.0, ceiling_burst: 0.0, ceiling_slack: 0.0,
//! };
//! let settings = Settings {
//!     limiters: 1, position: 0, zone: 0, classes: vec![search], plans: vec![basic], event_interval_ms: 1.0,
//!     max_attempts: 3, connect_timeout_ms: 250.0, can_gossip: false, can_cancel: true,
//!     can_send_retry_after: false, gossip_messages_per_s: 0.0, must_subscribe: false,
//!     cold_capacity_fraction: 0.2, slow_start_ms: 10_000.0, overload_factor: 3.0, overload_ms: 2000.0,
//! };
//! let mut limiter = Limiter::new(settings.clone(), 42, 0.0)?;
//! let mut actions = Vec::new();
//!
//! let endpoint = Endpoint {
//!     server: "10.0.0.1:80".into(), zone: 0, cell: 0, state: EndpointState::Serving, weight: 1.0,
//!     started_at: 0.0,
//! };
//! let event = Event::EndpointsChanged { complete: true, endpoints: [endpoint].into() };
//! limiter.handle(0.0, event, &mut actions);
//!
//! let request = Request {
//!     id: 1, class: 0, plan: 0, customer: 7, timeout_ms: 3000.0, waited_ms: 0.0, cost_units: 1.0,
//!     member_count: 1, first_member: 0,
//! };
//! limiter.handle(5.0, Event::RequestArrived(request), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Forward { id: 1, .. })));
//!
//! // Invalid settings are rejected, and the error names the value.
//! let error = Limiter::new(Settings { limiters: 0, ..settings }, 42, 0.0).unwrap_err();
//! assert_eq!(error, SettingsError::LimiterCount(0));
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod context;
mod decay;
mod dispatch;
mod endpoints;
mod event;
mod gossip;
mod hashing;
mod limiter;
mod quota;
mod readiness;
mod request;
pub mod rules;
mod settings;
mod token_bucket;

pub use event::*;
pub use limiter::{Limiter, RecordCounts};
pub use settings::*;
