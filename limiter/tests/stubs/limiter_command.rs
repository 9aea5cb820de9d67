//! The configuration file, command line and environment of the limiter, and signals to the process.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

use super::Configuration;

/// Limit on open descriptors of a limiter, unless the test sets another.
pub const DEFAULT_DESCRIPTOR_LIMIT: u32 = 1024;

/// Writes a configuration to a new temporary file and returns the path.
///
/// # Panics
///
/// Panics if the file cannot be written.
pub fn write_configuration(configuration: &Configuration) -> PathBuf {
    static NUM_WRITTEN: AtomicUsize = AtomicUsize::new(0);
    let number = NUM_WRITTEN.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("limiter-test-{}-{number}.json", std::process::id()));
    std::fs::write(&path, configuration.text()).expect("a written configuration");
    path
}

/// Returns the command that runs the limiter with this configuration file and limit on open descriptors.
/// Standard error is piped.
pub fn limiter_command(configuration: &Path, descriptor_limit: u32) -> Command {
    let mut command = Command::new("sh");
    command.args(["-c", "ulimit -n \"$1\"; exec \"$0\"", env!("CARGO_BIN_EXE_limiter")]);
    command.arg(descriptor_limit.to_string());
    command.env_remove("ROUTER_NAME").env_remove("ROUTER_LISTEN").env_remove("ROUTER_DISCOVERY");
    command.env("ROUTER_CONFIG", configuration).stderr(Stdio::piped());
    // The log that a failed test prints shows what happened to each request and connection.
    command.env("LIMITER_LOG", "debug");
    command
}

/// Returns the path of the `fault_shim` library, which makes system calls fail. Cargo builds the library into
/// the directory of the test.
///
/// # Panics
///
/// Panics if the library was not built.
pub fn fault_shim_path() -> PathBuf {
    let test = std::env::current_exe().expect("the path of this test");
    let library = test.with_file_name("libfault_shim.so");
    assert!(library.exists(), "{} is not built", library.display());
    library
}

/// Sends a signal to a process. `name` is the name of the signal without `SIG`, as in kill(1). When the
/// function returns, the process may not have handled the signal yet.
///
/// # Panics
///
/// Panics if the signal cannot be sent.
pub fn send_signal(pid: u32, name: &str) {
    let status = Command::new("kill").args(["-s", name, &pid.to_string()]).status();
    assert!(status.expect("kill can be run").success(), "SIG{name} was not sent to {pid}");
}
