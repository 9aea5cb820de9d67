//! Whether a request may be sent or executed again, a connection closed, or the process ended at this moment.
//!
//! Only this module answers these questions, both for the decisions of this crate and for the program that
//! owns the sockets:
//!
//! - `attempts.rs`: whether a request may be attempted, executed again, or written to a server;
//! - `client_connections.rs`: whether the connection of a client may be closed or evicted, is overdue, or
//!   blocks the shutdown, and whether another request may be submitted;
//! - `server_connections.rs`: whether an idle connection to a server may carry another request;
//! - `shutdown.rs`: whether the process may exit.
//!
//! The caller collects the facts of one moment in a struct, and each rule is a pure function of these facts.
//! The caller must act on the answer before any other event is processed, because the facts may change with
//! any event. If the rules on attempts deny an attempt, they return the reason. This crate discards the
//! reason; the program logs the reason for which an attempt was not written to its server.
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
pub use client_connections::{
    may_submit, ClientConnectionFacts, Eviction, SubmissionFacts, INCOMPLETE_REQUEST_TIMEOUT_MS,
};
pub use server_connections::ServerConnectionFacts;
pub use shutdown::{may_exit, ShutdownFacts};
