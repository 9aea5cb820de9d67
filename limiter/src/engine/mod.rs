//! The engine owns the one [`Limiter`] with its clock, timers and pending requests, and is the only caller of
//! [`Limiter::handle`].
//!
//! The front end submits requests to the engine, and the discovery client submits updates of the endpoint
//! list. The engine starts attempts and sends gossip through the traits [`Upstream`] and [`GossipTransport`],
//! and depends on no implementation of them.
//!
//! | file | job |
//! | --- | --- |
//! | `submission` | submission of client requests, and disconnects of their clients |
//! | `dispatch` | passes events to the limiter, until no more are queued |
//! | `actions` | applies the actions that the limiter returns |
//! | `attempts` | starts attempts at servers and records their ends |
//! | `endpoint_updates`, `endpoint_table` | install endpoint lists; the installed list with its addresses |
//! | `replaced_servers` | ends servers whose address a later process has taken |
//! | `readiness` | whether clients may send requests |
//! | `timers`, `timer_queue` | fire timers; the queue of timers |
//! | `pending`, `pending_response` | pending requests; the receiver of the final response to one of them |
//! | `abandoned_ids` | correlation ids that must not be executed again |
//! | `ports` | the traits that the layers around the engine implement |
//! | `clock` | the clock of the core |

mod abandoned_ids;
mod actions;
mod attempts;
mod clock;
mod dispatch;
mod endpoint_table;
mod endpoint_updates;
mod pending;
mod pending_response;
mod ports;
mod readiness;
mod replaced_servers;
mod submission;
mod timer_queue;
mod timers;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use limiter_core::{Action, Event, Limiter, Millis, ServerId, SettingsError};
use tokio::sync::Notify;

use crate::config::Config;
use crate::endpoints::EndpointUpdate;
use crate::observability::labels::Invariant;
use crate::observability::metrics::Metrics;
use crate::runtime::arrival::ArrivalClock;
use abandoned_ids::AbandonedIds;
use clock::Clock;
use endpoint_table::EndpointTable;
pub use endpoint_table::ServerProcess;
use pending::PendingRequests;
pub use pending_response::PendingResponse;
pub use ports::{ClientConnection, ClientPresence, GossipTransport, Upstream};
pub use submission::DuplicateRequest;
use timer_queue::TimerQueue;

/// The limiter with its clock and state, and the layers that it calls. All tasks run on one thread, so that
/// no lock is needed.
pub struct Engine {
    config: Config,
    clock: Clock,
    metrics: Metrics,
    upstream: Box<dyn Upstream>,
    gossip: Box<dyn GossipTransport>,
    /// Whether discovery has announced an endpoint list to this process.
    discovery_has_announced: Cell<bool>,
    /// The configured endpoint list while it is withheld: until the first announcement of discovery, or until
    /// the time to wait for it has passed.
    withheld_list: Cell<Option<EndpointUpdate>>,
    is_shutting_down: Cell<bool>,
    state: RefCell<State>,
    /// Wakes the task that fires timers when the next timer has changed.
    timers_changed: Notify,
    arrival_clock: Rc<ArrivalClock>,
}

/// The state that events change. The state stays borrowed while an event and all its actions are handled. The
/// layers around the engine therefore must not call the engine while an action is applied.
struct State {
    limiter: Limiter,
    /// Events that wait to be handled, in the order in which they are handled.
    events: VecDeque<Event>,
    /// The buffer for the actions of one event; empty between events.
    actions: Vec<Action>,
    timers: TimerQueue,
    pending: PendingRequests,
    abandoned_ids: AbandonedIds,
    endpoints: EndpointTable,
}

impl State {
    /// Returns the state around a limiter that has handled no event.
    fn new(limiter: Limiter) -> State {
        State {
            limiter,
            events: VecDeque::new(),
            actions: Vec::new(),
            timers: TimerQueue::new(),
            pending: PendingRequests::default(),
            abandoned_ids: AbandonedIds::default(),
            endpoints: EndpointTable::default(),
        }
    }
}

impl Engine {
    /// Creates the engine, and installs or withholds the configured endpoint list.
    ///
    /// # Errors
    /// [`SettingsError`] names the first invalid setting.
    pub fn new(
        config: Config,
        upstream: Box<dyn Upstream>,
        gossip: Box<dyn GossipTransport>,
    ) -> Result<Rc<Engine>, SettingsError> {
        let clock = Clock::start();
        let limiter = Limiter::new(config.settings.clone(), config.seed, clock.now())?;
        let limiter = limiter.with_wall_clock(Clock::unix_ms());
        let engine = Rc::new(Engine {
            clock,
            metrics: Metrics::new(),
            upstream,
            gossip,
            discovery_has_announced: Cell::new(false),
            withheld_list: Cell::new(None),
            is_shutting_down: Cell::new(false),
            state: RefCell::new(State::new(limiter)),
            timers_changed: Notify::new(),
            arrival_clock: Rc::new(ArrivalClock::start()),
            config,
        });
        engine.install_configured_list();
        Ok(engine)
    }

    /// Returns the configuration with which the process started.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the clock that estimates when the bytes being read reached this host.
    pub fn arrival_clock(&self) -> &Rc<ArrivalClock> {
        &self.arrival_clock
    }

    /// Returns the counters of this process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the current time of the core's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the process of a server, if the server is serving.
    pub fn serving_process(&self, server: &ServerId) -> Option<ServerProcess> {
        self.state.borrow().endpoints.serving_process(server)
    }

    /// Logs all counters, one event for each.
    pub fn log_counters(&self) {
        self.metrics.log_all();
    }

    /// Begins the shutdown: the limiter is no longer ready, and every request receives its final response
    /// within `shutdown_response_ms` of the configuration.
    pub fn start_shutdown(self: &Rc<Self>) {
        self.is_shutting_down.set(true);
        let deadline = self.now() + self.config.shutdown_response_ms;
        self.handle_event(Event::ShutdownStarted { deadline });
    }

    /// Checks that no request is pending, and logs the counters and the end of the process.
    pub fn finish_shutdown(&self) {
        let num_pending = self.state.borrow().pending.len();
        if num_pending > 0 {
            let detail = format_args!("{num_pending} requests are pending at the end of the process");
            self.metrics.record_violation(Invariant::OneFinalResponse, &detail);
        }
        self.log_counters();
        tracing::info!("shutdown complete");
    }
}
