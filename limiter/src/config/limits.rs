//! Bounds on open connections. The memory of the process follows from their number, because all buffers are
//! bounded.

use super::file::PlatformLimits;

/// Maximum memory in MB that one connection uses. Bounds the number of connections by memory.
const CONNECTION_MB: f64 = 0.15;
/// Number of descriptors that are reserved for purposes other than client and server connections. Thirteen
/// descriptors are always open: the three standard streams, two for events and one for wake-ups, five for
/// signals (a receiver, and a sender for each of the four signals), the listener and the gossip socket. At
/// most six more are open temporarily: the watches on the old and the new discovery with a slow request each,
/// the configuration file during a reload, and a client that is being accepted. Three of these nineteen
/// exceed the reserved number. The sixth of the connections that stays spare, at least eight, covers these
/// three.
const RESERVED_DESCRIPTORS: usize = 16;
/// Lowest number of connections that the platform's limits must allow. Of 48 connections, 24 are for clients,
/// 16 for servers, and 8 are spare.
pub const MIN_CONNECTIONS: usize = 48;
/// Divisor of the connections for the share of clients, a half. With [`SERVER_DIVISOR`], a sixth stays spare.
const CLIENT_DIVISOR: usize = 2;
/// Divisor of the connections for the share of servers, a third.
const SERVER_DIVISOR: usize = 3;

/// Divisor of the memory for the bytes that are read ahead beyond the amount that each client connection may
/// always hold. A buffer may allocate twice its content, so these bytes take up to an eighth of the memory,
/// less than the sixth that the spare connections leave.
const READ_AHEAD_DIVISOR: f64 = 16.0;
/// Bytes in a megabyte, as the platform counts memory.
const BYTES_PER_MB: f64 = 1e6;

/// Bounds on open connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Highest number of client connections.
    pub clients: usize,
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
        Ok(ConnectionLimits {
            clients: available / CLIENT_DIVISOR,
            servers: available / SERVER_DIVISOR,
            read_ahead_bytes: (platform.memory_mb * BYTES_PER_MB / READ_AHEAD_DIVISOR) as usize,
        })
    }
}
