//! Faults of the gossip network between limiters.

use rand::rngs::SmallRng;
use tokio::time::sleep;

use super::random_ms;
use crate::harness::Harness;

/// Partitions a limiter from its peers for a while.
pub async fn partition(harness: &Harness, limiter: usize, rng: &mut SmallRng) {
    harness.record.record_event(format!("limiter {limiter}: partitioned from its peers"));
    harness.gossip.set_partitioned(limiter, true);
    sleep(random_ms(rng, 500, 4000)).await;
    harness.gossip.set_partitioned(limiter, false);
}
