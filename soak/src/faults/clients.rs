//! Faults of clients: early disconnects, bursts, stalled requests and idle connections.

use rand::rngs::SmallRng;
use tokio::time::sleep;

use super::random_ms;
use crate::clients::{misbehaving, DISCONNECTING_PER_MILLE};
use crate::harness::Harness;

/// Per mille of the clients that disconnect early during the fault.
const MANY_DISCONNECTING_PER_MILLE: u64 = 330;
/// Multiple of the usual request rate during a burst.
const BURST_FACTOR: u64 = 3;
/// Number of clients that stall at the same time.
const NUM_STALLING_CLIENTS: usize = 10;
/// Number of clients that stay idle at the same time.
const NUM_IDLE_CLIENTS: usize = 80;

/// Makes a third of the clients disconnect before their response, for a while.
pub async fn raise_disconnect_rate(harness: &Harness, rng: &mut SmallRng) {
    harness.record.record_event("a third of the clients disconnect early");
    harness.clients.set_disconnecting_per_mille(MANY_DISCONNECTING_PER_MILLE);
    sleep(random_ms(rng, 300, 2000)).await;
    harness.clients.set_disconnecting_per_mille(DISCONNECTING_PER_MILLE);
}

/// Multiplies the request rate for a while.
pub async fn raise_request_rate(harness: &Harness, rng: &mut SmallRng) {
    harness.record.record_event("burst of requests");
    harness.clients.set_rate_factor(BURST_FACTOR);
    sleep(random_ms(rng, 500, 2500)).await;
    harness.clients.set_rate_factor(1);
}

/// Opens connections to one limiter that send an incomplete request and stay open.
pub fn open_stalled_connections(harness: &Harness, limiter: usize) {
    misbehaving::open_stalled_connections(&harness.clients, limiter, NUM_STALLING_CLIENTS);
}

/// Opens connections to one limiter that send nothing, and closes them after a while.
pub async fn open_idle_connections(harness: &Harness, limiter: usize, rng: &mut SmallRng) {
    harness.record.record_event(format!("limiter {limiter}: {NUM_IDLE_CLIENTS} idle clients"));
    let duration = random_ms(rng, 500, 4000);
    misbehaving::hold_idle_connections(&harness.clients, limiter, NUM_IDLE_CLIENTS, duration).await;
}
