//! The program under test, as a process.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use super::{
    complete_list, lock, send_and_receive, serving, wait_for, Configuration, Endpoint, HttpMessage,
    StubDiscovery, StubServer, READINESS_REQUEST,
};

/// Descriptors that a process may have open, where the test sets no limit of its own.
pub const DEFAULT_DESCRIPTOR_LIMIT: u32 = 1024;

/// A line of the log that tells where the program listens, up to the address.
pub const LISTENING_LOG_PREFIX: &str = "listening address=";

/// The level of lines that tests show and do not look for.
const DETAIL_LEVEL: &str = " DEBUG ";

/// The program, running; it ends with the test.
pub struct LimiterProcess {
    pub addr: SocketAddr,
    pub discovery: StubDiscovery,
    child: Child,
    log: Arc<Mutex<String>>,
    configuration: PathBuf,
}

/// A program that would not start.
pub struct FailedStart {
    pub exit_code: Option<i32>,
    pub stderr: String,
}

fn write_configuration(configuration: &Configuration) -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("limiter-test-{}-{number}.json", std::process::id()));
    std::fs::write(&path, configuration.text()).expect("the configuration is written");
    path
}

fn command(configuration: &Path, descriptors: u32) -> Command {
    let mut command = Command::new("sh");
    command.args(["-c", "ulimit -n \"$1\"; exec \"$0\"", env!("CARGO_BIN_EXE_limiter")]);
    command.arg(descriptors.to_string());
    command.env_remove("ROUTER_NAME").env_remove("ROUTER_LISTEN").env_remove("ROUTER_DISCOVERY");
    command.env("ROUTER_CONFIG", configuration).stderr(Stdio::piped());
    // A test that fails shows what became of each request and connection.
    command.env("LIMITER_LOG", "debug");
    command
}

/// The library that has system calls fail, which cargo has built beside the test.
fn fault_shim() -> PathBuf {
    let test = std::env::current_exe().expect("the path of this test");
    let library = test.with_file_name("libfault_shim.so");
    assert!(library.exists(), "{} is not built", library.display());
    library
}

pub fn send_signal(pid: u32, name: &str) {
    assert!(Command::new("kill").args(["-s", name, &pid.to_string()]).status().expect("kill").success());
}

impl LimiterProcess {
    /// Starts in front of one server, s-1.
    pub fn in_front_of(server: &StubServer) -> LimiterProcess {
        LimiterProcess::with_server(server, |configuration| configuration)
    }

    /// Starts in front of one server, s-1, with an altered configuration.
    pub fn with_server(
        server: &StubServer,
        alter: impl Fn(Configuration) -> Configuration,
    ) -> LimiterProcess {
        LimiterProcess::start(&[serving("s-1", server)], alter, DEFAULT_DESCRIPTOR_LIMIT)
    }

    /// Starts with an empty endpoint list.
    pub fn without_servers() -> LimiterProcess {
        LimiterProcess::with_endpoints(&[], |configuration| configuration)
    }

    pub fn with_endpoints(
        endpoints: &[Endpoint],
        alter: impl Fn(Configuration) -> Configuration,
    ) -> LimiterProcess {
        LimiterProcess::start(endpoints, alter, DEFAULT_DESCRIPTOR_LIMIT)
    }

    /// Starts with a limit on descriptors that the configuration does not tell, in front of one server.
    pub fn with_os_descriptor_limit(server: &StubServer, descriptors: u32) -> LimiterProcess {
        LimiterProcess::start(&[serving("s-1", server)], |configuration| configuration, descriptors)
    }

    /// Waits until the program is ready, if it has servers.
    fn start(
        endpoints: &[Endpoint],
        alter: impl Fn(Configuration) -> Configuration,
        descriptors: u32,
    ) -> LimiterProcess {
        let discovery = StubDiscovery::new(complete_list(1, endpoints));
        let limiter = LimiterProcess::with_discovery(discovery, alter, descriptors);
        wait_for("the watch", || limiter.discovery.num_opened_watches() > 0);
        if !endpoints.is_empty() {
            limiter.wait_until_ready();
        }
        limiter
    }

    /// Starts with a discovery of any kind; waits until the program listens.
    pub fn with_discovery(
        discovery: StubDiscovery,
        alter: impl Fn(Configuration) -> Configuration,
        descriptors: u32,
    ) -> LimiterProcess {
        LimiterProcess::with_faults(discovery, alter, descriptors, &[])
    }

    /// Starts with system calls that fail: variables of `fault_shim::plan` and their values. Waits until the program
    /// listens.
    pub fn with_faults(
        discovery: StubDiscovery,
        alter: impl Fn(Configuration) -> Configuration,
        descriptors: u32,
        faults: &[(&str, &str)],
    ) -> LimiterProcess {
        let discovery_address = discovery.addr.to_string();
        let configuration = write_configuration(&alter(Configuration::with_discovery_at(&discovery_address)));
        let mut command = command(&configuration, descriptors);
        if !faults.is_empty() {
            command.env("LD_PRELOAD", fault_shim()).envs(faults.iter().copied());
        }
        // At the start the variable stands above the file; a reload goes by the file.
        command.env("ROUTER_DISCOVERY", discovery_address);
        let mut child = command.spawn().expect("the program starts");
        let stderr = BufReader::new(child.stderr.take().expect("piped"));
        let log = Arc::new(Mutex::new(String::new()));
        let written_log = log.clone();
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                lock(&written_log).push_str(&format!("{line}\n"));
            }
        });
        let mut addr = None;
        wait_for("the program to listen", || {
            addr = listening_address(&lock(&log)).and_then(|address| address.parse().ok());
            addr.is_some()
        });
        LimiterProcess { addr: addr.expect("an address"), discovery, child, log, configuration }
    }

    /// A start that must fail.
    pub fn fail_to_start(alter: impl Fn(Configuration) -> Configuration) -> FailedStart {
        let configuration = write_configuration(&alter(Configuration::with_discovery_at("127.0.0.1:1")));
        let output = command(&configuration, DEFAULT_DESCRIPTOR_LIMIT).output().expect("the program starts");
        let _ = std::fs::remove_file(configuration);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        FailedStart { exit_code: output.status.code(), stderr }
    }

    /// Replaces the configuration and has the program read it.
    pub fn reload(&self, alter: impl Fn(Configuration) -> Configuration) {
        let text = std::fs::read_to_string(&self.configuration).expect("the configuration is there");
        let altered = alter(Configuration::from_text(text));
        std::fs::write(&self.configuration, altered.text()).expect("the configuration is written");
        self.signal("HUP");
    }

    /// Replaces the text of the configuration, or removes the file; what it was before.
    pub fn replace_configuration(&self, text: Option<&str>) -> String {
        let before = std::fs::read_to_string(&self.configuration).unwrap_or_default();
        match text {
            Some(text) => std::fs::write(&self.configuration, text).expect("the configuration is written"),
            None => std::fs::remove_file(&self.configuration).expect("the configuration is there"),
        }
        before
    }

    pub fn connect(&self) -> TcpStream {
        TcpStream::connect(self.addr).expect("connect")
    }

    /// Writes a text on a new connection.
    pub fn send(&self, text: &str) -> TcpStream {
        let mut client = self.connect();
        client.write_all(text.as_bytes()).expect("write");
        client
    }

    /// The response to a request on a new connection.
    pub fn request(&self, request: &str) -> HttpMessage {
        send_and_receive(&mut self.connect(), request)
    }

    pub fn is_ready(&self) -> bool {
        match self.request(READINESS_REQUEST).status {
            200 => true,
            503 => false,
            status => panic!("readiness has status {status}"),
        }
    }

    pub fn wait_until_ready(&self) {
        wait_for("readiness", || self.is_ready());
    }

    /// Whether a line of the log that is no detail contains a text.
    pub fn has_logged(&self, text: &str) -> bool {
        lock(&self.log).lines().any(|line| !line.contains(DETAIL_LEVEL) && line.contains(text))
    }

    pub fn wait_until_logged(&self, text: &str) {
        wait_for(text, || self.has_logged(text));
    }

    pub fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    /// Waits for the end of the program.
    pub fn wait_for_exit_code(&mut self) -> Option<i32> {
        wait_for("the exit", || self.child.try_wait().expect("a child").is_some());
        self.child.wait().expect("a child").code()
    }

    /// The most memory that the program has used.
    pub fn peak_memory_kb(&self) -> u64 {
        // The shell that set the limit on descriptors has become the program, under the same id.
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process has a status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its memory");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }
}

/// Where the program listens, by its log.
pub fn listening_address(log: &str) -> Option<&str> {
    let (_, address) = log.lines().find_map(|line| line.split_once(LISTENING_LOG_PREFIX))?;
    Some(address.trim())
}

impl Drop for LimiterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.configuration);
        if std::thread::panicking() {
            eprintln!("log:\n{}", self.log.lock().map(|log| log.clone()).unwrap_or_default());
        }
    }
}
