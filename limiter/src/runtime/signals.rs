//! The signals that the program handles.

use std::cell::Cell;
use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::{flag, low_level::pipe};
use tokio::net::UnixStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::net::retry_on_resource_exhaustion;

/// Longest time until the program notices a signal whose wake-up was lost. A wake-up is lost if the write of
/// the signal handler fails, because the handler cannot repeat the write.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of wake-up bytes that one call reads. Each signal writes one byte. Bytes that remain wake the task
/// again.
const WAKE_UP_BYTES: usize = 64;

/// A signal whose handler sets a flag, which the program reads and clears.
struct SignalFlag {
    name: &'static str,
    is_set: Arc<AtomicBool>,
}

impl SignalFlag {
    /// Installs two handlers for the signal: one sets the flag, the other writes a byte to `wake_up`.
    fn register(name: &'static str, signal: i32, wake_up: &StdUnixStream) -> Result<SignalFlag, SignalError> {
        let failed = |error| SignalError { name, error };
        let is_set = Arc::new(AtomicBool::new(false));
        // Handlers run in the order in which they were registered, so the flag is set before the program
        // wakes up.
        flag::register(signal, is_set.clone()).map_err(failed)?;
        pipe::register(signal, wake_up.try_clone().map_err(failed)?).map_err(failed)?;
        Ok(SignalFlag { name, is_set })
    }

    /// Clears the flag, and returns whether the signal has arrived since the last call.
    fn take(&self) -> bool {
        self.is_set.swap(false, Ordering::SeqCst)
    }
}

/// The handler of a signal could not be installed.
#[derive(Debug, thiserror::Error)]
#[error("cannot install the handler of {name}: {error}")]
pub struct SignalError {
    /// Name of the signal, or `signals` if the error concerns all of them.
    name: &'static str,
    /// The error of the system.
    error: io::Error,
}

/// The signals that the program handles.
///
/// The program does not use the signal driver of tokio: that driver panics if the read that clears its
/// wake-ups is interrupted, and misses a signal whose wake-up was lost.
pub struct Signals {
    wake_ups: UnixStream,
    hangup: SignalFlag,
    terminate: SignalFlag,
    interrupt: SignalFlag,
    user_defined_1: SignalFlag,
    reload: Notify,
    counter_log: Notify,
    shutdown: Notify,
    /// Name of the signal that requested the shutdown; empty before such a signal.
    shutdown_signal: Cell<&'static str>,
}

impl Signals {
    /// Installs the handlers. Must be called within the runtime.
    ///
    /// # Errors
    /// [`SignalError`] if the sockets for the wake-ups cannot be created or a handler cannot be installed.
    pub fn install() -> Result<Signals, SignalError> {
        let failed = |error| SignalError { name: "signals", error };
        let (receiver, sender) = retry_on_resource_exhaustion(StdUnixStream::pair).map_err(failed)?;
        receiver.set_nonblocking(true).map_err(failed)?;
        Ok(Signals {
            wake_ups: UnixStream::from_std(receiver).map_err(failed)?,
            hangup: SignalFlag::register("SIGHUP", SIGHUP, &sender)?,
            terminate: SignalFlag::register("SIGTERM", SIGTERM, &sender)?,
            interrupt: SignalFlag::register("SIGINT", SIGINT, &sender)?,
            user_defined_1: SignalFlag::register("SIGUSR1", SIGUSR1, &sender)?,
            reload: Notify::new(),
            counter_log: Notify::new(),
            shutdown: Notify::new(),
            shutdown_signal: Cell::new(""),
        })
    }

    /// Notifies the tasks that wait for a signal when the signal arrives. Never returns.
    pub async fn run(&self) {
        loop {
            self.notify_waiting_tasks();
            // The flags show which signals have arrived, whether or not the wake-up could be read.
            let _ = timeout(RECHECK_INTERVAL, self.wait_for_wake_up()).await;
        }
    }

    fn notify_waiting_tasks(&self) {
        if self.hangup.take() {
            self.reload.notify_one();
        }
        if self.user_defined_1.take() {
            self.counter_log.notify_one();
        }
        for signal in [&self.terminate, &self.interrupt] {
            if signal.take() {
                self.shutdown_signal.set(signal.name);
                self.shutdown.notify_one();
            }
        }
    }

    /// Waits for a wake-up from a signal handler, and reads the wake-up. Cancelling loses no signal: the
    /// flags show which signals have arrived.
    ///
    /// # Errors
    /// Those of the read of the wake-up.
    async fn wait_for_wake_up(&self) -> io::Result<()> {
        self.wake_ups.readable().await?;
        self.wake_ups.try_read(&mut [0; WAKE_UP_BYTES]).map(|_| ())
    }

    /// Waits for SIGHUP, which requests a reload of the configuration. Several signals that arrived since the
    /// last wait complete only one wait. Cancelling loses no signal.
    pub async fn reload_requested(&self) {
        self.reload.notified().await;
    }

    /// Waits for SIGUSR1, which requests a log of the counters. Cancelling loses no signal.
    pub async fn counter_log_requested(&self) {
        self.counter_log.notified().await;
    }

    /// Waits for SIGTERM or SIGINT, which request a graceful shutdown, and returns the name of the signal.
    /// Cancelling loses no signal.
    pub async fn shutdown_requested(&self) -> &'static str {
        self.shutdown.notified().await;
        self.shutdown_signal.get()
    }
}
