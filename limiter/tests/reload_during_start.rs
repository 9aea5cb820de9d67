//! A reload of the configuration while the process is starting.

mod stubs;

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::TcpStream;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

use stubs::*;

/// A limiter whose configuration file is a named pipe, so that the test controls when the configuration is
/// read. Dropping the value kills the process.
struct LimiterWithConfigurationPipe {
    child: Child,
    directory: PathBuf,
    pipe: PathBuf,
    log: PathBuf,
}

impl LimiterWithConfigurationPipe {
    fn start() -> LimiterWithConfigurationPipe {
        let directory = std::env::temp_dir().join(format!("limiter-reload-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory");
        let pipe = directory.join("config");
        let log = directory.join("log");
        assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo").success());
        let mut command = Command::new(env!("CARGO_BIN_EXE_limiter"));
        command.env_remove("ROUTER_NAME").env_remove("ROUTER_LISTEN").env_remove("ROUTER_DISCOVERY");
        command.env("ROUTER_CONFIG", &pipe).stderr(File::create(&log).expect("a log"));
        let child = command.spawn().expect("a started process");
        LimiterWithConfigurationPipe { child, directory, pipe, log }
    }

    fn log(&self) -> String {
        std::fs::read_to_string(&self.log).expect("a log")
    }

    fn wait_until_logged(&self, text: &str) {
        wait_for(text, || self.log().contains(text));
    }

    fn connect(&self) -> TcpStream {
        let log = self.log();
        let address = listening_address(&log).expect("an address");
        TcpStream::connect(address).expect("a connection to the limiter")
    }

    /// Waits until the limiter opens the pipe to read its configuration, calls `before_write`, and writes a
    /// configuration with this discovery.
    fn write_configuration(&self, discovery: &StubDiscovery, before_write: impl FnOnce()) {
        let configuration = Configuration::with_discovery_at(&discovery.addr.to_string());
        let mut pipe = open_pipe_with_reader(&self.pipe);
        before_write();
        pipe.write_all(configuration.text().as_bytes()).expect("a written configuration");
    }
}

impl Drop for LimiterWithConfigurationPipe {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Opens a pipe for writing as soon as a process has opened the pipe for reading. Until then, an open with
/// `O_NONBLOCK` fails.
fn open_pipe_with_reader(pipe: &Path) -> File {
    const O_NONBLOCK: i32 = 0o4000;
    let mut file = None;
    wait_for("the limiter to read its configuration", || {
        file = OpenOptions::new().write(true).custom_flags(O_NONBLOCK).open(pipe).ok();
        file.is_some()
    });
    file.expect("a pipe with a reader")
}

/// Announces a list on all open and future watches of the old discovery, and waits until the limiter has
/// ended its watch there or has never requested one.
fn assert_watch_ends(limiter: &LimiterWithConfigurationPipe, old_discovery: &StubDiscovery, list: &str) {
    old_discovery.resume_with(list);
    if old_discovery.num_opened_watches() > 0 {
        old_discovery.send(list);
    }
    wait_for("the old watch to end", || {
        old_discovery.num_watch_requests() == 0 || limiter.log().contains("endpoint watch superseded")
    });
}

/// SIGHUP arrives while the limiter reads its first configuration, and the second configuration names another
/// discovery. Guards against a process that is terminated by the signal, ignores it, watches the new
/// discovery twice, or uses the lists of both discoveries.
#[test]
fn a_sighup_during_the_start_switches_the_watch() {
    let server = StubServer::responding_with("new");
    let old_server = StubServer::responding_with("old");
    let old_discovery = StubDiscovery::new(complete_list(1, &[serving("s-1", &old_server)]));
    let new_discovery = StubDiscovery::new(complete_list(1, &[serving("s-2", &server)]));
    let mut limiter = LimiterWithConfigurationPipe::start();
    limiter.write_configuration(&old_discovery, || send_signal(limiter.child.id(), "HUP"));
    limiter.wait_until_logged(LISTENING_LOG_PREFIX);
    limiter.write_configuration(&new_discovery, || ());
    limiter.wait_until_logged("endpoint changed server=s-2 ");
    assert_watch_ends(&limiter, &old_discovery, &complete_list(9, &[serving("s-9", &old_server)]));

    // Any list version that the limiter knows comes from the old discovery, and has no meaning for the new
    // one.
    let first_request = new_discovery.watch_request_heads().swap_remove(0);
    assert!(!first_request.contains("after="), "{first_request}");
    new_discovery.send(&list_change(2, &[serving("s-3", &server)]));
    limiter.wait_until_logged("endpoint changed server=s-3 ");
    let mut client = limiter.connect();
    assert_eq!(send_and_receive(&mut client, &request_with_long_timeout("hangup")).body, "new");
    let num_watch_requests = new_discovery.num_watch_requests();
    let log = limiter.log();
    // On a slow machine, a watch request may time out. The limiter logs this and sends the request again.
    let num_retries = log.matches("endpoint watch failed, reconnecting").count();
    assert!(num_watch_requests <= 1 + num_retries, "{num_watch_requests} watch requests: {log}");
    assert!(!log.contains("s-9"), "the list of the old discovery was used: {log}");
    assert!(limiter.child.try_wait().expect("a child").is_none(), "{log}");
}
