//! The table of announced servers, and what this limiter has seen of each.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use super::outlier::Health;
use super::slow_start::SlowStart;
use super::start_times::StartTimes;
use crate::context::Context;
use crate::event::{Ejection, Endpoint, EndpointState, Millis, Outcome, ServerId};
use crate::hashing::endpoint_hash;
use crate::request::{AttemptRecord, RecordId, ServerLocation};
use crate::settings::Settings;

/// Weight of the newest latency in the baseline of all servers.
const BASELINE_WEIGHT: f64 = 0.05;

/// An announced server.
#[derive(Debug)]
pub(crate) struct EndpointRecord {
    /// As announced.
    pub endpoint: Endpoint,
    /// Identifies this record.
    pub id: RecordId,
    /// Identifies this start of it in gossip.
    pub fingerprint: u32,
    /// Attempts of this limiter in flight there.
    pub in_flight: u32,
    /// Its health.
    pub health: Health,
    /// Its slow start.
    pub slow_start: SlowStart,
}

impl EndpointRecord {
    /// A server of which nothing has been seen.
    pub fn new(endpoint: Endpoint, id: RecordId, now: Millis) -> Self {
        let (health, slow_start) = (Health::new(now), SlowStart::none(now));
        EndpointRecord { endpoint, id, fingerprint: 0, in_flight: 0, health, slow_start }
    }

    /// Where it is.
    pub(super) fn location(&self) -> ServerLocation {
        ServerLocation { zone: self.endpoint.zone, cell: self.endpoint.cell }
    }

    /// Whether it takes requests and is past its slow start.
    pub(super) fn is_warm_and_serving(&self) -> bool {
        !self.slow_start.is_warming() && self.endpoint.state == EndpointState::Serving
    }
}

/// What has to be known of an attempt's server at the end of the attempt, as it was when that was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptTarget {
    /// Its record.
    pub record: RecordId,
    /// Where it was.
    pub location: ServerLocation,
}

/// Identifies this start of a server in gossip.
pub(super) fn fingerprint(endpoint: &Endpoint) -> u32 {
    endpoint_hash(endpoint) as u32
}

/// The announced servers. What a request and the control step need is kept as the list changes, so that a
/// server which this limiter does not use costs it nothing in between.
#[derive(Debug)]
pub(crate) struct Endpoints {
    /// Servers by id.
    pub(super) by_id: BTreeMap<ServerId, EndpointRecord>,
    /// Their ids in the order that all limiters know.
    pub(super) ids_in_order: Vec<ServerId>,
    /// Servers that have responded well here, those that warm up among them.
    pub(super) responsive: BTreeSet<ServerId>,
    /// Servers that warm up.
    warming: BTreeSet<ServerId>,
    /// Those of them whose warming set this limiter belongs to.
    pub(super) warming_here: BTreeSet<ServerId>,
    /// When the first slow start of the others ends.
    next_slow_start_end: Millis,
    /// Servers whose ejection has not been logged.
    newly_ejected: BTreeSet<ServerId>,
    /// Servers that take requests and are past their slow start.
    num_warm: usize,
    /// Good responses a second that this limiter gets of a warm server.
    pub(super) warm_throughput: f64,
    /// Latency of good responses, smoothed over all servers.
    pub(super) baseline_latency_ms: Millis,
    /// How long ago servers started.
    pub(super) start_times: StartTimes,
    /// Records that routing and the control step have looked at.
    pub(super) num_examined: u64,
    /// The id of the next record.
    next_record: RecordId,
}

impl Default for Endpoints {
    fn default() -> Self {
        Endpoints {
            by_id: BTreeMap::new(),
            ids_in_order: Vec::new(),
            responsive: BTreeSet::new(),
            warming: BTreeSet::new(),
            warming_here: BTreeSet::new(),
            next_slow_start_end: f64::INFINITY,
            newly_ejected: BTreeSet::new(),
            num_warm: 0,
            warm_throughput: 0.0,
            baseline_latency_ms: 0.0,
            start_times: StartTimes::default(),
            num_examined: 0,
            next_record: 0,
        }
    }
}

impl Endpoints {
    /// What the wall clock reads now, in Unix milliseconds.
    pub fn set_wall_clock(&mut self, now: Millis, unix_ms: Millis) {
        self.start_times.set_wall_clock(now, unix_ms);
    }

    /// How many servers are announced.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// How many servers take requests and are past their slow start.
    pub(super) fn num_warm(&self) -> usize {
        self.num_warm
    }

    /// Records that routing and the control step have looked at so far.
    pub fn num_examined(&self) -> u64 {
        self.num_examined
    }

    /// Applies an announcement; returns the fingerprints of draining and removed servers.
    pub(super) fn update(
        &mut self,
        context: &mut Context,
        complete: bool,
        endpoints: &[Endpoint],
    ) -> Vec<u32> {
        let mut departed = Vec::new();
        self.start_times.observe(context.now, endpoints);
        if complete {
            departed.extend(self.remove_unlisted(endpoints));
        }
        for endpoint in endpoints {
            if endpoint.state == EndpointState::Removed {
                departed.extend(self.remove(&endpoint.server));
                continue;
            }
            let fingerprint = self.announce(context, endpoint);
            departed.extend((endpoint.state == EndpointState::Draining).then_some(fingerprint));
        }
        departed
    }

    /// Removes what a complete list does not name; the fingerprints.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) -> Vec<u32> {
        let listed: HashSet<&ServerId> = endpoints.iter().map(|endpoint| &endpoint.server).collect();
        let unlisted: Vec<ServerId> =
            self.ids_in_order.iter().filter(|server| !listed.contains(server)).cloned().collect();
        unlisted.iter().filter_map(|server| self.remove(server)).collect()
    }

    /// Removes a server; its fingerprint.
    fn remove(&mut self, server: &ServerId) -> Option<u32> {
        let record = self.by_id.remove(server)?;
        self.num_warm -= usize::from(record.is_warm_and_serving());
        if let Ok(position) = self.ids_in_order.binary_search(server) {
            self.ids_in_order.remove(position);
        }
        for servers in
            [&mut self.responsive, &mut self.warming, &mut self.warming_here, &mut self.newly_ejected]
        {
            servers.remove(server);
        }
        Some(record.fingerprint)
    }

    /// Takes in what is announced of a server that is not removed; its fingerprint.
    fn announce(&mut self, context: &mut Context, endpoint: &Endpoint) -> u32 {
        let known = self.by_id.remove(&endpoint.server);
        let has_started = known.as_ref().is_none_or(|known| known.endpoint.started_at != endpoint.started_at);
        let was_warm = known.as_ref().is_some_and(EndpointRecord::is_warm_and_serving);
        let mut record = known.unwrap_or_else(|| self.new_record(endpoint, context.now));
        if has_started {
            record.slow_start.begin_if_cold(context, &self.start_times, endpoint);
        }
        record.endpoint = endpoint.clone();
        record.fingerprint = fingerprint(endpoint);
        let fingerprint = record.fingerprint;
        self.count_warm(was_warm, record.is_warm_and_serving());
        self.index_slow_start(&record, &context.settings);
        self.by_id.insert(endpoint.server.clone(), record);
        fingerprint
    }

    /// The record of a server that is not known; its id takes its place in the order.
    fn new_record(&mut self, endpoint: &Endpoint, now: Millis) -> EndpointRecord {
        if let Err(position) = self.ids_in_order.binary_search(&endpoint.server) {
            self.ids_in_order.insert(position, endpoint.server.clone());
        }
        self.next_record += 1;
        EndpointRecord::new(endpoint.clone(), self.next_record, now)
    }

    fn count_warm(&mut self, was_warm: bool, is_warm: bool) {
        self.num_warm = self.num_warm + usize::from(is_warm) - usize::from(was_warm);
    }

    /// Notes whether a server warms up, and when that ends.
    fn index_slow_start(&mut self, record: &EndpointRecord, settings: &Settings) {
        let server = &record.endpoint.server;
        self.warming_here.remove(server);
        let Some(ends_at) = record.slow_start.ends_at(settings) else { return };
        self.warming.insert(server.clone());
        if record.slow_start.is_member() {
            self.warming_here.insert(server.clone());
        } else {
            self.next_slow_start_end = self.next_slow_start_end.min(ends_at);
        }
    }

    /// Refills what this limiter may send to servers that warm up, and ends the slow starts whose time is
    /// over.
    pub(super) fn refill_slow_starts(&mut self, now: Millis, settings: &Settings) {
        let servers: Vec<ServerId> = self.warming_to_consider(now).iter().cloned().collect();
        for server in &servers {
            self.refill_slow_start(server, now, settings);
        }
        self.slow_starts_refilled(now, settings);
    }

    /// The servers that warm up and may be sent something, or whose slow start may be over.
    pub(super) fn warming_to_consider(&self, now: Millis) -> &BTreeSet<ServerId> {
        if now >= self.next_slow_start_end {
            &self.warming
        } else {
            &self.warming_here
        }
    }

    /// Refills what this limiter may send to a server that warms up, or ends its slow start.
    fn refill_slow_start(&mut self, server: &ServerId, now: Millis, settings: &Settings) {
        let Some(record) = self.by_id.get_mut(server) else { return };
        self.num_examined += 1;
        record.slow_start.refill(now, self.warm_throughput, settings);
        if !record.slow_start.is_warming() {
            self.slow_start_ended(server);
        }
    }

    /// The slow start of a server has ended just now.
    pub(super) fn slow_start_ended(&mut self, server: &ServerId) {
        let is_warm = self.by_id.get(server).is_some_and(EndpointRecord::is_warm_and_serving);
        self.count_warm(false, is_warm);
        self.warming.remove(server);
        self.warming_here.remove(server);
    }

    /// To be called after those of [`Endpoints::warming_to_consider`] have been refilled: finds the next end.
    pub(super) fn slow_starts_refilled(&mut self, now: Millis, settings: &Settings) {
        if now >= self.next_slow_start_end {
            let elsewhere = self.warming.difference(&self.warming_here);
            let ends = elsewhere.filter_map(|server| self.by_id.get(server)?.slow_start.ends_at(settings));
            self.next_slow_start_end = ends.fold(f64::INFINITY, f64::min);
        }
    }

    /// Records an attempt that is being sent to a server of the table; what has to be known of that at its
    /// end.
    pub(crate) fn attempt_started(&mut self, server: &ServerId) -> Option<AttemptTarget> {
        let record = self.by_id.get_mut(server)?;
        record.in_flight += 1;
        record.slow_start.budget.level -= 1.0;
        Some(AttemptTarget { record: record.id, location: record.location() })
    }

    /// Records the end of an attempt. It says nothing of a server that was removed and announced again
    /// meanwhile.
    pub(crate) fn attempt_ended(
        &mut self,
        now: Millis,
        attempt: &AttemptRecord,
        outcome: Outcome,
        elapsed_ms: Millis,
    ) {
        if outcome == Outcome::Ok {
            let weight = if self.baseline_latency_ms > 0.0 { BASELINE_WEIGHT } else { 1.0 };
            self.baseline_latency_ms += weight * (elapsed_ms - self.baseline_latency_ms);
        }
        let Some(record) = self.record_of(attempt) else { return };
        record.in_flight = record.in_flight.saturating_sub(1);
        record.health.record(now, outcome, elapsed_ms, attempt.cancelled);
        if outcome == Outcome::Ok && !self.responsive.contains(&attempt.server) {
            self.responsive.insert(attempt.server.clone());
        }
        self.note_ejection(&attempt.server);
    }

    /// An attempt got no response in time.
    pub(crate) fn record_timeout(&mut self, now: Millis, attempt: &AttemptRecord) {
        let Some(record) = self.record_of(attempt) else { return };
        record.health.record_timeout(now);
        self.note_ejection(&attempt.server);
    }

    /// The record of an attempt's server, if it is still the one of when the attempt was sent.
    fn record_of(&mut self, attempt: &AttemptRecord) -> Option<&mut EndpointRecord> {
        self.by_id.get_mut(&attempt.server).filter(|record| record.id == attempt.record)
    }

    /// Usual latency of an attempt's server that has not responded in any way since it was sent.
    pub(crate) fn latency_if_silent(&self, now: Millis, server: &ServerId, since: Millis) -> Option<Millis> {
        let health = &self.by_id.get(server)?.health;
        (health.last_response_at < since).then(|| health.usual_latency_ms(now, self.baseline_latency_ms))
    }

    fn note_ejection(&mut self, server: &ServerId) {
        let is_new = |record: &EndpointRecord| record.health.unlogged_ejection.is_some();
        if self.by_id.get(server).is_some_and(is_new) {
            self.newly_ejected.insert(server.clone());
        }
    }

    /// Ejections that have not been logged yet, in the order of the servers' ids.
    pub(crate) fn take_ejections(&mut self) -> impl Iterator<Item = Ejection> + '_ {
        let servers = std::mem::take(&mut self.newly_ejected);
        servers.into_iter().filter_map(|server| {
            let health = &mut self.by_id.get_mut(&server)?.health;
            let (reason, duration_ms) = (health.unlogged_ejection.take()?, health.ejection_ms);
            Some(Ejection { server, reason, duration_ms })
        })
    }

    /// Marks the server of a fingerprint as draining; false if it is not serving.
    pub fn drain_by_fingerprint(&mut self, fingerprint: u32) -> bool {
        let record = self.by_id.values_mut().find(|record| record.fingerprint == fingerprint);
        let Some(record) = record.filter(|record| record.endpoint.state == EndpointState::Serving) else {
            return false;
        };
        let was_warm = record.is_warm_and_serving();
        record.endpoint.state = EndpointState::Draining;
        self.count_warm(was_warm, false);
        true
    }
}
