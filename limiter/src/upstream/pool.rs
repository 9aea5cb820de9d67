//! The pool of connections to servers: those that are idle, and a bound on all that are open.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use limiter_core::rules::ServerConnectionFacts;
use limiter_core::{Millis, ServerId};

use super::connection::PooledConnection;
use super::permit::ConnectionPermit;
use crate::runtime::duration;

struct IdleConnection {
    connection: PooledConnection,
    since: Instant,
}

impl IdleConnection {
    /// What the rules have to know of it at this moment.
    fn facts(&self, max_idle_ms: Millis) -> ServerConnectionFacts {
        ServerConnectionFacts { idle_ms: duration::to_ms(self.since.elapsed()), max_idle_ms }
    }
}

/// Idle connections by server, and a bound on all that are open. Not by address: a new server at the address of one
/// that has gone must not be sent requests on that one's connections.
pub struct ConnectionPool {
    /// Each server's connections, the one idle for longest first.
    idle: HashMap<ServerId, Vec<IdleConnection>>,
    max_idle_ms: Millis,
    /// Permits given out, for idle connections too.
    open: Rc<Cell<usize>>,
    max_open: usize,
}

impl ConnectionPool {
    /// A pool that allows `max_open` connections and drops those that have been idle for `max_idle_ms`.
    pub fn new(max_open: usize, max_idle_ms: Millis) -> ConnectionPool {
        ConnectionPool { idle: HashMap::new(), max_idle_ms, open: Rc::default(), max_open }
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

    /// The connection used last that is out of quarantine and still alive. One that the server has closed, or has
    /// written to unasked, is dropped here, before use: a request written to it would end as a reset, or be given what
    /// the server wrote as its response.
    pub fn take_idle(&mut self, server: &ServerId) -> Option<PooledConnection> {
        let max_idle_ms = self.max_idle_ms;
        let connections = self.idle.get_mut(server)?;
        let has_rested = |idle: &IdleConnection| !idle.facts(max_idle_ms).is_in_reuse_delay();
        while let Some(position) = connections.iter().rposition(has_rested) {
            let mut idle = connections.remove(position);
            if !idle.facts(max_idle_ms).is_expired() && idle.connection.is_alive() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// A permit for one more connection. Where none is left the connection idle for longest is closed for it; `None`
    /// if no connection is idle.
    pub fn reserve(&mut self) -> Option<ConnectionPermit> {
        if self.open.get() >= self.max_open {
            self.close_longest_idle()?;
        }
        Some(ConnectionPermit::new(&self.open))
    }

    fn close_longest_idle(&mut self) -> Option<()> {
        let non_empty = self.idle.values_mut().filter(|connections| !connections.is_empty());
        let connections = non_empty.min_by_key(|connections| connections[0].since)?;
        connections.remove(0);
        Some(())
    }

    /// Keeps a connection for later use; its quarantine begins.
    pub fn put_idle(&mut self, server: &ServerId, connection: PooledConnection) {
        let idle = IdleConnection { connection, since: Instant::now() };
        self.idle.entry(server.clone()).or_default().push(idle);
    }
}
