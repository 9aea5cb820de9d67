//! Functions that start a limiter.

use std::net::SocketAddr;

use super::super::{
    complete_list, fault_shim_path, limiter_command, listening_address, serving, wait_for,
    write_configuration, Configuration, Endpoint, ProcessLog, StubDiscovery, StubServer,
    DEFAULT_DESCRIPTOR_LIMIT,
};
use super::LimiterProcess;

/// The result of a start that failed.
pub struct FailedStart {
    /// Exit code of the process. `None` if a signal terminated the process.
    pub exit_code: Option<i32>,
    /// The text that the process wrote to standard error.
    pub stderr: String,
}

/// Functions that start a limiter. `alter` changes the default configuration.
///
/// Each of them panics if the limiter does not listen, or does not reach the state that the function
/// documents, within [`WAIT_TIMEOUT`](crate::stubs::WAIT_TIMEOUT).
impl LimiterProcess {
    /// Starts a limiter in front of one server, s-1, and returns when the limiter is ready.
    pub fn in_front_of(server: &StubServer) -> LimiterProcess {
        LimiterProcess::with_server(server, |configuration| configuration)
    }

    /// Starts a limiter with an altered configuration in front of one server, s-1, and returns when the
    /// limiter is ready.
    pub fn with_server(
        server: &StubServer,
        alter: impl Fn(Configuration) -> Configuration,
    ) -> LimiterProcess {
        LimiterProcess::start(&[serving("s-1", server)], alter, DEFAULT_DESCRIPTOR_LIMIT)
    }

    /// Starts a limiter with an empty endpoint list and returns when the limiter has opened its watch.
    pub fn without_servers() -> LimiterProcess {
        LimiterProcess::with_endpoints(&[], |configuration| configuration)
    }

    /// Starts a limiter with these endpoints. Returns when the limiter has opened its watch and, unless there
    /// are no endpoints, is ready.
    pub fn with_endpoints(
        endpoints: &[Endpoint],
        alter: impl Fn(Configuration) -> Configuration,
    ) -> LimiterProcess {
        LimiterProcess::start(endpoints, alter, DEFAULT_DESCRIPTOR_LIMIT)
    }

    /// Starts a limiter in front of one server, s-1, with a limit on descriptors that is set in the operating
    /// system and not in the configuration. Returns when the limiter is ready.
    pub fn with_os_descriptor_limit(server: &StubServer, descriptor_limit: u32) -> LimiterProcess {
        LimiterProcess::start(&[serving("s-1", server)], |configuration| configuration, descriptor_limit)
    }

    fn start(
        endpoints: &[Endpoint],
        alter: impl Fn(Configuration) -> Configuration,
        descriptor_limit: u32,
    ) -> LimiterProcess {
        let discovery = StubDiscovery::new(complete_list(1, endpoints));
        let limiter = LimiterProcess::with_discovery(discovery, alter, descriptor_limit);
        wait_for("the watch", || limiter.discovery.num_opened_watches() > 0);
        if !endpoints.is_empty() {
            limiter.wait_until_ready();
        }
        limiter
    }

    /// Starts a limiter with this stub of discovery, and returns when the limiter listens.
    pub fn with_discovery(
        discovery: StubDiscovery,
        alter: impl Fn(Configuration) -> Configuration,
        descriptor_limit: u32,
    ) -> LimiterProcess {
        LimiterProcess::with_faults(discovery, alter, descriptor_limit, &[])
    }

    /// Starts a limiter whose system calls fail, and returns when the limiter listens. `faults` contains
    /// environment variables of `fault_shim::plan` and their values.
    pub fn with_faults(
        discovery: StubDiscovery,
        alter: impl Fn(Configuration) -> Configuration,
        descriptor_limit: u32,
        faults: &[(&str, &str)],
    ) -> LimiterProcess {
        let discovery_address = discovery.addr.to_string();
        let configuration = write_configuration(&alter(Configuration::with_discovery_at(&discovery_address)));
        let mut command = limiter_command(&configuration, descriptor_limit);
        if !faults.is_empty() {
            command.env("LD_PRELOAD", fault_shim_path()).envs(faults.iter().copied());
        }
        // At the start the variable overrides the file. A reload uses the address in the file.
        command.env("ROUTER_DISCOVERY", discovery_address);
        let mut child = command.spawn().expect("a started process");
        let log = ProcessLog::read_from(child.stderr.take().expect("a piped standard error"));
        let addr = wait_for_listening_address(&log);
        LimiterProcess { addr, discovery, child, log, configuration }
    }

    /// Runs a limiter that is expected to fail during its start, and returns when the process has exited.
    /// Nothing listens at the address of discovery.
    pub fn fail_to_start(alter: impl Fn(Configuration) -> Configuration) -> FailedStart {
        let configuration = write_configuration(&alter(Configuration::with_discovery_at("127.0.0.1:1")));
        let output = limiter_command(&configuration, DEFAULT_DESCRIPTOR_LIMIT).output();
        let output = output.expect("a started process");
        let _ = std::fs::remove_file(configuration);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        FailedStart { exit_code: output.status.code(), stderr }
    }
}

/// Waits until the log of a limiter reports the listening address, and returns the address.
fn wait_for_listening_address(log: &ProcessLog) -> SocketAddr {
    let mut addr = None;
    wait_for("the limiter to listen", || {
        addr = listening_address(&log.text()).and_then(|address| address.parse().ok());
        addr.is_some()
    });
    addr.expect("a listening address")
}
