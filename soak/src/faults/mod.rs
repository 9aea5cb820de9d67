//! The faults that a run injects, with their frequencies and durations. Each submodule holds one family of
//! faults.

mod clients;
mod discovery;
mod gossip;
mod limiters;
mod servers;

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::{SmallRng, StdRng};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use crate::harness::Harness;
use crate::server::Reachability;
use limiters::RestartSignal;

/// Mean time between the starts of consecutive faults. Most faults last longer, so that two or three overlap.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(350);
/// Longest time between the starts of consecutive faults.
const MAX_FAULT_INTERVAL: Duration = Duration::from_secs(2);

/// A fault that the harness can inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A limiter is ended by SIGTERM and restarted.
    TerminateLimiter,
    /// A limiter is ended by SIGKILL and restarted.
    KillLimiter,
    /// Some or all limiters get no processor time for a short while.
    StallLimiters,
    /// Some or all limiters reload new configurations on SIGHUP.
    ReloadConfiguration,
    /// Discovery refuses connections or is silent.
    DiscoveryOutage,
    /// All watches are reset.
    ResetWatches,
    /// Some servers are drained, and new ones start.
    ReplaceServers,
    /// A server crashes and restarts.
    RestartServer,
    /// Some servers misbehave.
    FaultyServers,
    /// Some servers delay new connections.
    SlowAccepts,
    /// Some servers are partitioned from the limiters.
    PartitionServers,
    /// Discovery responds late.
    SlowDiscovery,
    /// A limiter is partitioned from its peers.
    PartitionGossip,
    /// Many clients disconnect before their response.
    DisconnectingClients,
    /// Clients stall in the middle of a request.
    StallingClients,
    /// Clients connect and send nothing.
    IdleClients,
    /// The request rate rises for a while.
    Burst,
}

/// A fault and its probability relative to the other faults.
struct WeightedFault {
    fault: Fault,
    weight: u32,
}

/// All faults. Their order and weights must not change: each seed has to reproduce the same faults.
const FAULTS: [WeightedFault; 17] = [
    WeightedFault { fault: Fault::TerminateLimiter, weight: 10 },
    WeightedFault { fault: Fault::KillLimiter, weight: 5 },
    WeightedFault { fault: Fault::StallLimiters, weight: 25 },
    WeightedFault { fault: Fault::ReloadConfiguration, weight: 6 },
    WeightedFault { fault: Fault::DiscoveryOutage, weight: 5 },
    WeightedFault { fault: Fault::ResetWatches, weight: 6 },
    WeightedFault { fault: Fault::ReplaceServers, weight: 12 },
    WeightedFault { fault: Fault::RestartServer, weight: 5 },
    WeightedFault { fault: Fault::FaultyServers, weight: 18 },
    WeightedFault { fault: Fault::SlowAccepts, weight: 5 },
    WeightedFault { fault: Fault::PartitionServers, weight: 6 },
    WeightedFault { fault: Fault::SlowDiscovery, weight: 4 },
    WeightedFault { fault: Fault::PartitionGossip, weight: 6 },
    WeightedFault { fault: Fault::DisconnectingClients, weight: 6 },
    WeightedFault { fault: Fault::StallingClients, weight: 5 },
    WeightedFault { fault: Fault::IdleClients, weight: 5 },
    WeightedFault { fault: Fault::Burst, weight: 5 },
];

/// A fault that was drawn for a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DrawnFault {
    /// The time between the start of the previous fault and the start of this one.
    pub delay: Duration,
    /// The fault.
    pub fault: Fault,
    /// Seed of the fault's own parameters.
    pub seed: u64,
}

impl DrawnFault {
    /// Draws a fault and the delay before it.
    pub fn draw(rng: &mut StdRng) -> Option<DrawnFault> {
        let delay = draw_exponential(rng, MEAN_FAULT_INTERVAL).min(MAX_FAULT_INTERVAL);
        let weighted = FAULTS.choose_weighted(rng, |weighted| weighted.weight).ok()?;
        Some(DrawnFault { delay, fault: weighted.fault, seed: rng.random() })
    }
}

/// Draws a duration from the exponential distribution with the given mean.
fn draw_exponential(rng: &mut StdRng, mean: Duration) -> Duration {
    mean.mul_f64(-rng.random::<f64>().max(1e-9).ln())
}

/// Draws a duration of at least `min` and less than `max` milliseconds.
fn random_ms(rng: &mut SmallRng, min: u64, max: u64) -> Duration {
    Duration::from_millis(rng.random_range(min..max))
}

/// Injects faults until the given time, and waits for the restarts that are in progress.
pub async fn inject_until(harness: &Arc<Harness>, until: Instant, rng: &mut StdRng) {
    while Instant::now() < until {
        let Some(drawn) = DrawnFault::draw(rng) else { continue };
        sleep(drawn.delay).await;
        tokio::spawn(inject(harness.clone(), drawn));
    }
    harness.wait_for_restarts().await;
}

/// Injects a fault. Faults that last for a while end before the function returns, except stalled clients and
/// the draining of replaced servers.
async fn inject(harness: Arc<Harness>, drawn: DrawnFault) {
    let mut rng = SmallRng::seed_from_u64(drawn.seed);
    let limiter = rng.random_range(0..harness.limiters.len());
    match drawn.fault {
        Fault::TerminateLimiter => {
            limiters::restart(&harness, limiter, RestartSignal::Sigterm, &mut rng).await;
        }
        Fault::KillLimiter => {
            limiters::restart(&harness, limiter, RestartSignal::Sigkill, &mut rng).await;
        }
        Fault::StallLimiters => limiters::stall(&harness, &mut rng).await,
        Fault::ReloadConfiguration => limiters::reload_configurations(&harness, &mut rng).await,
        Fault::DiscoveryOutage => discovery::cause_outage(&harness, &mut rng).await,
        Fault::ResetWatches => discovery::reset_watches(&harness),
        Fault::SlowDiscovery => discovery::delay_responses(&harness, &mut rng).await,
        Fault::ReplaceServers => servers::replace(&harness, &mut rng).await,
        Fault::RestartServer => servers::restart(&harness, &mut rng).await,
        Fault::FaultyServers => servers::misbehave(&harness, &mut rng).await,
        Fault::SlowAccepts => {
            servers::limit_reachability(&harness, Reachability::AcceptsLate, &mut rng).await;
        }
        Fault::PartitionServers => {
            servers::limit_reachability(&harness, Reachability::Partitioned, &mut rng).await;
        }
        Fault::PartitionGossip => gossip::partition(&harness, limiter, &mut rng).await,
        Fault::DisconnectingClients => clients::raise_disconnect_rate(&harness, &mut rng).await,
        Fault::StallingClients => clients::open_stalled_connections(&harness, limiter),
        Fault::IdleClients => clients::open_idle_connections(&harness, limiter, &mut rng).await,
        Fault::Burst => clients::raise_request_rate(&harness, &mut rng).await,
    }
}
