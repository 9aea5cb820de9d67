//! Faults of servers: replacement, restarts, misbehaviour, and limited reachability.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::Rng;
use tokio::time::sleep;

use super::random_ms;
use crate::discovery::EndpointState;
use crate::harness::{Harness, RunningServer, ServerIdentity};
use crate::server::{Behaviour, Reachability};

/// Time between the removal of a server from the endpoint list and the end of its process.
const STOP_DELAY: Duration = Duration::from_millis(500);
/// Latency of a slow server.
const SLOW_LATENCY: Duration = Duration::from_millis(700);
/// Exclusive upper bound on the duration of most misbehaviour, in milliseconds.
const MAX_MISBEHAVIOUR_MS: u64 = 3000;
/// Exclusive upper bound on the time for which a server is unresponsive, in milliseconds. The bound is long
/// enough for a server to be unresponsive during the entire graceful shutdown of a limiter.
const MAX_UNRESPONSIVE_MS: u64 = 6000;

/// Replaces some servers: each is drained and later removed, and a new server starts for it.
pub async fn replace(harness: &Harness, rng: &mut SmallRng) {
    let max_count = (harness.deployment.servers / 3).max(1);
    let count = rng.random_range(1..=max_count);
    for _ in 0..count {
        let Some(RunningServer { name, server }) = harness.take_server(rng) else { return };
        harness.record.record_event(format!("{name} (number {}) is replaced", server.number));
        harness.discovery.withdraw(&name, EndpointState::Draining);
        if harness.start_new_server(true, rng.random()).is_err() {
            return;
        }
        let discovery = harness.discovery.clone();
        let draining_time = random_ms(rng, 300, 3000);
        tokio::spawn(async move {
            sleep(draining_time).await;
            discovery.withdraw(&name, EndpointState::Removed);
            sleep(STOP_DELAY).await;
            server.stop();
        });
        sleep(random_ms(rng, 0, 300)).await;
    }
}

/// Crashes a server without notice, and restarts it under the same name.
pub async fn restart(harness: &Harness, rng: &mut SmallRng) {
    let Some(RunningServer { name, server }) = harness.take_server(rng) else { return };
    harness.record.record_event(format!("{name} (number {}) crashes", server.number));
    let record = harness.record.lock().servers[server.number].clone();
    server.stop();
    sleep(random_ms(rng, 100, 1500)).await;
    let identity = ServerIdentity {
        name: name.clone(),
        address_index: server.address_index,
        zone: record.zone,
        cell: record.cell,
    };
    if harness.restart_server(identity, rng.random()).is_ok() {
        harness.record.record_event(format!("{name} restarts with a slow start"));
    }
}

/// Makes some servers misbehave for a while, all of them in the same way.
pub async fn misbehave(harness: &Harness, rng: &mut SmallRng) {
    let behaviours = [
        Behaviour::Unresponsive,
        Behaviour::Reset,
        Behaviour::PartialResponse,
        Behaviour::DuplicateResponse,
        Behaviour::Reject,
        Behaviour::Fail,
        Behaviour::Serve(SLOW_LATENCY),
    ];
    let Some(behaviour) = behaviours.choose(rng).copied() else { return };
    let servers = harness.choose_servers(rng);
    harness.record.record_event(format!("{} servers: {behaviour:?}", servers.len()));
    for server in &servers {
        server.set_behaviour(Some(behaviour));
    }
    let max_ms = if behaviour == Behaviour::Unresponsive { MAX_UNRESPONSIVE_MS } else { MAX_MISBEHAVIOUR_MS };
    sleep(random_ms(rng, 200, max_ms)).await;
    for server in &servers {
        server.set_behaviour(None);
    }
}

/// Limits how connections reach some servers for a while.
pub async fn limit_reachability(harness: &Harness, reachability: Reachability, rng: &mut SmallRng) {
    let servers = harness.choose_servers(rng);
    harness.record.record_event(format!("{} servers: {reachability:?}", servers.len()));
    for server in &servers {
        server.set_reachability(reachability);
    }
    sleep(random_ms(rng, 200, 2500)).await;
    for server in &servers {
        server.set_reachability(Reachability::Open);
    }
}
