//! Ejections that have not been logged yet.

use std::collections::BTreeMap;

use crate::event::{EjectionReason, ServerId};

/// The latest ejection of each server that has not been logged. The control step logs and clears them.
#[derive(Debug, Default)]
pub(super) struct EjectionLog {
    unlogged: BTreeMap<ServerId, EjectionReason>,
}

impl EjectionLog {
    /// Records an ejection. Replaces an earlier ejection of the same server.
    pub fn record(&mut self, server: &ServerId, reason: EjectionReason) {
        self.unlogged.insert(server.clone(), reason);
    }

    /// Discards the ejection of a server that is removed.
    pub fn remove(&mut self, server: &ServerId) {
        self.unlogged.remove(server);
    }

    /// Returns the ejections and clears the log.
    pub fn take(&mut self) -> BTreeMap<ServerId, EjectionReason> {
        std::mem::take(&mut self.unlogged)
    }
}
