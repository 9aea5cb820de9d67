//! A seed keeps its meaning: the same deployment, the same failing system calls and the same faults.

use std::fmt::Write;

use rand::Rng;

use super::Draw;
use crate::faults::DrawnFault;

/// Limiters and servers of the golden draws.
const NUM_LIMITERS: usize = 24;
const NUM_SERVERS: usize = 12;
/// Faults in a golden draw.
const NUM_FAULTS: usize = 60;

/// Writes a draw in the form of the golden files.
fn describe(mut draw: Draw) -> String {
    let mut text = String::new();
    let deployment = &draw.deployment;
    writeln!(text, "{}", deployment.settings(0)).unwrap();
    for variable in &draw.library_environment {
        writeln!(text, "{}={}", variable.name, variable.value).unwrap();
    }
    let undeclared = (
        deployment.rate_per_s,
        deployment.capacity_per_s,
        deployment.min_timeout,
        deployment.gossip_delay,
        deployment.gossip_loss,
        deployment.clock_offset_s,
    );
    writeln!(text, "{undeclared:?}").unwrap();
    writeln!(text, "network {}", draw.harness_seed).unwrap();
    for _ in 0..NUM_SERVERS {
        writeln!(text, "server {}", draw.server_rng.random::<u64>()).unwrap();
    }
    writeln!(text, "quiet {}", draw.has_quiet_start).unwrap();
    writeln!(text, "clients {}", draw.clients_seed).unwrap();
    for _ in 0..NUM_FAULTS {
        let DrawnFault { delay, fault, seed } = DrawnFault::draw(&mut draw.fault_rng).unwrap();
        writeln!(text, "{delay:?} {fault:?} {seed}").unwrap();
    }
    text
}

#[test]
fn a_seed_draws_the_same_deployment_and_faults() {
    let golden = [
        (1, include_str!("golden/seed-1.txt")),
        (2, include_str!("golden/seed-2.txt")),
        (3, include_str!("golden/seed-3.txt")),
    ];
    for (seed, expected) in golden {
        assert_eq!(describe(Draw::new(seed, NUM_LIMITERS, NUM_SERVERS)), expected, "seed {seed}");
    }
}
