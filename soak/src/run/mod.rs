//! One run: draws a deployment and faults from a seed, injects the faults while clients send requests, and
//! checks the invariants.

#[cfg(test)]
mod tests;

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::Args;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use crate::addresses::Addresses;
use crate::deployment::Deployment;
use crate::faults;
use crate::harness::Harness;
use crate::invariants::{FinishedRun, Timing, Violation};
use crate::limiter_process::{EnvironmentVariable, LaunchOptions};
use crate::record::SharedRecord;
use crate::report::Report;

/// Wait after the last request until all requests have ended: longer than the sum of the longest client
/// timeout, 4 s, and [`crate::clients::RESPONSE_GRACE`], 0.5 s.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Fraction of the runs that begin with a quiet period without requests. Limiters have no measurements of the
/// servers when that period ends.
const QUIET_START_FRACTION: f64 = 0.25;
/// Duration of the quiet period.
const QUIET_PERIOD: Duration = Duration::from_secs(8);
/// Possible steps of the wall clocks in seconds. A run draws one of them; 0 leaves the clocks unstepped.
const CLOCK_STEPS_S: [i64; 5] = [0, 3, -3, 3600, -3600];
/// Per mille of the resets that the preloaded library reports as another error.
const BROKEN_PER_MILLE: u32 = 500;

/// Options of a run.
#[derive(Args, Clone)]
pub struct RunOptions {
    /// Duration for which clients send requests, in seconds.
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Number of limiters.
    #[arg(long, default_value_t = 24)]
    pub limiters: usize,
    /// Number of servers at the start of the run.
    #[arg(long, default_value_t = 12)]
    pub servers: usize,
    /// Path of the limiter program.
    #[arg(long, default_value = "target/release/limiter")]
    pub program: PathBuf,
    /// Path of the fault injection library, which is preloaded into every other limiter. Without the library,
    /// no system calls fail.
    #[arg(long)]
    pub library: Option<PathBuf>,
    /// Ignores violations that depend on measured times. Meant for machines that are busy with other work,
    /// which delays the simulated components.
    #[arg(long)]
    pub untimed: bool,
    /// Folder for configurations and logs. The files of a seed without violations are removed.
    #[arg(long, default_value = "/tmp/soak")]
    pub folder: PathBuf,
}

/// Everything that a seed determines, for a given number of limiters and servers.
struct RunParameters {
    deployment: Deployment,
    /// Environment variables of the fault injection library.
    library_environment: Vec<EnvironmentVariable>,
    harness_seed: u64,
    /// Generator of the seeds from which the zones, cells and latencies of the first servers are drawn.
    server_rng: StdRng,
    has_quiet_start: bool,
    clients_seed: u64,
    /// Generator of the faults.
    fault_rng: StdRng,
}

impl RunParameters {
    /// Draws the parameters of a run. The order of the draws must not change: each seed has to reproduce the
    /// same run.
    fn draw(seed: u64, limiters: usize, servers: usize) -> RunParameters {
        let mut rng = StdRng::seed_from_u64(seed);
        let deployment = Deployment::draw(&mut rng, limiters, servers);
        let library_environment = draw_library_environment(&mut rng, &deployment);
        let harness_seed = rng.random();
        let server_rng = rng.clone();
        for _ in 0..deployment.servers {
            let _: u64 = rng.random();
        }
        RunParameters {
            deployment,
            library_environment,
            harness_seed,
            server_rng,
            has_quiet_start: rng.random_bool(QUIET_START_FRACTION),
            clients_seed: rng.random(),
            fault_rng: rng,
        }
    }
}

/// Draws how often system calls fail and by how much the wall clock is stepped.
fn draw_library_environment(rng: &mut StdRng, deployment: &Deployment) -> Vec<EnvironmentVariable> {
    let clock_step_s = CLOCK_STEPS_S[rng.random_range(0..CLOCK_STEPS_S.len())];
    let mut per_mille = |max: u32| rng.random_range(0..=max).to_string();
    [
        ("FAULT_SHIM_SHORT", per_mille(50)),
        ("FAULT_SHIM_INTERRUPT", per_mille(20)),
        ("FAULT_SHIM_BROKEN", BROKEN_PER_MILLE.to_string()),
        ("FAULT_SHIM_ACCEPT", per_mille(20)),
        ("FAULT_SHIM_CONNECT", per_mille(20)),
        ("FAULT_SHIM_SOCKET", per_mille(20)),
        ("FAULT_SHIM_CLOCK_S", deployment.clock_offset_s.to_string()),
        ("FAULT_SHIM_STEP_S", clock_step_s.to_string()),
    ]
    .map(|(name, value)| EnvironmentVariable { name, value })
    .to_vec()
}

/// Runs one seed, prints a report, and returns the violations.
///
/// # Errors
/// A simulated component cannot listen on its address, the program or the library does not exist, or the
/// folder cannot be created.
pub async fn run_seed(seed: u64, options: &RunOptions) -> io::Result<Vec<Violation>> {
    let mut parameters = RunParameters::draw(seed, options.limiters, options.servers);
    let folder = options.folder.join(format!("{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let record = Arc::new(SharedRecord::default());
    let launch_options = launch_options(&parameters, options, &folder)?;
    let started_at = Instant::now();
    let harness = Harness::new(launch_options, record.clone(), parameters.harness_seed).await?;
    harness.start(&mut parameters.server_rng).await?;
    inject_faults(&harness, &mut parameters, Duration::from_secs(options.seconds)).await;
    harness.stop().await;
    let record = record.lock();
    let mut violations = FinishedRun::new(&record, &parameters.deployment).violations();
    if options.untimed {
        violations.retain(|violation| violation.timing == Timing::Independent);
    }
    let deployment = &parameters.deployment;
    Report { seed, deployment, record: &record, violations: &violations, started_at }.print();
    if violations.is_empty() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("  logs are in {}", folder.display());
    }
    Ok(violations)
}

fn launch_options(
    parameters: &RunParameters,
    options: &RunOptions,
    folder: &Path,
) -> io::Result<LaunchOptions> {
    Ok(LaunchOptions {
        program: options.program.canonicalize()?,
        folder: folder.to_path_buf(),
        log_level: "debug",
        addresses: Addresses::for_process(),
        deployment: parameters.deployment.clone(),
        library: options.library.as_ref().map(|library| library.canonicalize()).transpose()?,
        library_environment: parameters.library_environment.clone(),
    })
}

/// Sends requests and injects faults for the given duration, and waits until all requests have ended.
async fn inject_faults(harness: &Arc<Harness>, parameters: &mut RunParameters, duration: Duration) {
    if parameters.has_quiet_start {
        harness.record.record_event(format!("quiet period of {QUIET_PERIOD:?}"));
        sleep(QUIET_PERIOD).await;
    }
    let until = Instant::now() + duration;
    let clients = tokio::spawn(harness.clients.clone().run(parameters.clients_seed, until));
    let limit_checks = tokio::spawn(harness.clone().check_limits_until(until));
    faults::inject_until(harness, until, &mut parameters.fault_rng).await;
    let _ = tokio::join!(clients, limit_checks);
    sleep(SETTLE_TIME).await;
}
