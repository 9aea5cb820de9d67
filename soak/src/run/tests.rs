//! Pins the deployment, the failing system calls and the faults that each seed draws.

use std::fmt::Write;

use rand::Rng;

use super::RunParameters;
use crate::faults::DrawnFault;

/// Number of limiters in the golden files.
const NUM_LIMITERS: usize = 24;
/// Number of servers in the golden files.
const NUM_SERVERS: usize = 12;
/// Number of faults in each golden file.
const NUM_FAULTS: usize = 60;

/// Formats the parameters of a run in the form of the golden files.
fn format_parameters(mut parameters: RunParameters) -> String {
    let mut text = String::new();
    let deployment = &parameters.deployment;
    writeln!(text, "{}", deployment.settings(0)).unwrap();
    for variable in &parameters.library_environment {
        writeln!(text, "{}={}", variable.name, variable.value).unwrap();
    }
    let outside_settings = (
        deployment.rate_per_s,
        deployment.capacity_per_s,
        deployment.min_timeout,
        deployment.gossip_delay,
        deployment.gossip_loss,
        deployment.clock_offset_s,
    );
    writeln!(text, "{outside_settings:?}").unwrap();
    writeln!(text, "network {}", parameters.harness_seed).unwrap();
    for _ in 0..NUM_SERVERS {
        writeln!(text, "server {}", parameters.server_rng.random::<u64>()).unwrap();
    }
    writeln!(text, "quiet {}", parameters.has_quiet_start).unwrap();
    writeln!(text, "clients {}", parameters.clients_seed).unwrap();
    for _ in 0..NUM_FAULTS {
        let DrawnFault { delay, fault, seed } = DrawnFault::draw(&mut parameters.fault_rng).unwrap();
        writeln!(text, "{delay:?} {fault:?} {seed}").unwrap();
    }
    text
}

#[test]
fn seeds_draw_the_golden_deployments_and_faults() {
    let golden = [
        (1, include_str!("golden/seed-1.txt")),
        (2, include_str!("golden/seed-2.txt")),
        (3, include_str!("golden/seed-3.txt")),
    ];
    for (seed, expected) in golden {
        assert_eq!(
            format_parameters(RunParameters::draw(seed, NUM_LIMITERS, NUM_SERVERS)),
            expected,
            "seed {seed}"
        );
    }
}
