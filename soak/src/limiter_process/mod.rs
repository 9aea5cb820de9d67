//! A limiter of the run. Each incarnation of the limiter is a real process.

mod configuration;
mod usage;

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

pub use usage::Usage;

use crate::addresses::Addresses;
use crate::deployment::Deployment;
use crate::discovery::Discovery;
use crate::http::{Connection, MessageKind};
use crate::record::{Incarnation, SharedRecord};

/// Maximum number of file descriptors that a limiter may use.
const MAX_DESCRIPTORS: u64 = 256;
/// Maximum memory that a limiter may use, in MiB.
const MAX_MEMORY_MB: u64 = 64;
/// Time within which every limiter has to be ready. The operators require this of only nine limiters in ten.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which readiness is polled.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of one readiness request.
const READINESS_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the harness polls for the end of a process.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest grace period that the platform grants after SIGTERM for outstanding responses.
const MAX_GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Time from the end of the grace period to SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Texts that mark a log line as a fault of the process.
const FAULT_LOG_TEXTS: [&str; 2] = ["panicked", "invariant violated"];

/// How limiter processes are launched.
pub struct LaunchOptions {
    /// The program.
    pub program: PathBuf,
    /// The folder for configurations and logs.
    pub folder: PathBuf,
    /// The log level of the limiters.
    pub log_level: &'static str,
    /// The addresses of the run.
    pub addresses: Addresses,
    /// The deployment.
    pub deployment: Deployment,
    /// The fault injection library, which is preloaded into every other limiter; `None` to run without
    /// failing system calls.
    pub library: Option<PathBuf>,
    /// Environment variables of the fault injection library.
    pub library_environment: Vec<EnvironmentVariable>,
}

/// An environment variable of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EnvironmentVariable {
    /// The name.
    pub name: &'static str,
    /// The value.
    pub value: String,
}

/// A limiter, of which at most one process runs at a time.
pub struct LimiterProcess {
    /// The position of the limiter in the deployment.
    pub number: usize,
    options: Arc<LaunchOptions>,
    discovery: Arc<Discovery>,
    record: Arc<SharedRecord>,
    process: Mutex<Option<Pid>>,
    /// Index of the agent through which the limiter reaches discovery.
    agent: AtomicUsize,
}

impl LimiterProcess {
    /// Creates a limiter that has not been started.
    pub fn new(
        number: usize,
        options: Arc<LaunchOptions>,
        discovery: Arc<Discovery>,
        record: Arc<SharedRecord>,
    ) -> Arc<LimiterProcess> {
        let process = Mutex::new(None);
        let agent = AtomicUsize::new(0);
        Arc::new(LimiterProcess { number, options, discovery, record, process, agent })
    }

    /// Returns the address on which the limiter accepts clients.
    pub fn address(&self) -> SocketAddr {
        self.options.addresses.limiter(self.number)
    }

    /// Starts a process that is configured with the given endpoint list, and waits until the process is
    /// ready. Failures are recorded as process faults.
    pub async fn start(self: &Arc<Self>, configured_list: Value) {
        let incarnation = self.record.lock().incarnations.get(&self.number).map_or(0, Vec::len);
        let configuration = self.write_configuration(&configured_list);
        let child = match self.build_command(&configuration, incarnation).spawn() {
            Ok(child) => child,
            Err(error) => return self.record_fault(&format!("cannot be started: {error}")),
        };
        self.set_process(child.id().map(|id| Pid::from_raw(id.cast_signed())));
        self.record.lock().incarnations.entry(self.number).or_default().push(Incarnation {
            started_at: Instant::now(),
            ready_at: None,
            terminated_at: None,
            killed_at: None,
            ended_at: None,
            exit_code: None,
        });
        tokio::spawn(self.clone().observe(child, incarnation));
        self.wait_until_ready(incarnation).await;
    }

    fn build_command(&self, configuration: &Path, incarnation: usize) -> Command {
        let mut command = Command::new(&self.options.program);
        command.env("ROUTER_CONFIG", configuration);
        command.env("LIMITER_LOG", self.options.log_level);
        for variable in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"] {
            command.env_remove(variable);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let has_failing_calls = self.number % 2 == 1;
        if let (Some(library), true) = (&self.options.library, has_failing_calls) {
            command.env("LD_PRELOAD", library);
            for variable in &self.options.library_environment {
                command.env(variable.name, &variable.value);
            }
            command.env("FAULT_SHIM_SEED", (self.number * 1000 + incarnation).to_string());
        }
        command
    }

    /// Copies the log of a process to a file, checks the log for faults, and records the end of the process.
    async fn observe(self: Arc<Self>, mut child: Child, incarnation: usize) {
        let path = self.options.folder.join(format!("n{}.log", self.number));
        let mut log = OpenOptions::new().create(true).append(true).open(path).ok();
        if let Some(stderr) = child.stderr.take() {
            let mut lines = BufReader::new(stderr).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                self.check_log_line(&line, log.as_mut());
            }
        }
        let exit_code = child.wait().await.ok().and_then(|status| status.code());
        self.set_process(None);
        self.update_incarnation(incarnation, |incarnation| {
            incarnation.ended_at = Some(Instant::now());
            incarnation.exit_code = exit_code;
        });
    }

    fn check_log_line(&self, line: &str, log: Option<&mut File>) {
        if FAULT_LOG_TEXTS.iter().any(|text| line.contains(text)) {
            self.record_fault(line);
        }
        if let Some(log) = log {
            let _ = writeln!(log, "{line}");
        }
    }

    async fn wait_until_ready(&self, incarnation: usize) {
        let started_at = Instant::now();
        while started_at.elapsed() < READY_TIMEOUT {
            if self.is_ready().await {
                let ready_at = Some(Instant::now());
                return self.update_incarnation(incarnation, |incarnation| incarnation.ready_at = ready_at);
            }
            sleep(READINESS_POLL_INTERVAL).await;
        }
        // A process that has ended in the meantime does not need to be ready.
        if self.is_running() {
            self.record_fault(&format!("is not ready after {READY_TIMEOUT:?}"));
        }
    }

    async fn is_ready(&self) -> bool {
        let status = timeout(READINESS_REQUEST_TIMEOUT, self.readiness_status()).await;
        status == Ok(Some(200))
    }

    async fn readiness_status(&self) -> Option<u16> {
        let stream = TcpStream::connect(self.address()).await.ok()?;
        let mut connection = Connection::new(stream);
        connection.stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").await.ok()?;
        let response = connection.read(MessageKind::Response).await.ok()?;
        Some(response.status)
    }

    /// Returns whether a process is running.
    pub fn is_running(&self) -> bool {
        self.process().is_some()
    }

    /// Returns whether clients may connect to the limiter: its process has been ready, has not ended, and has
    /// received neither SIGTERM nor SIGKILL.
    pub fn accepts_clients(&self) -> bool {
        let record = self.record.lock();
        let incarnations = record.incarnations.get(&self.number);
        let Some(incarnation) = incarnations.and_then(|incarnations| incarnations.last()) else {
            return false;
        };
        incarnation.ready_at.is_some()
            && incarnation.terminated_at.is_none()
            && incarnation.killed_at.is_none()
            && incarnation.ended_at.is_none()
    }

    /// Returns the number of the latest incarnation.
    pub fn incarnation(&self) -> usize {
        self.record.lock().incarnations.get(&self.number).map_or(0, Vec::len).saturating_sub(1)
    }

    /// Returns when SIGTERM was sent to the latest incarnation.
    pub fn terminated_at(&self) -> Option<Instant> {
        self.record.lock().incarnations.get(&self.number)?.last()?.terminated_at
    }

    /// Sends a signal to the process, if one is running.
    pub fn signal(&self, signal: Signal) {
        if let Some(process) = self.process() {
            let _ = kill(process, signal);
        }
    }

    /// Ends the process with SIGTERM and, if it outlives the platform's grace period, with SIGKILL. Waits
    /// until the process has ended.
    pub async fn terminate(&self) {
        let terminated_at = Instant::now();
        self.update_incarnation(self.incarnation(), |incarnation| {
            incarnation.terminated_at = Some(terminated_at);
        });
        self.signal(Signal::SIGTERM);
        let grace_period = self.options.deployment.max_timeout.min(MAX_GRACE_PERIOD) + KILL_DELAY;
        while self.is_running() && terminated_at.elapsed() < grace_period {
            sleep(EXIT_POLL_INTERVAL).await;
        }
        if self.is_running() {
            self.kill().await;
        }
    }

    /// Ends the process with SIGKILL and waits until the process has ended.
    pub async fn kill(&self) {
        let killed_at = Instant::now();
        self.update_incarnation(self.incarnation(), |incarnation| incarnation.killed_at = Some(killed_at));
        self.signal(Signal::SIGKILL);
        while self.is_running() {
            sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    /// Writes a configuration with the address of the limiter's other discovery agent, and sends SIGHUP.
    pub fn switch_discovery_agent(&self) {
        self.agent.fetch_xor(1, Ordering::SeqCst);
        self.write_configuration(&self.discovery.complete_list());
        self.signal(Signal::SIGHUP);
    }

    fn process(&self) -> Option<Pid> {
        *self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_process(&self, process: Option<Pid>) {
        *self.process.lock().unwrap_or_else(PoisonError::into_inner) = process;
    }

    fn update_incarnation(&self, number: usize, change: impl FnOnce(&mut Incarnation)) {
        let mut record = self.record.lock();
        let incarnations = record.incarnations.get_mut(&self.number);
        if let Some(incarnation) = incarnations.and_then(|incarnations| incarnations.get_mut(number)) {
            change(incarnation);
        }
    }

    fn record_fault(&self, text: &str) {
        self.record.lock().process_faults.push(format!("limiter {}: {text}", self.number));
    }
}
