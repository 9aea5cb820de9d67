//! The pool of connections to servers: idle connections, and the limit on open connections.

use std::collections::HashMap;
use std::time::Instant;

use limiter_core::rules::ServerConnectionFacts;
use limiter_core::{Millis, ServerId};

use super::connection::PooledConnection;
use super::permit::{ConnectionLimit, ConnectionPermit};
use crate::runtime::duration;

/// A connection that carries no request.
struct IdleConnection {
    connection: PooledConnection,
    idle_since: Instant,
}

impl IdleConnection {
    /// Returns the facts by which the rules decide about the connection at this moment.
    fn facts(&self, max_idle_ms: Millis) -> ServerConnectionFacts {
        ServerConnectionFacts { idle_ms: duration::to_ms(self.idle_since.elapsed()), max_idle_ms }
    }
}

/// Idle connections by server, and the limit on open connections.
///
/// Connections are pooled by server and not by address: a new server at the address of a removed one must not
/// receive requests on connections to the removed one.
pub struct ConnectionPool {
    /// The idle connections to each server, the one that has been idle for longest first.
    idle: HashMap<ServerId, Vec<IdleConnection>>,
    /// Connections that have been idle for this time or longer are not used.
    max_idle_ms: Millis,
    /// Counts all open connections, idle ones included.
    limit: ConnectionLimit,
}

impl ConnectionPool {
    /// Creates an empty pool that allows `max_open` connections, and closes connections that have been idle
    /// for `max_idle_ms`.
    pub fn new(max_open: usize, max_idle_ms: Millis) -> ConnectionPool {
        ConnectionPool { idle: HashMap::new(), max_idle_ms, limit: ConnectionLimit::new(max_open) }
    }

    /// Takes a connection to a server from the pool: the most recently used one among those whose reuse delay
    /// has passed, that have not expired and that are alive.
    ///
    /// A connection that the server has closed, or on which the server has written without a request, is
    /// closed here. A request on such a connection would end in a reset, or would receive as its response
    /// what the server wrote. Nothing polls a connection while it is idle, so that this check is the first to
    /// notice bytes that arrived in that time.
    pub fn take_idle(&mut self, server: &ServerId) -> Option<PooledConnection> {
        let max_idle_ms = self.max_idle_ms;
        let connections = self.idle.get_mut(server)?;
        let is_reusable = |idle: &IdleConnection| !idle.facts(max_idle_ms).is_in_reuse_delay();
        while let Some(position) = connections.iter().rposition(is_reusable) {
            let mut idle = connections.remove(position);
            if !idle.facts(max_idle_ms).is_expired() && idle.connection.is_alive() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Adds a connection to the pool. Its last response has been read to the end, and its reuse delay begins
    /// now.
    pub fn put_idle(&mut self, server: &ServerId, connection: PooledConnection) {
        let idle = IdleConnection { connection, idle_since: Instant::now() };
        self.idle.entry(server.clone()).or_default().push(idle);
    }

    /// Returns a permit for one more connection. At the limit, closes the connection that has been idle for
    /// longest, and returns `None` if no connection is idle.
    pub fn acquire_permit(&mut self) -> Option<ConnectionPermit> {
        if let Some(permit) = self.limit.try_acquire() {
            return Some(permit);
        }
        self.close_longest_idle();
        self.limit.try_acquire()
    }

    /// Closes the connection that has been idle for longest, if any is idle.
    fn close_longest_idle(&mut self) {
        let non_empty = self.idle.values_mut().filter(|connections| !connections.is_empty());
        if let Some(connections) = non_empty.min_by_key(|connections| connections[0].idle_since) {
            connections.remove(0);
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, server: &ServerId) {
        self.idle.remove(server);
    }

    /// Closes the connections that have been idle for too long.
    pub fn close_expired(&mut self) {
        let max_idle_ms = self.max_idle_ms;
        self.idle.retain(|_, connections| {
            connections.retain(|idle| !idle.facts(max_idle_ms).is_expired());
            !connections.is_empty()
        });
    }
}
