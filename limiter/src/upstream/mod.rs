//! The servers: attempts at them, and the pool of connections to them.
//!
//! Modules, in the order in which to read them; each one uses only those listed after it:
//!
//! | module | job |
//! | --- | --- |
//! | [`servers`] | starts attempts for the engine, and reports how each one ended |
//! | [`attempt`] | one attempt: connect, check, send, receive |
//! | [`response`] | what a server's response means for the core |
//! | [`pool`] | idle connections, and the bound on all open ones |
//! | [`connection`] | one connection, and the exchanges on it |
//! | [`permit`] | counts the open connections |

mod attempt;
mod connection;
mod permit;
mod pool;
mod response;
mod servers;

pub use servers::{close_expired_connections, Servers};
