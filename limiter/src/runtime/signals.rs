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

use crate::net::through_shortage;

/// A signal is noticed within this time, also where the write that should wake the program up fails: the handler cannot
/// repeat it.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Bytes of wake-ups taken at once.
const WAKE_UP_BYTES: usize = 64;

/// A signal: the handler sets the flag, and the program takes it.
struct Pending {
    name: &'static str,
    is_set: Arc<AtomicBool>,
}

impl Pending {
    /// Handles a signal from now on by a flag and a byte on `wake_up`.
    fn register(name: &'static str, signal: i32, wake_up: &StdUnixStream) -> Result<Pending, SignalError> {
        let failed = |error| SignalError { name, error };
        let is_set = Arc::new(AtomicBool::new(false));
        // The handlers run in the order in which they were registered: the flag is set before the program wakes up.
        flag::register(signal, is_set.clone()).map_err(failed)?;
        pipe::register(signal, wake_up.try_clone().map_err(failed)?).map_err(failed)?;
        Ok(Pending { name, is_set })
    }

    /// Whether the signal has come since the last call.
    fn take(&self) -> bool {
        self.is_set.swap(false, Ordering::SeqCst)
    }
}

/// A signal cannot be handled.
#[derive(Debug, thiserror::Error)]
#[error("{name}: {error}")]
pub struct SignalError {
    /// Its name.
    name: &'static str,
    /// Why.
    error: io::Error,
}

/// The signals that the program handles.
///
/// tokio's own are not used: their driver panics where the read that clears its wake-ups is interrupted, and hears of no
/// signal whose wake-up was.
pub struct Signals {
    wake_ups: UnixStream,
    hangup: Pending,
    terminate: Pending,
    interrupt: Pending,
    user: Pending,
    reload: Notify,
    report: Notify,
    stop: Notify,
    stopped_by: Cell<&'static str>,
}

impl Signals {
    /// Handles the signals from now on; needs the runtime.
    ///
    /// # Errors
    /// The system does not allow it.
    pub fn install() -> Result<Signals, SignalError> {
        let failed = |error| SignalError { name: "signals", error };
        let (receiver, sender) = through_shortage(StdUnixStream::pair).map_err(failed)?;
        receiver.set_nonblocking(true).map_err(failed)?;
        Ok(Signals {
            wake_ups: UnixStream::from_std(receiver).map_err(failed)?,
            hangup: Pending::register("SIGHUP", SIGHUP, &sender)?,
            terminate: Pending::register("SIGTERM", SIGTERM, &sender)?,
            interrupt: Pending::register("SIGINT", SIGINT, &sender)?,
            user: Pending::register("SIGUSR1", SIGUSR1, &sender)?,
            reload: Notify::new(),
            report: Notify::new(),
            stop: Notify::new(),
            stopped_by: Cell::new(""),
        })
    }

    /// Passes signals on as they come, forever.
    pub async fn run(&self) {
        loop {
            if self.hangup.take() {
                self.reload.notify_one();
            }
            if self.user.take() {
                self.report.notify_one();
            }
            for signal in [&self.terminate, &self.interrupt] {
                if signal.take() {
                    self.stopped_by.set(signal.name);
                    self.stop.notify_one();
                }
            }
            // The flags say what has come, whatever becomes of the wake-ups.
            let _ = timeout(RECHECK_INTERVAL, self.wait_for_wake_up()).await;
        }
    }

    async fn wait_for_wake_up(&self) -> io::Result<()> {
        self.wake_ups.readable().await?;
        self.wake_ups.try_read(&mut [0; WAKE_UP_BYTES]).map(|_| ())
    }

    /// Waits for SIGHUP; several that came meanwhile count as one. Cancelling loses none.
    pub async fn reload_requested(&self) {
        self.reload.notified().await;
    }

    /// Waits for SIGUSR1, which asks for the counters. Cancelling loses none.
    pub async fn report_requested(&self) {
        self.report.notified().await;
    }

    /// Waits for the signal to stop; its name.
    pub async fn stop_requested(&self) -> &'static str {
        self.stop.notified().await;
        self.stopped_by.get()
    }
}
