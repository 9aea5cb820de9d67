//! The accept loop, from the start to the end of the graceful shutdown.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use super::acceptor::Acceptor;
use super::connections::Connections;
use super::shutdown::Shutdown;
use crate::engine::Engine;
use crate::net::Listener;
use crate::runtime::duration;

/// Interval at which the accept loop checks whether another connection may be opened, or whether a step of
/// the shutdown is due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Accepts and serves connections until `shutdown_requested` yields the name of a signal, and shuts down
/// gracefully after that: shuts down the connections, closes the listener, and returns once every accepted
/// request has been answered, or the shutdown has taken the longest time that
/// [`limiter_core::rules::may_exit`] allows.
///
/// Awaited by `main`. When this function has returned, `main` drops the runtime, which cancels the remaining
/// tasks. Cancelling this future closes the listener and leaves the tasks of the connections running.
pub async fn serve(
    engine: &Rc<Engine>,
    listener: Listener,
    shutdown_requested: impl Future<Output = &'static str>,
) {
    let connections = Rc::new(Connections::new(engine.config().max_read_ahead_bytes));
    tokio::task::spawn_local(connections.clone().sweep());
    let mut acceptor = Acceptor::new(engine.clone(), connections.clone(), listener);
    let respond_after_signal = duration::from_ms(engine.config().shutdown_response_ms);
    let serve_after_signal = duration::from_ms(engine.config().shutdown_accept_ms);
    let mut shutdown: Option<Shutdown> = None;
    tokio::pin!(shutdown_requested);
    loop {
        let has_capacity = acceptor.has_capacity();
        if !has_capacity {
            acceptor.evict_for_next_accept();
        }
        if let Some(shutdown) = &mut shutdown {
            if shutdown.advance(&connections, &mut acceptor).await {
                return;
            }
        }
        let needs_tick = shutdown.is_some() || !has_capacity;
        // Every branch may be cancelled: the next iteration sees an event that a cancelled branch missed.
        tokio::select! {
            accepted = acceptor.accept(), if has_capacity => acceptor.handle_accepted(accepted).await,
            signal = &mut shutdown_requested, if shutdown.is_none() => {
                tracing::info!(%signal, "shutdown started");
                shutdown = Some(Shutdown::begin(serve_after_signal, respond_after_signal));
                engine.start_shutdown();
            }
            () = connections.closed() => {}
            () = tokio::time::sleep(TICK_INTERVAL), if needs_tick => {}
        }
    }
}
