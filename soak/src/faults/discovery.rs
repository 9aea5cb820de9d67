//! Faults of discovery: outages, resets of watches, and late responses.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::Rng;
use tokio::time::sleep;

use super::random_ms;
use crate::discovery::Availability;
use crate::harness::Harness;
use crate::record::Outage;

/// Exclusive upper bound on the duration of most outages, in milliseconds.
const MAX_OUTAGE_MS: u64 = 6000;
/// Exclusive upper bound on the duration of one in five outages, in milliseconds.
const MAX_LONG_OUTAGE_MS: u64 = 12_000;

/// Makes discovery refuse connections or stay silent for a while.
pub async fn cause_outage(harness: &Harness, rng: &mut SmallRng) {
    let availability = if rng.random_bool(0.5) { Availability::Refusing } else { Availability::Silent };
    let max_ms = if rng.random_bool(0.2) { MAX_LONG_OUTAGE_MS } else { MAX_OUTAGE_MS };
    let duration = random_ms(rng, 300, max_ms);
    harness.record.record_event(format!("discovery is {availability:?} for {duration:?}"));
    let from = Instant::now();
    harness.discovery.set_availability(availability);
    sleep(duration).await;
    harness.discovery.set_availability(Availability::Available);
    harness.record.lock().outages.push(Outage { from, to: Instant::now() });
}

/// Resets all watches.
pub fn reset_watches(harness: &Harness) {
    harness.record.record_event("watches are reset");
    harness.discovery.reset_watches();
}

/// Makes discovery respond late for a while, if limiters subscribe to endpoint lists. Otherwise an agent on
/// the limiter's host pushes the lists, and such an agent never responds late.
pub async fn delay_responses(harness: &Harness, rng: &mut SmallRng) {
    if !harness.deployment.subscribes {
        return;
    }
    let delay = random_ms(rng, 50, 1000);
    harness.record.record_event(format!("discovery responds {delay:?} late"));
    harness.discovery.set_delay(delay);
    sleep(random_ms(rng, 500, 6000)).await;
    harness.discovery.set_delay(Duration::ZERO);
}
