//! Runs the event loop until pending input has been read.

/// Number of yields to the I/O driver within which everything that has arrived on a few connections is read.
/// During the first yields, the driver reports the sockets as ready; during the next ones, the tasks that
/// this wakes accept connections, read, and pass on what they read.
const MIN_YIELDS: usize = 4;
/// Number of connections for which one more yield is made. During a yield, the I/O driver runs once, and at
/// most 61 of the tasks that the driver has woken run (tokio's event interval).
const CONNECTIONS_PER_YIELD: usize = 16;

/// Yields to the I/O driver until the tasks of `num_connections` connections have read everything that has
/// arrived.
///
/// After a stall of the process, tokio's timers fire before anything is read: when the process stops during
/// a wait for I/O, that wait reports no events, and tokio does not try to read or accept before an event has
/// been reported. The engine's timers and the steps of the shutdown therefore call this function before they
/// decide.
///
/// Cancelling leaves the remaining input to later iterations.
pub async fn read_pending_input(num_connections: usize) {
    for _ in 0..MIN_YIELDS + num_connections / CONNECTIONS_PER_YIELD {
        tokio::task::yield_now().await;
    }
}
