//! Whether something may be sent, executed again, closed or ended at this moment.
//!
//! This module is the only place that answers these questions, for the decisions and for the sockets alike:
//!
//! - `attempts.rs`: whether a request may be attempted, executed once more, or written to a server;
//! - `client_connections.rs`: whether the connection of a client may be closed or evicted, or is overdue;
//! - `server_connections.rs`: whether an idle connection to a server may carry another request;
//! - `shutdown.rs`: whether the process may exit.
//!
//! The caller collects the facts of one moment in a struct, and each rule is a pure function of these facts.
//! The caller must act on the answer before any other event is processed, because the facts may change with
//! any event. The rules on attempts return the reason against an attempt. The decisions discard that reason;
//! the program logs the reason for which an attempt was not written to its server.
//!
//! A request that may be attempted again is not always attempted: the retry budget (`request/retry.rs`) and
//! the choice of a server (`endpoints/routing.rs`) limit attempts further.

mod attempts;
mod client_connections;
mod server_connections;
mod shutdown;

pub use attempts::{
    may_attempt, may_execute, may_send, AttemptDenied, AttemptFacts, ExecutionFacts, SendFacts,
};
pub use client_connections::{ClientConnectionFacts, INCOMPLETE_REQUEST_TIMEOUT_MS};
pub use server_connections::ServerConnectionFacts;
pub use shutdown::{may_exit, ShutdownFacts};
