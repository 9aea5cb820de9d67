//! Retries of system calls that failed for a transient reason.

use std::io;
use std::time::{Duration, Instant};

use super::errors::is_resource_exhaustion;

/// Longest time for which a call during startup is retried while resources are exhausted. A limiter has to be
/// ready within 10 s of its start.
const MAX_RETRY_TIME: Duration = Duration::from_secs(4);
/// Pause between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Makes a system call, and repeats the call for as long as it is interrupted.
///
/// # Errors
/// Any other error of the call.
pub fn retry_on_interrupt<R>(mut call: impl FnMut() -> io::Result<R>) -> io::Result<R> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Makes a system call, and repeats the call while this host's descriptors or memory are exhausted. Blocks
/// the thread, and is therefore used only during startup, when nothing else runs.
///
/// # Errors
/// The error of the call if it has another cause, or persists for [`MAX_RETRY_TIME`].
pub fn retry_on_resource_exhaustion<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started_at = Instant::now();
    loop {
        match call() {
            Err(error) if is_resource_exhaustion(&error) && started_at.elapsed() < MAX_RETRY_TIME => {
                std::thread::sleep(RETRY_DELAY);
            }
            result => return result,
        }
    }
}
