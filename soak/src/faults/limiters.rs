//! Faults of limiter processes: restarts, stalls, and configuration reloads.

use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::Rng;
use tokio::time::sleep;

use super::random_ms;
use crate::harness::Harness;
use crate::limiter_process::LimiterProcess;

/// Shortest stall of a limiter in milliseconds.
const MIN_STALL_MS: u64 = 30;
/// Exclusive upper bound on a limiter's stalls in milliseconds. Limiters have to tolerate stalls of 150 ms.
const MAX_STALL_MS: u64 = 145;

/// The signal that ends a limiter before its restart.
#[derive(Debug, Clone, Copy)]
pub enum RestartSignal {
    /// A graceful shutdown, followed by SIGKILL after the platform's grace period.
    Sigterm,
    /// A kill without notice.
    Sigkill,
}

/// Ends a limiter with a signal and starts it again after a delay.
pub async fn restart(harness: &Harness, limiter: usize, signal: RestartSignal, rng: &mut SmallRng) {
    if !harness.try_begin_restart(limiter) {
        return;
    }
    // The limiter restarts with this endpoint list, which may be stale by then.
    let configured_list = harness.discovery.complete_list();
    harness.record.record_event(format!("limiter {limiter}: {signal:?}"));
    match signal {
        RestartSignal::Sigterm => harness.limiters[limiter].terminate().await,
        RestartSignal::Sigkill => harness.limiters[limiter].kill().await,
    }
    sleep(random_ms(rng, 50, 600)).await;
    harness.limiters[limiter].start(configured_list).await;
    harness.record.record_event(format!("limiter {limiter}: started"));
    harness.end_restart(limiter);
}

/// Suspends all or some limiter processes for a short time.
pub async fn stall(harness: &Harness, rng: &mut SmallRng) {
    let limiters = choose_limiters(harness, 0.2, rng);
    let duration = random_ms(rng, MIN_STALL_MS, MAX_STALL_MS);
    harness.record.record_event(format!("{} limiters stall for {duration:?}", limiters.len()));
    for limiter in &limiters {
        limiter.signal(Signal::SIGSTOP);
    }
    sleep(duration).await;
    for limiter in &limiters {
        limiter.signal(Signal::SIGCONT);
    }
}

/// Makes all or some limiters reload up to three configurations in quick succession. Each configuration names
/// the limiter's other discovery agent.
pub async fn reload_configurations(harness: &Harness, rng: &mut SmallRng) {
    let count = draw_limiter_count(harness, 0.3, rng);
    let num_reloads = rng.random_range(1..4);
    harness.record.record_event(format!("{count} limiters reload {num_reloads} configurations"));
    let limiters: Vec<&Arc<LimiterProcess>> = harness.limiters.choose_multiple(rng, count).collect();
    for _ in 0..num_reloads {
        for limiter in limiters.iter().filter(|limiter| limiter.accepts_clients()) {
            limiter.switch_discovery_agent();
        }
        sleep(Duration::from_millis(rng.random_range(0..200))).await;
    }
}

/// Chooses all limiters with the given probability, and one to three of them otherwise.
fn choose_limiters<'a>(
    harness: &'a Harness,
    probability_of_all: f64,
    rng: &mut SmallRng,
) -> Vec<&'a Arc<LimiterProcess>> {
    let count = draw_limiter_count(harness, probability_of_all, rng);
    harness.limiters.choose_multiple(rng, count).collect()
}

fn draw_limiter_count(harness: &Harness, probability_of_all: f64, rng: &mut SmallRng) -> usize {
    if rng.random_bool(probability_of_all) {
        harness.limiters.len()
    } else {
        rng.random_range(1..4)
    }
}
