//! Attempts at servers, and the pool of connections to servers.
//!
//! Modules, in the order in which to read them. Each one uses only those listed after it:
//!
//! | module | job |
//! | --- | --- |
//! | [`executor`] | starts attempts for the engine, and reports how each one ended |
//! | [`attempt`] | one attempt: connect, check, send, receive |
//! | [`servers`] | provides connections to servers, pooled or new |
//! | [`response`] | translates a server's response into the result of the attempt |
//! | [`pool`] | idle connections, and the limit on open connections |
//! | [`connection`] | one connection, and the exchanges on it |
//! | [`permit`] | counts the open connections |

mod attempt;
mod connection;
mod executor;
mod permit;
mod pool;
mod response;
mod servers;

pub use servers::{close_expired_connections, Servers};
