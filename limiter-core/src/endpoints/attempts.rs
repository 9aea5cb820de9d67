//! Updates of the server records when an attempt starts, ends or times out.
//!
//! An attempt refers to the record of its server by the id of the record. A server may be removed, or removed
//! and announced again, while the attempt is in flight: the end of the attempt then changes no record,
//! because the new record has another id.

use super::record::{EndpointRecord, RecordId, ServerLocation};
use super::registry::Endpoints;
use crate::event::{Ejection, EjectionReason, Millis, Outcome, ServerId};
use crate::request::AttemptRecord;

/// The server of an attempt at the time at which the attempt was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptTarget {
    /// Id of the server's record.
    pub record: RecordId,
    /// Zone and cell of the server.
    pub location: ServerLocation,
}

impl Endpoints {
    /// Records that an attempt is sent to a server. Returns `None` if the server is not announced.
    pub(crate) fn record_attempt_start(&mut self, server: &ServerId) -> Option<AttemptTarget> {
        let record = self.by_id.get_mut(server)?;
        record.in_flight += 1;
        record.slow_start.spend();
        Some(AttemptTarget { record: record.id, location: record.location() })
    }

    /// Records the end of an attempt.
    pub(crate) fn record_attempt_end(
        &mut self,
        now: Millis,
        attempt: &AttemptRecord,
        outcome: Outcome,
        elapsed_ms: Millis,
    ) {
        if outcome == Outcome::Ok {
            self.baseline_latency.record(elapsed_ms);
        }
        let Some(record) = self.record_of(attempt) else { return };
        record.in_flight = record.in_flight.saturating_sub(1);
        let ejection = record.health.record_attempt_end(now, outcome, elapsed_ms, attempt.timed_out);
        if outcome == Outcome::Ok && !self.responders.contains(&attempt.server) {
            self.responders.insert(attempt.server.clone());
        }
        self.log_ejection(&attempt.server, ejection);
    }

    /// Records that an attempt received no response in time. The attempt itself stays in flight.
    pub(crate) fn record_timeout(&mut self, now: Millis, attempt: &AttemptRecord) {
        let Some(record) = self.record_of(attempt) else { return };
        let ejection = record.health.record_no_response(now);
        self.log_ejection(&attempt.server, ejection);
    }

    /// Returns the record of the server that an attempt was sent to, or `None` if that record has been
    /// removed.
    fn record_of(&mut self, attempt: &AttemptRecord) -> Option<&mut EndpointRecord> {
        self.by_id.get_mut(&attempt.server).filter(|record| record.id == attempt.record)
    }

    /// Returns the usual latency of a server that has not responded to any attempt since the time `since`.
    /// Returns `None` if the server has responded since then, or is not announced. For a server that was
    /// removed and announced again, the new record is used.
    pub(crate) fn usual_latency_if_silent(
        &self,
        now: Millis,
        server: &ServerId,
        since: Millis,
    ) -> Option<Millis> {
        let health = &self.by_id.get(server)?.health;
        if health.last_response_at < since {
            Some(health.usual_latency_ms(now, self.baseline_latency.value_ms()))
        } else {
            None
        }
    }

    /// Adds an ejection, if there was one, to the ejections that have to be logged.
    fn log_ejection(&mut self, server: &ServerId, ejection: Option<EjectionReason>) {
        if let Some(reason) = ejection {
            self.ejection_log.record(server, reason);
        }
    }

    /// Returns the ejections that have not been logged yet, in the order of the servers' ids, and clears
    /// them.
    pub(crate) fn take_ejections(&mut self) -> impl Iterator<Item = Ejection> + '_ {
        self.ejection_log.take().into_iter().filter_map(|(server, reason)| {
            let duration_ms = self.by_id.get(&server)?.health.ejection_ms;
            Some(Ejection { server, reason, duration_ms })
        })
    }
}
