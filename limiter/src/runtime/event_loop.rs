//! Iterations of the event loop in which pending input is read.

/// Lowest number of yields to the I/O driver in which everything that has arrived is read.
const MIN_YIELDS: usize = 4;
/// Number of connections for which one more yield is made. A yield runs the I/O driver once, and at most 61
/// tasks that it has woken (tokio's event interval).
const CONNECTIONS_PER_YIELD: usize = 16;

/// Yields to the I/O driver until the tasks of `num_connections` connections have read everything that has
/// arrived.
///
/// Timers fire first after a stall of the process: when the process stops during a wait for I/O, that wait
/// reports no events, and tokio does not try to read or accept before an event has been reported. Cancelling
/// this future leaves the remaining input to later iterations.
pub async fn read_pending_input(num_connections: usize) {
    for _ in 0..MIN_YIELDS + num_connections / CONNECTIONS_PER_YIELD {
        tokio::task::yield_now().await;
    }
}
