//! Reloads of the configuration by SIGHUP.

mod stubs;

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::TcpStream;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

use stubs::*;

/// Guards against a SIGHUP that ends the program, and against changes lost while the watch moves over: the old
/// discovery counts until the new one has sent its list, whose versions say nothing of the old one's.
#[test]
fn a_reload_moves_the_watch_and_loses_no_change() {
    let (one, two) = (StubServer::responding_with("one"), StubServer::responding_with("two"));
    let limiter = LimiterProcess::in_front_of(&one);
    let responds = |body: &str| limiter.request(&idempotent_request()).body == body;
    let new_discovery = StubDiscovery::new(HEARTBEAT.to_string());
    let (old, new) = (limiter.discovery.addr.to_string(), new_discovery.addr.to_string());
    limiter.reload(|configuration| configuration.replace(&old, &new));
    wait_for("the new watch", || new_discovery.num_opened_watches() == 1);
    let watches = new_discovery.watch_request_heads();
    assert!(!watches[0].contains("after="), "{watches:?}");
    assert_eq!(limiter.request(&idempotent_request()).body, "one", "the old list stands");
    limiter.discovery.send(&list_change(7, &[draining_at("s-1", one.addr), serving("s-2", &two)]));
    wait_for("the old watch's change", || responds("two"));
    new_discovery.send(&complete_list(3, &[serving("s-1", &one)]));
    limiter.wait_until_logged("endpoint changed server=s-1 ");
    wait_for("the new list", || responds("one"));
    limiter.discovery.send(&complete_list(8, &[serving("s-2", &two)]));
    limiter.wait_until_logged("superseded by a newer source");
    assert_eq!(limiter.request(&idempotent_request()).body, "one");
    new_discovery.close_watches();
    wait_for("the watch begun anew", || new_discovery.num_opened_watches() == 2);
    let watches = new_discovery.watch_request_heads();
    assert!(watches[1].contains("after=3"), "{watches:?}");
}

/// A system call may fail for a moment, and a file may be seen half written: the new configuration counts all the same.
#[test]
fn an_unreadable_configuration_is_read_again() {
    let (one, two) = (StubServer::responding_with("one"), StubServer::responding_with("two"));
    for half_written in [None, Some("{\"name\":\"n0\",")] {
        let limiter = LimiterProcess::in_front_of(&one);
        let new_discovery = StubDiscovery::new(complete_list(1, &[serving("s-1", &two)]));
        let (old, new) = (limiter.discovery.addr.to_string(), new_discovery.addr.to_string());
        let whole = limiter.replace_configuration(half_written);
        limiter.signal("HUP");
        limiter.wait_until_logged("configuration reload failed");
        limiter.replace_configuration(Some(&whole.replace(&old, &new)));
        wait_for("the new list", || limiter.request(&idempotent_request()).body == "two");
    }
}

/// A file that cannot be read leaves all as it is.
#[test]
fn an_invalid_configuration_changes_nothing() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::in_front_of(&server);
    limiter.reload(|configuration| configuration.replace_first("{", ""));
    limiter.wait_until_logged("keeping current configuration");
    assert_eq!(limiter.request(&idempotent_request()).status, 200);
    limiter.discovery.send(&list_change(2, &[draining_at("s-1", server.addr)]));
    wait_for("the old watch's change", || !limiter.is_ready());
}

/// The program with a pipe for its configuration, so that the test decides when it is read; it ends with the test.
struct ProcessWithPipe {
    child: Child,
    directory: PathBuf,
    pipe: PathBuf,
    log: PathBuf,
}

impl ProcessWithPipe {
    fn start() -> ProcessWithPipe {
        let directory = std::env::temp_dir().join(format!("limiter-reload-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory");
        let (pipe, log) = (directory.join("config"), directory.join("log"));
        assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo").success());
        let mut command = Command::new(env!("CARGO_BIN_EXE_limiter"));
        command.env_remove("ROUTER_NAME").env_remove("ROUTER_LISTEN").env_remove("ROUTER_DISCOVERY");
        command.env("ROUTER_CONFIG", &pipe).stderr(File::create(&log).expect("a log"));
        let child = command.spawn().expect("the program starts");
        ProcessWithPipe { child, directory, pipe, log }
    }

    fn log(&self) -> String {
        std::fs::read_to_string(&self.log).expect("a log")
    }

    fn wait_log(&self, text: &str) {
        wait_for(text, || self.log().contains(text));
    }

    /// Hands over a configuration that names this discovery, once the program has opened the pipe to read it; does
    /// something else first.
    fn configure(&self, discovery: &StubDiscovery, before: impl FnOnce()) {
        let configuration = Configuration::with_discovery_at(&discovery.addr.to_string());
        let mut pipe = open_pipe_with_reader(&self.pipe);
        before();
        pipe.write_all(configuration.text().as_bytes()).expect("write");
    }
}

impl Drop for ProcessWithPipe {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Opens a pipe for writing once somebody reads it: an open with O_NONBLOCK fails before.
fn open_pipe_with_reader(pipe: &Path) -> File {
    const O_NONBLOCK: i32 = 0o4000;
    let mut file = None;
    wait_for("the program to read its configuration", || {
        file = OpenOptions::new().write(true).custom_flags(O_NONBLOCK).open(pipe).ok();
        file.is_some()
    });
    file.expect("a pipe with a reader")
}

/// SIGHUP comes while the program still reads its first configuration, and the second names another discovery. Guards
/// against a program that ends by it, forgets it, watches twice, or follows both.
#[test]
fn a_sighup_before_the_first_watch_moves_the_watch() {
    let (server, elsewhere) = (StubServer::responding_with("two"), StubServer::responding_with("one"));
    let old = StubDiscovery::new(complete_list(1, &[serving("s-1", &elsewhere)]));
    let new = StubDiscovery::new(complete_list(1, &[serving("s-2", &server)]));
    let mut program = ProcessWithPipe::start();
    program.configure(&old, || send_signal(program.child.id(), "HUP"));
    program.wait_log(LISTENING_LOG_PREFIX);
    program.configure(&new, || ());
    program.wait_log("endpoint changed server=s-2 ");
    let later = complete_list(9, &[serving("s-9", &elsewhere)]);
    old.resume_with(&later);
    if old.num_opened_watches() > 0 {
        old.send(&later);
    }
    let is_old_watch_over =
        || old.num_watch_requests() == 0 || program.log().contains("endpoint watch superseded");
    wait_for("the old watch to end", is_old_watch_over);
    // The version of the configured list is one of the old source.
    let first_call = new.watch_request_heads().swap_remove(0);
    assert!(!first_call.contains("after="), "{first_call}");
    new.send(&list_change(2, &[serving("s-3", &server)]));
    program.wait_log("endpoint changed server=s-3 ");
    let log = program.log();
    let address = listening_address(&log).expect("an address");
    let mut client = TcpStream::connect(address).expect("connect");
    assert_eq!(send_and_receive(&mut client, &request_with_long_timeout("hangup")).body, "two");
    // A call that is answered late, on a slow machine, is made again.
    assert!(new.num_watch_requests() == 1 || log.contains("watching again"), "{log}");
    assert!(!log.contains("s-9"), "the old one is followed: {log}");
    assert!(program.child.try_wait().expect("a child").is_none(), "{log}");
}
