//! Bounds on open connections. The memory of the process follows from their number, because all buffers are
//! bounded.

use super::file::PlatformLimits;

/// Memory in MB for each connection. Bounds the number of connections by memory.
///
/// | connection | share of all | holds at most, in KiB |
/// | --- | --- | --- |
/// | client with an open request | 1/2 | body 64, response 64, read ahead 16, head and buffer 32, task 8 |
/// | other client | 1/12 | the same without a response |
/// | server | 1/3 | read buffer 16, task 8 |
///
/// The response that is being read from a server counts for its client. On average these are 0.113 MB. The
/// bytes of [`READ_AHEAD_DIVISOR`] add 0.009 MB, and what is left is for all other memory of the process.
const CONNECTION_MB: f64 = 0.15;
/// Number of descriptors that are reserved for purposes other than client and server connections. Thirteen
/// descriptors are always open: the three standard streams, two for events and one for wake-ups, five for
/// signals (a receiver, and a sender for each of the four signals), the listener and the gossip socket. At
/// most six more are open temporarily: the watches on the old and the new discovery with a slow request each,
/// the configuration file during a reload, and a client that is being accepted. Three of these nineteen
/// exceed the reserved number. The twelfth of the connections that stays spare, at least four, covers these
/// three.
const RESERVED_DESCRIPTORS: usize = 16;
/// Lowest number of connections that the platform's limits must allow. Of 48 connections, 24 are for clients
/// with an open request, 4 for other clients, 16 for servers, and 4 are spare.
pub const MIN_CONNECTIONS: usize = 48;
/// Divisor of the connections for the share of clients with an open request, a half.
const BUSY_CLIENT_DIVISOR: usize = 2;
/// Divisor of the connections for the share of further clients, a twelfth. Such a connection either has no
/// complete request and may be evicted soon, or its request is rejected at once. The accept queue therefore
/// moves on although requests are open on all other connections.
const OTHER_CLIENT_DIVISOR: usize = 12;
/// Divisor of the connections for the share of servers, a third. With the shares of clients, a twelfth stays
/// spare.
const SERVER_DIVISOR: usize = 3;

/// Divisor of the memory for the bytes that are read ahead beyond the amount that each client connection may
/// always hold.
const READ_AHEAD_DIVISOR: f64 = 16.0;
/// Bytes in a megabyte, as the platform counts memory.
const BYTES_PER_MB: f64 = 1e6;

/// Bounds on open connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Highest number of client connections.
    pub clients: usize,
    /// Highest number of client connections with a request that was submitted.
    pub busy_clients: usize,
    /// Highest number of connections to servers, including idle ones.
    pub servers: usize,
    /// Highest number of bytes that are read ahead for all clients together, beyond the amount that each
    /// connection may always hold.
    pub read_ahead_bytes: usize,
}

/// The platform's limits allow fewer than [`MIN_CONNECTIONS`] connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooFewConnections {
    /// Number of connections that the limits allow.
    pub available: usize,
}

impl ConnectionLimits {
    /// Returns the bounds that follow from the platform's limits.
    ///
    /// # Errors
    /// [`TooFewConnections`] if the limits are too low to serve.
    pub fn new(platform: PlatformLimits) -> Result<ConnectionLimits, TooFewConnections> {
        let by_memory = (platform.memory_mb / CONNECTION_MB).max(0.0) as usize;
        let by_descriptors = platform.sockets.saturating_sub(RESERVED_DESCRIPTORS);
        let available = by_descriptors.min(by_memory);
        if available < MIN_CONNECTIONS {
            return Err(TooFewConnections { available });
        }
        let busy_clients = available / BUSY_CLIENT_DIVISOR;
        Ok(ConnectionLimits {
            clients: busy_clients + available / OTHER_CLIENT_DIVISOR,
            busy_clients,
            servers: available / SERVER_DIVISOR,
            read_ahead_bytes: (platform.memory_mb * BYTES_PER_MB / READ_AHEAD_DIVISOR) as usize,
        })
    }
}
