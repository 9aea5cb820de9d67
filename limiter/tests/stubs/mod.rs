//! Stand-ins for all that the program talks to, each in a module of its own, and the program itself as a process.
// Each test file is a crate of its own and uses a part of this module.
#![allow(dead_code, unused_imports)]

mod client;
mod configuration;
mod disconnecting_client;
mod discovery;
mod gate;
mod http;
mod in_flight_request;
mod limiter_process;
mod quota_owner;
mod server;
mod server_with_full_backlog;

pub use client::*;
pub use configuration::*;
pub use disconnecting_client::*;
pub use discovery::*;
pub use gate::*;
pub use http::*;
pub use in_flight_request::*;
pub use limiter_process::*;
pub use quota_owner::*;
pub use server::*;
pub use server_with_full_backlog::*;

use std::io::{ErrorKind, Result};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What does not come within this time does not come.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until something holds; it is the only measure of time in most tests, and generous.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "waited in vain for {what}");
        sleep_ms(10);
    }
}

/// Repeats a read for as long as it is interrupted: one with a time-out is, where the machine stops this process for a
/// moment and lets it go on (signal(7)).
pub fn retry_on_interrupt<T>(mut read: impl FnMut() -> Result<T>) -> Result<T> {
    loop {
        match read() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no test thread panicked with the lock")
}
