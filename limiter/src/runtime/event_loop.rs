//! Turns of the I/O driver in which what has arrived is read.

/// Least number of yields to the I/O driver in which everything that has arrived is read.
const MIN_TURNS: usize = 4;
/// One further yield for each of so many connections. A yield runs the I/O driver once and at most 61 woken tasks
/// (tokio's event interval).
const CONNECTIONS_PER_TURN: usize = 16;

/// Lets everything that has arrived on so many connections be read. After a stall (no CPU for a while) timers fire first:
/// a wait for I/O that a stop of the process interrupted reports no events, and tokio tries no read or accept before an
/// event has reported it. Cancelling leaves the rest for later turns.
pub async fn read_pending_input(num_connections: usize) {
    for _ in 0..MIN_TURNS + num_connections / CONNECTIONS_PER_TURN {
        tokio::task::yield_now().await;
    }
}
