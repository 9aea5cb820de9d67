//! The limiters: real processes.

use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

use crate::addresses::Addresses;
use crate::discovery::Discovery;
use crate::http::{Connection, Kind};
use crate::record::{Life, SharedRecord};
use crate::site::Site;

/// Descriptors that a limiter may use.
const DESCRIPTORS: u64 = 256;
/// Memory that a limiter may use.
const MEMORY_MB: u64 = 64;
/// Nine in ten restarted limiters are ready within this time; here each has to be.
pub const READY_WITHIN: Duration = Duration::from_secs(10);
/// SIGKILL comes this long after the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);

/// How the processes are started.
pub struct Launch {
    /// The program.
    pub program: PathBuf,
    /// Where configurations and logs are written.
    pub folder: PathBuf,
    /// The lowest level that the limiters log.
    pub log_level: &'static str,
    /// Where everything listens.
    pub addresses: Addresses,
    /// The deployment.
    pub site: Site,
    /// Variables of the library that has system calls fail; none to run without it.
    pub faults: Vec<(String, String)>,
    /// The library.
    pub library: Option<PathBuf>,
}

/// What a process has used.
#[derive(Debug, Default)]
pub struct Usage {
    /// Kernel ticks of processor time.
    pub ticks: u64,
    /// Most memory.
    pub peak_kb: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// One limiter through all its starts.
pub struct Limiter {
    /// Its number.
    pub number: usize,
    launch: Arc<Launch>,
    discovery: Arc<Discovery>,
    record: Arc<SharedRecord>,
    process: Mutex<Option<Pid>>,
    agent: AtomicUsize,
}

impl Limiter {
    /// One that has not been started.
    pub fn new(
        number: usize,
        launch: Arc<Launch>,
        discovery: Arc<Discovery>,
        record: Arc<SharedRecord>,
    ) -> Arc<Limiter> {
        let (process, agent) = (Mutex::new(None), AtomicUsize::new(0));
        Arc::new(Limiter { number, launch, discovery, record, process, agent })
    }

    /// Where clients reach it.
    pub fn address(&self) -> std::net::SocketAddr {
        self.launch.addresses.limiter(self.number)
    }

    /// Starts it with the list as it was `known`, and waits until it is ready; what is wrong goes into the record.
    pub async fn start(self: &Arc<Self>, known: Value) {
        let life = self.record.lock().lives.get(&self.number).map_or(0, Vec::len);
        let configuration = self.write_configuration(known);
        let child = match self.command(&configuration, life).spawn() {
            Ok(child) => child,
            Err(error) => return self.fault(&format!("cannot be started: {error}")),
        };
        self.set_process(child.id().map(|id| Pid::from_raw(id as i32)));
        self.record.lock().lives.entry(self.number).or_default().push(Life {
            started: Instant::now(),
            ready: None,
            terminated: None,
            killed: None,
            ended: None,
            exit_code: None,
        });
        tokio::spawn(self.clone().observe(child, life));
        self.wait_ready(life).await;
    }

    fn command(&self, configuration: &Path, life: usize) -> Command {
        let mut command = Command::new(&self.launch.program);
        command
            .env("ROUTER_CONFIG", configuration)
            .env("LIMITER_LOG", self.launch.log_level)
            .stderr(Stdio::piped());
        command.stdin(Stdio::null()).stdout(Stdio::null()).kill_on_drop(true);
        for variable in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"] {
            command.env_remove(variable);
        }
        // Every other limiter runs with system calls that fail.
        if let (Some(library), 1) = (&self.launch.library, self.number % 2) {
            command.env("LD_PRELOAD", library);
            command.envs(self.launch.faults.iter().map(|(name, value)| (name, value)));
            command.env("FAULT_SHIM_SEED", (self.number * 1000 + life).to_string());
        }
        command
    }

    fn write_configuration(&self, known: Value) -> PathBuf {
        let Launch { addresses, site, folder, .. } = &*self.launch;
        let peers: Vec<String> =
            (0..site.limiters).map(|peer| addresses.gossip_proxy(peer).to_string()).collect();
        let agent = self.agent.load(Ordering::SeqCst);
        let seed = Instant::now().elapsed().as_nanos() as u64 ^ u64::from(std::process::id());
        let configuration = json!({
            "name": format!("n{}", self.number), "listen": self.address().to_string(),
            "discovery": addresses.discovery(self.number, agent).to_string(), "seed": format!("{seed:x}"),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
            "peer_listen": addresses.gossip(self.number).to_string(), "peers": peers,
            "known": known, "settings": site.settings(self.number),
        });
        let path = folder.join(format!("n{}.json", self.number));
        if let Err(error) = fs::write(&path, configuration.to_string()) {
            self.fault(&format!("its configuration cannot be written: {error}"));
        }
        path
    }

    /// Keeps its log and notes its end.
    async fn observe(self: Arc<Self>, mut child: Child, life: usize) {
        let path = self.launch.folder.join(format!("n{}.log", self.number));
        let mut log = fs::OpenOptions::new().create(true).append(true).open(path).ok();
        if let Some(stderr) = child.stderr.take() {
            let mut lines = BufReader::new(stderr).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                if line.contains("panicked") || line.contains("invariant violated") {
                    self.fault(&line);
                }
                if let Some(log) = &mut log {
                    let _ = writeln!(log, "{line}");
                }
            }
        }
        let exit_code = child.wait().await.ok().and_then(|status| status.code());
        self.set_process(None);
        self.with_life(life, |life| (life.ended, life.exit_code) = (Some(Instant::now()), exit_code));
    }

    async fn wait_ready(&self, life: usize) {
        let began = Instant::now();
        while began.elapsed() < READY_WITHIN {
            if self.is_ready().await {
                return self.with_life(life, |life| life.ready = Some(Instant::now()));
            }
            sleep(Duration::from_millis(20)).await;
        }
        // A process that was ended meanwhile owes no readiness.
        if self.is_running() {
            self.fault(&format!("is not ready after {READY_WITHIN:?}"));
        }
    }

    async fn is_ready(&self) -> bool {
        let ask = async {
            let stream = TcpStream::connect(self.address()).await.ok()?;
            let mut connection = Connection::new(stream);
            connection.stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").await.ok()?;
            connection.read(Kind::Response).await.ok().map(|response| response.status)
        };
        timeout(Duration::from_secs(1), ask).await.is_ok_and(|status| status == Some(200))
    }

    /// Whether a process runs.
    pub fn is_running(&self) -> bool {
        self.process().is_some()
    }

    /// Whether clients may be sent to it: ready, and not told to end.
    pub fn takes_clients(&self) -> bool {
        let record = self.record.lock();
        let life = record.lives.get(&self.number).and_then(|lives| lives.last());
        life.is_some_and(|l| {
            l.ready.is_some() && l.terminated.is_none() && l.killed.is_none() && l.ended.is_none()
        })
    }

    /// Which of its starts runs now.
    pub fn life(&self) -> usize {
        self.record.lock().lives.get(&self.number).map_or(0, Vec::len).saturating_sub(1)
    }

    /// When the present start was told to end.
    pub fn terminated(&self) -> Option<Instant> {
        self.record.lock().lives.get(&self.number)?.last()?.terminated
    }

    /// Sends a signal to its process, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(process) = self.process() {
            let _ = kill(process, signal);
        }
    }

    /// Ends it by SIGTERM, and by SIGKILL once the platform's time is over; waits for the end.
    pub async fn terminate(&self) {
        self.with_life(self.life(), |life| life.terminated = Some(Instant::now()));
        self.signal(Signal::SIGTERM);
        let patience = self.launch.site.max_deadline.min(Duration::from_secs(3)) + KILL_DELAY;
        let began = Instant::now();
        while self.is_running() && began.elapsed() < patience {
            sleep(Duration::from_millis(10)).await;
        }
        if self.is_running() {
            self.kill().await;
        }
    }

    /// Ends it by SIGKILL; waits for the end.
    pub async fn kill(&self) {
        self.with_life(self.life(), |life| life.killed = Some(Instant::now()));
        self.signal(Signal::SIGKILL);
        while self.is_running() {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Has it reach discovery through its other agent from now on.
    pub fn move_discovery(&self) {
        self.agent.fetch_xor(1, Ordering::SeqCst);
        self.write_configuration(self.discovery.complete_list());
        self.signal(Signal::SIGHUP);
    }

    /// Notes if it holds more memory or descriptors than it may.
    pub fn check_limits(&self) {
        let Some(process) = self.process() else { return };
        let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let memory_kb = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
        if memory_kb.is_some_and(|kb| kb > MEMORY_MB << 10) {
            self.fault(&format!("uses {memory_kb:?} kB"));
        }
        let descriptors = fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
        if descriptors as u64 > DESCRIPTORS {
            self.fault(&format!("holds {descriptors} descriptors"));
        }
    }

    /// What it has used so far.
    pub fn usage(&self) -> Usage {
        let Some(process) = self.process() else { return Usage::default() };
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        // User and system time are the 12th and 13th fields behind the name, which ends with a parenthesis.
        let fields: Vec<u64> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse().ok())
            .collect();
        let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak_kb = peak.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0);
        let descriptors = fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
        Usage { ticks: fields.iter().sum(), peak_kb, descriptors }
    }

    fn process(&self) -> Option<Pid> {
        *self.process.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn set_process(&self, process: Option<Pid>) {
        *self.process.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = process;
    }

    fn with_life(&self, life: usize, change: impl FnOnce(&mut Life)) {
        if let Some(life) =
            self.record.lock().lives.get_mut(&self.number).and_then(|lives| lives.get_mut(life))
        {
            change(life);
        }
    }

    fn fault(&self, text: &str) {
        self.record.lock().faults.push(format!("limiter {}: {text}", self.number));
    }
}
