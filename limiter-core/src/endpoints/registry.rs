//! The registry of announced servers: installs and removes their records, and keeps the indexes over the
//! records up to date.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use super::ejection_log::EjectionLog;
use super::latency::SmoothedLatency;
use super::record::{EndpointRecord, Fingerprint, RecordId};
use super::ring::ServerRing;
use super::slow_start_index::SlowStartIndex;
use super::start_times::StartTimes;
use crate::context::Context;
use crate::event::{Endpoint, EndpointState, Millis, ServerId};

/// Weight of the newest sample in the baseline latency. The baseline is the smoothed latency of the responses
/// of all servers, and therefore receives many more samples than the latency of a single server.
const BASELINE_NEWEST_WEIGHT: f64 = 0.05;

/// The announced servers, and what this limiter has observed of them.
///
/// Every change updates the indexes (the ring, the responders, the slow starts, the number of warm servers).
/// A request or a control step therefore does not examine servers that this limiter does not use, except to
/// end their slow starts.
#[derive(Debug)]
pub(crate) struct Endpoints {
    /// Records of all announced servers. Draining servers are included, removed ones are not.
    pub(super) by_id: BTreeMap<ServerId, EndpointRecord>,
    /// The ids of all announced servers, in the order in which routing visits them.
    pub(super) ring: ServerRing,
    /// Servers that have sent this limiter a good response, including those in slow start.
    pub(super) responders: BTreeSet<ServerId>,
    /// Servers in slow start.
    pub(super) slow_starts: SlowStartIndex,
    /// Ejections that have not been logged yet.
    pub(super) ejection_log: EjectionLog,
    /// Number of servers that accept requests and are not in slow start.
    num_warm: usize,
    /// Good responses per second that this limiter receives from one warm server on average. The budgets of
    /// slow start are computed from this throughput.
    pub(super) warm_throughput: f64,
    /// Latency of the good responses of all servers together.
    pub(super) baseline_latency: SmoothedLatency,
    /// State from which the ages of servers are estimated.
    pub(super) start_times: StartTimes,
    /// Number of records that routing and the control step have examined so far. Tests use the number to
    /// check that unused servers cost next to nothing.
    pub(super) num_examined: u64,
    /// Id of the newest record.
    last_record_id: RecordId,
}

impl Default for Endpoints {
    fn default() -> Self {
        Endpoints {
            by_id: BTreeMap::new(),
            ring: ServerRing::default(),
            responders: BTreeSet::new(),
            slow_starts: SlowStartIndex::default(),
            ejection_log: EjectionLog::default(),
            num_warm: 0,
            warm_throughput: 0.0,
            baseline_latency: SmoothedLatency::new(BASELINE_NEWEST_WEIGHT),
            start_times: StartTimes::default(),
            num_examined: 0,
            last_record_id: 0,
        }
    }
}

impl Endpoints {
    /// Records the reading of the wall clock at time `now`, in Unix milliseconds.
    pub fn set_wall_clock(&mut self, now: Millis, unix_ms: Millis) {
        self.start_times.set_wall_clock(now, unix_ms);
    }

    /// Returns the number of announced servers, including draining ones.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns the number of servers that accept requests and are not in slow start.
    pub(super) fn num_warm(&self) -> usize {
        self.num_warm
    }

    /// Returns the number of records that routing and the control step have examined so far.
    pub fn num_examined(&self) -> u64 {
        self.num_examined
    }

    /// Applies an announcement, which lists either all servers (`complete`) or those that changed. Returns
    /// the fingerprints of the servers that are draining, announced as removed, or missing from a complete
    /// list.
    pub(super) fn update(
        &mut self,
        context: &mut Context,
        complete: bool,
        endpoints: &[Endpoint],
    ) -> Vec<Fingerprint> {
        let mut departed = Vec::new();
        self.start_times.record_announced(context.now, endpoints);
        if complete {
            departed.extend(self.remove_unlisted(endpoints));
        }
        for endpoint in endpoints {
            match endpoint.state {
                EndpointState::Removed => departed.extend(self.remove(&endpoint.server)),
                EndpointState::Draining => departed.push(self.install(context, endpoint)),
                EndpointState::Serving => {
                    self.install(context, endpoint);
                }
            }
        }
        departed
    }

    /// Removes the servers that a complete list does not name. Returns their fingerprints in the order of the
    /// ids.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) -> Vec<Fingerprint> {
        let listed: HashSet<&ServerId> = endpoints.iter().map(|endpoint| &endpoint.server).collect();
        let unlisted: Vec<ServerId> =
            self.by_id.keys().filter(|server| !listed.contains(server)).cloned().collect();
        unlisted.iter().filter_map(|server| self.remove(server)).collect()
    }

    /// Removes a server and everything that was observed of it. Returns its fingerprint if it was announced.
    fn remove(&mut self, server: &ServerId) -> Option<Fingerprint> {
        let record = self.by_id.remove(server)?;
        self.update_num_warm(record.is_warm_and_serving(), false);
        self.ring.remove(server);
        self.responders.remove(server);
        self.slow_starts.remove(server);
        self.ejection_log.remove(server);
        Some(record.fingerprint)
    }

    /// Installs a server that is serving or draining, or updates its record. Returns its fingerprint.
    fn install(&mut self, context: &mut Context, endpoint: &Endpoint) -> Fingerprint {
        let known = self.by_id.remove(&endpoint.server);
        let is_new_start =
            known.as_ref().is_none_or(|known| known.endpoint.started_at != endpoint.started_at);
        let was_warm = known.as_ref().is_some_and(EndpointRecord::is_warm_and_serving);
        let mut record = known.unwrap_or_else(|| self.new_record(endpoint, context.now));
        if is_new_start {
            record.slow_start.begin_if_cold(context, &self.start_times, endpoint);
        }
        record.set_endpoint(endpoint);
        let fingerprint = record.fingerprint;
        self.update_num_warm(was_warm, record.is_warm_and_serving());
        self.slow_starts.update(&endpoint.server, &record.slow_start, &context.settings);
        self.by_id.insert(endpoint.server.clone(), record);
        fingerprint
    }

    /// Returns a record with a new id for a server that is not in the registry, and adds the server to the
    /// ring.
    fn new_record(&mut self, endpoint: &Endpoint, now: Millis) -> EndpointRecord {
        self.ring.insert(&endpoint.server);
        self.last_record_id += 1;
        EndpointRecord::new(endpoint.clone(), self.last_record_id, now)
    }

    /// Updates the number of warm servers after one server has changed.
    pub(super) fn update_num_warm(&mut self, was_warm: bool, is_warm: bool) {
        self.num_warm = self.num_warm + usize::from(is_warm) - usize::from(was_warm);
    }

    /// Marks the server with this fingerprint as draining. Returns false if no such server is serving.
    pub(super) fn drain_by_fingerprint(&mut self, fingerprint: Fingerprint) -> bool {
        let record = self.by_id.values_mut().find(|record| record.fingerprint == fingerprint);
        let Some(record) = record.filter(|record| record.is_serving()) else {
            return false;
        };
        let was_warm = record.is_warm_and_serving();
        record.endpoint.state = EndpointState::Draining;
        self.update_num_warm(was_warm, false);
        true
    }
}
