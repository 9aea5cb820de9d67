//! Whether a process that shuts down may exit.

use crate::event::Millis;

/// Shortest time in milliseconds between the close of the listener and the exit. Requests on the connections
/// that were accepted last are read in this time.
const LAST_ACCEPTED_READ_MS: Millis = 50.0;
/// Longest time in milliseconds from the signal to the exit, regardless of outstanding responses.
const MAX_SHUTDOWN_MS: Millis = 20_000.0;

/// The facts about a process that has received the signal to shut down.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownFacts {
    /// Time in milliseconds since the signal.
    pub since_signal_ms: Millis,
    /// Time in milliseconds since the listener was closed; none while it is open.
    pub since_listener_close_ms: Option<Millis>,
    /// Whether the process has to wait for any connection, see
    /// [`super::ClientConnectionFacts::blocks_shutdown`].
    pub has_blocking_connection: bool,
}

/// Returns whether the process may exit: every request that it accepted has been answered, or the shutdown
/// has taken longer than `MAX_SHUTDOWN_MS`.
#[must_use]
pub fn may_exit(facts: &ShutdownFacts) -> bool {
    let has_read_last_accepted =
        facts.since_listener_close_ms.is_some_and(|closed_ms| closed_ms >= LAST_ACCEPTED_READ_MS);
    let is_finished = has_read_last_accepted && !facts.has_blocking_connection;
    is_finished || facts.since_signal_ms >= MAX_SHUTDOWN_MS
}
