//! Runs real limiter processes on loopback under overlapping faults, and checks the invariants that limiters
//! must maintain.
//!
//! `soak run --seed N --seconds S` runs one seed, `soak many --seeds A..B --seconds S` runs several seeds
//! sequentially, and `soak cost` measures the resources that one limiter needs. A seed determines the
//! deployment and the faults; the interleaving of events on the sockets depends on the machine.
//!
//! Begin with `run` (a run from the random draw of its parameters to its report), and continue with `harness`
//! (all components of a run), `faults` (the injected faults) and `invariants` (the checks on the `record` of
//! a run). The modules `clients`, `server`, `discovery` and `gossip` simulate the environment of the
//! limiters: their tasks run in the process of the soak.
#![forbid(unsafe_code)]

mod addresses;
mod clients;
mod cost;
mod deployment;
mod discovery;
mod faults;
mod gossip;
mod harness;
mod http;
mod invariants;
mod limiter_process;
mod net;
mod record;
mod report;
mod run;
mod server;

use std::future::Future;
use std::io;
use std::ops::Range;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use tokio::runtime::Builder;

use cost::CostOptions;
use run::RunOptions;

/// Number of threads that execute the simulated components of a run.
const WORKER_THREADS: usize = 8;
/// Longest wait after a run for the tasks of the simulated components. Tasks that are still running are
/// abandoned.
const RUNTIME_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Real limiters on loopback under overlapping faults.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one seed.
    Run {
        /// Seed of the random deployment and faults.
        #[arg(long)]
        seed: u64,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Runs several seeds sequentially.
    Many {
        /// Range of seeds A..B, which excludes B.
        #[arg(long, value_parser = parse_seed_range)]
        seeds: Range<u64>,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Measures the resources that one limiter needs with a long endpoint list.
    Cost(CostOptions),
}

/// The argument `--seeds` is not a range.
#[derive(Debug, thiserror::Error)]
#[error("expected a range of seeds A..B, which excludes B")]
struct InvalidSeedRange;

fn parse_seed_range(text: &str) -> Result<Range<u64>, InvalidSeedRange> {
    let (from, to) = text.split_once("..").ok_or(InvalidSeedRange)?;
    let from = from.parse().map_err(|_| InvalidSeedRange)?;
    let to = to.parse().map_err(|_| InvalidSeedRange)?;
    Ok(from..to)
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Run { seed, options } => run_seeds(seed..seed + 1, &options),
        Command::Many { seeds, options } => run_seeds(seeds, &options),
        Command::Cost(options) => block_on(cost::measure(&options)).map(|()| ExitCode::SUCCESS),
    };
    result.unwrap_or_else(|error| {
        eprintln!("soak: {error}");
        ExitCode::FAILURE
    })
}

/// Runs seeds sequentially. Returns the exit code of the program: success if no seed violated an invariant.
fn run_seeds(seeds: Range<u64>, options: &RunOptions) -> io::Result<ExitCode> {
    let num_seeds = seeds.clone().count();
    let mut failed = Vec::new();
    for seed in seeds {
        let violations = block_on(run::run_seed(seed, options))?;
        if !violations.is_empty() {
            failed.push(seed);
        }
    }
    let num_passed = num_seeds - failed.len();
    println!("{num_passed} seeds passed, {} violated an invariant {failed:?}", failed.len());
    Ok(if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs a future to completion on its own runtime. The shutdown of the runtime also ends the tasks of all
/// simulated components.
fn block_on<T>(future: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = Builder::new_multi_thread().worker_threads(WORKER_THREADS).enable_all().build()?;
    let result = runtime.block_on(future);
    runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
    result
}
