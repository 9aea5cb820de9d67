//! The ring of server ids, and the index at which each limiter begins to visit the servers.

use std::collections::BTreeSet;

use crate::event::ServerId;

/// Distance between the first servers of two neighbouring limiters, as a fraction of the ring: the reciprocal
/// of the golden ratio. Neighbouring limiters share customers and therefore begin far apart. With this
/// fraction, any number of limiters is spread evenly over the ring.
const STEP_BETWEEN_LIMITERS: f64 = 0.618_034;

/// The ids of all announced servers in ascending order, which is the same at all limiters. The first id
/// follows the last.
#[derive(Debug, Default)]
pub(super) struct ServerRing {
    ids: Vec<ServerId>,
}

impl ServerRing {
    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Adds a server unless it is present.
    pub fn insert(&mut self, server: &ServerId) {
        if let Err(index) = self.ids.binary_search(server) {
            self.ids.insert(index, server.clone());
        }
    }

    /// Removes a server, if present.
    pub fn remove(&mut self, server: &ServerId) {
        if let Ok(index) = self.ids.binary_search(server) {
            self.ids.remove(index);
        }
    }

    /// Returns the index of the server that the limiter at a position visits first.
    pub fn first_index(&self, position: u32) -> usize {
        ((f64::from(position) * STEP_BETWEEN_LIMITERS).fract() * self.ids.len() as f64) as usize
    }

    /// Returns the server `offset` places after the index `first`. The ring must not be empty.
    pub fn server_at(&self, first: usize, offset: usize) -> &ServerId {
        &self.ids[(first + offset) % self.ids.len()]
    }

    /// Returns those of `servers` that a walk from the index `first` has not reached after `num_visited`
    /// servers, in the order in which the walk would reach them.
    pub fn not_visited(
        &self,
        first: usize,
        num_visited: usize,
        servers: &BTreeSet<ServerId>,
    ) -> Vec<ServerId> {
        if num_visited >= self.ids.len() || servers.is_empty() {
            return Vec::new();
        }
        let end = self.ids[first].clone();
        let next = self.server_at(first, num_visited).clone();
        if first + num_visited < self.ids.len() {
            let until_wrap = servers.range(next..);
            let after_wrap = servers.range(..end);
            until_wrap.chain(after_wrap).cloned().collect()
        } else {
            servers.range(next..end).cloned().collect()
        }
    }
}
