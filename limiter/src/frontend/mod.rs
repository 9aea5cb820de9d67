//! The HTTP server towards clients.

mod connection;
mod connection_state;
mod connections;
mod read_ahead;
mod request_body;
mod request_handler;
mod request_head;
mod response;

use std::future::{poll_fn, Future};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::engine::Engine;
use connections::Connections;

/// How often it is seen whether there is room again, or an end to wait for.
const TICK: Duration = Duration::from_millis(50);
/// A request that races with the end of its keep-alive connection comes once more on a new one: these are accepted for
/// so much longer.
const RESENT: Duration = Duration::from_millis(200);
/// Left to those accepted last to be read.
const LAST_ACCEPTED: Duration = Duration::from_millis(50);
/// After SIGTERM: nothing is waited for any longer than this.
const DRAIN_MOST: Duration = Duration::from_secs(20);

/// Lets everything that has come be read. After a stall (no CPU for a while) the timers go first: a wait for I/O that a
/// stop broke off tells of no events, and tokio tries no read or accept before an event has told of it. Each yield of
/// this runs the I/O engine once and no more than 61 of the tasks that were woken, hence the number.
async fn read_all_that_came(clients: &Connections) {
    let turns = 4 + clients.len() / 16;
    for _ in 0..turns {
        tokio::task::yield_now().await;
    }
}

/// Accepts and serves until `stop`, then finishes what was taken and returns. The end has three steps: the graceful
/// shutdown of the connections, the close of the listener, the return. Each counts from the moment at which the one
/// before it was really taken, not from the signal: in a process that stalled across them all would else go at once,
/// and what came meanwhile would be lost.
pub async fn serve(engine: &Rc<Engine>, listener: TcpListener, stop: impl Future<Output = &'static str>) {
    let clients = Rc::new(Connections::default());
    tokio::task::spawn_local(clients.clone().sweep());
    // After SIGTERM clients go on using the connections they have: these are served for as long as there is time.
    let serving = Duration::from_secs_f64(engine.config().shutdown_accept_ms / 1000.0);
    let mut listener = Some(listener);
    let mut failing = false;
    tokio::pin!(stop);
    let mut stopped: Option<Instant> = None;
    let mut shut_down: Option<Instant> = None;
    let mut refusing: Option<Instant> = None;
    let over = |since: Option<Instant>, time| since.is_some_and(|at| at.elapsed() >= time);
    loop {
        let room = clients.len() < engine.config().max_client_connections;
        if !room {
            clients.evict_one();
        }
        let tick = stopped.is_some() || !room;
        if shut_down.is_none() && over(stopped, serving) {
            read_all_that_came(&clients).await;
            clients.shut_down();
            shut_down = Some(Instant::now());
        }
        if let Some(listener) = listener.take_if(|_| over(shut_down, RESENT)) {
            // What waits in the accept queue has been taken, perhaps with a request.
            for _ in 0..engine.config().max_client_connections {
                let Some(stream) = next_in_accept_queue(&listener).await else { break };
                connection::spawn(engine, &clients, stream);
            }
            drop(listener);
            refusing = Some(Instant::now());
        }
        if over(refusing, LAST_ACCEPTED) && !clients.has_unanswered() {
            read_all_that_came(&clients).await;
            if !clients.has_unanswered() {
                return;
            }
        }
        if over(stopped, DRAIN_MOST) {
            return;
        }
        let accept = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            accepted = accept, if room => match accepted {
                Ok((stream, _)) => {
                    failing = false;
                    connection::spawn(engine, &clients, stream);
                }
                // Out of descriptors, or the client has gone already: an idle connection makes way, and what
                // waits to be accepted is taken a little later.
                Err(e) => {
                    if !std::mem::replace(&mut failing, true) {
                        engine.log(&format!("accept failed: {e}"));
                    }
                    clients.evict_one();
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            },
            why = &mut stop, if stopped.is_none() => {
                engine.log(&format!("{why}: shutting down"));
                stopped = Some(Instant::now());
                engine.start_shutdown();
            }
            () = clients.closed() => {}
            () = tokio::time::sleep(TICK), if tick => {}
        }
    }
}

/// A connection of the accept queue, if there is one. Nothing is tried while tokio does not know that there is, or has
/// let this task work for long enough (128 accepts in a row): then it looks once more, after a turn of the I/O engine.
async fn next_in_accept_queue(listener: &TcpListener) -> Option<TcpStream> {
    let mut looks = 0;
    loop {
        match poll_fn(|cx| Poll::Ready(listener.poll_accept(cx))).await {
            Poll::Ready(Ok((stream, _))) => return Some(stream),
            _ if looks == 2 => return None,
            _ => looks += 1,
        }
        tokio::task::yield_now().await;
    }
}
