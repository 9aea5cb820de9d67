//! Stubs of the limiter's surroundings (clients, servers, discovery, a quota owner), and the limiter under
//! test as a child process.
//!
//! A helper panics if one of its steps fails, so that the test fails at that step.

// Each test file is a crate of its own and uses only a part of this module.
#![allow(dead_code, unused_imports)]

mod client;
mod configuration;
mod disconnecting_client;
mod discovery;
mod endpoint_list;
mod gate;
mod http;
mod in_flight_request;
mod limiter_command;
mod limiter_process;
mod process_log;
mod quota_owner;
mod server;
mod server_with_full_backlog;

pub use client::*;
pub use configuration::*;
pub use disconnecting_client::*;
pub use discovery::*;
pub use endpoint_list::*;
pub use gate::*;
pub use http::*;
pub use in_flight_request::*;
pub use limiter_command::*;
pub use limiter_process::*;
pub use process_log::*;
pub use quota_owner::*;
pub use server::*;
pub use server_with_full_backlog::*;

use std::io::{ErrorKind, Result};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How long a test waits for an event before the test fails. No event takes nearly as long, so that tests
/// do not fail on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two checks of [`wait_for`], in milliseconds.
const POLL_INTERVAL_MS: u64 = 10;

/// Polls a condition and returns as soon as it is true.
///
/// # Panics
///
/// Panics if the condition is still false after [`WAIT_TIMEOUT`]. The message names `event`.
pub fn wait_for(event: &str, mut has_occurred: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !has_occurred() {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "timed out while waiting for {event}");
        sleep_ms(POLL_INTERVAL_MS);
    }
}

/// Calls `read` until no signal interrupts the call, and returns the result.
///
/// A read with a timeout fails with `EINTR` if this process is stopped and continued during the call
/// (signal(7)), which may happen at any time.
pub fn retry_on_interrupt<T>(mut read: impl FnMut() -> Result<T>) -> Result<T> {
    loop {
        match read() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Blocks the calling thread for `ms` milliseconds.
pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Locks state that a stub shares with its threads.
///
/// # Panics
///
/// Panics if another thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panicked while it held the lock")
}
