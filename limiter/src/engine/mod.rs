//! Owns the one [`Limiter`] with its clock, timers and pending requests, and is the only caller of its `handle`.
//!
//! The front end submits requests and the discovery client endpoint updates; the engine hands attempts and gossip out
//! through the traits [`Upstream`] and [`GossipTransport`], and names neither implementation.

mod attempts;
mod clock;
mod endpoint_table;
mod endpoint_updates;
mod pending;
mod pending_response;
mod ports;
mod timer_queue;
mod timers;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use limiter_core::{
    Action, Ejection, Event, Limiter, Millis, Outcome, Request, RequestId, ServerId, SettingsError,
};
use tokio::sync::Notify;

use crate::config::Config;
use crate::endpoints::EndpointUpdate;
use crate::messages::attempt::AttemptId;
use crate::messages::request::{FinalResponse, ForwardedRequest};
use crate::observability::labels::{ejection_reason_name, Invariant, ResponseOutcome};
use crate::observability::metrics::Metrics;
use crate::runtime::arrival::{Arrival, ArrivalClock};
use crate::runtime::duration;
use clock::Clock;
use endpoint_table::EndpointTable;
use pending::{Deadlines, PendingRequests};
pub use pending_response::{DuplicateRequest, PendingResponse};
pub use ports::{ClientConnection, GossipTransport, Upstream};
use timer_queue::{TimerKind, TimerQueue};

/// A new process is ready by then, whatever discovery or the list of the configuration says: a fleet that has been
/// restarted while discovery is down has to answer its clients, if only with advice on when to retry.
const MAX_STARTUP_MS: Millis = 5000.0;

/// The limiter with all that surrounds it; one thread, so that nothing is locked.
pub struct Engine {
    config: Config,
    clock: Clock,
    metrics: Metrics,
    upstream: Box<dyn Upstream>,
    gossip: Box<dyn GossipTransport>,
    /// Discovery has announced something to this process.
    discovery_heard: Cell<bool>,
    /// The endpoint list of the configuration, until discovery has announced what has changed or has had its chance.
    configured_list: Cell<Option<EndpointUpdate>>,
    shutting_down: Cell<bool>,
    state: RefCell<State>,
    timers_changed: Notify,
    arrival_clock: Rc<ArrivalClock>,
}

/// What changes with each event.
struct State {
    limiter: Limiter,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    timers: TimerQueue,
    pending: PendingRequests,
    endpoints: EndpointTable,
}

impl Engine {
    /// An engine that knows the endpoint list of its configuration.
    ///
    /// # Errors
    /// The first of the settings that cannot be served.
    pub fn new(
        config: Config,
        upstream: Box<dyn Upstream>,
        gossip: Box<dyn GossipTransport>,
    ) -> Result<Rc<Engine>, SettingsError> {
        let clock = Clock::start();
        let limiter = Limiter::new(config.settings.clone(), config.seed, clock.now())?;
        let limiter = limiter.with_wall_clock(Clock::unix_ms());
        let state = State {
            limiter,
            events: VecDeque::new(),
            actions: Vec::new(),
            timers: TimerQueue::new(),
            pending: PendingRequests::default(),
            endpoints: EndpointTable::default(),
        };
        let engine = Rc::new(Engine {
            clock,
            metrics: Metrics::new(),
            upstream,
            gossip,
            discovery_heard: Cell::new(false),
            configured_list: Cell::new(None),
            shutting_down: Cell::new(false),
            state: RefCell::new(state),
            timers_changed: Notify::new(),
            arrival_clock: Rc::new(ArrivalClock::start()),
            config,
        });
        engine.take_configured_list();
        Ok(engine)
    }

    /// The configuration of the start.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Knows when bytes arrived that are read now.
    pub fn arrival_clock(&self) -> &Rc<ArrivalClock> {
        &self.arrival_clock
    }

    /// Counters of what happens.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Writes all counters to the log, one a line.
    pub fn log_counters(&self) {
        self.metrics.log_all();
    }

    /// Reports the end of the process: nothing may be pending any more.
    pub fn finish_shutdown(&self) {
        let pending = self.state.borrow().pending.len();
        if pending > 0 {
            let detail = format_args!("{pending} requests are pending at the end of the process");
            self.metrics.record_violation(Invariant::OneFinalResponse, &detail);
        }
        self.log_counters();
        tracing::info!("shutdown complete");
    }

    /// The present moment of the core's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Whether a request could be served: a server takes requests, discovery has been heard or has had its chance, and
    /// the core is ready to admit. A limiter that was never announced a serving server is ready after a while all the
    /// same.
    pub fn is_ready(&self) -> bool {
        let age_ms = self.clock.age_ms();
        let state = self.state.borrow();
        let can_serve = state.endpoints.any_serving() && state.limiter.is_ready(self.now());
        let waited = !state.endpoints.ever_had_serving() && age_ms > MAX_STARTUP_MS;
        !self.shutting_down.get() && (waited || (self.has_endpoint_list() && can_serve))
    }

    /// Where a server listens, if it takes requests at this moment.
    pub fn serving_address(&self, server: &ServerId) -> Option<SocketAddr> {
        self.state.borrow().endpoints.serving_address(server)
    }

    /// Whether a client still waits for the response to a request. Its disconnect may lie unread, where the process was
    /// held up: it is looked for at the socket.
    pub fn is_client_waiting(self: &Rc<Self>, id: RequestId) -> bool {
        let Some(client) = self.state.borrow().pending.client(id) else { return false };
        let is_closed = client.is_closed_by_client();
        if is_closed {
            self.client_disconnected(id);
        }
        !is_closed
    }

    /// Takes one event in and does what the core answers.
    pub fn handle_event(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        self.dispatch_event(&mut state, event);
    }

    /// Submits a client's request that arrived completely at a moment, which may be a while ago.
    ///
    /// # Errors
    /// [`DuplicateRequest`] if one with the same correlation id is pending.
    pub fn submit(
        self: &Rc<Self>,
        content: ForwardedRequest,
        request: Request,
        arrival: Arrival,
        client: Rc<dyn ClientConnection>,
    ) -> Result<PendingResponse, DuplicateRequest> {
        let mut state = self.state.borrow_mut();
        let now = self.now();
        let waited_ms = duration::to_ms(arrival.read_at.elapsed());
        let deadline = now + request.timeout_ms - waited_ms;
        let server_deadline = deadline - duration::to_ms(arrival.possible_wait());
        let correlation_id = content.correlation_id.clone();
        let (id, response) = state
            .pending
            .insert(content, Deadlines { deadline, server_deadline }, client)
            .ok_or(DuplicateRequest)?;
        tracing::debug!(request = id, ?correlation_id, waited_ms, "request submitted");
        self.set_timer(&mut state, deadline, TimerKind::Deadline(id));
        self.dispatch_event(&mut state, Event::RequestArrived(Request { id, waited_ms, ..request }));
        self.metrics.requests.inc();
        Ok(PendingResponse::new(self.clone(), id, response))
    }

    /// The client of a request has disconnected; no effect once the request has its final response.
    fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        let mut state = self.state.borrow_mut();
        if state.pending.remove(id) {
            tracing::debug!(request = id, "client disconnected");
            Metrics::count(&self.metrics.responses, ResponseOutcome::ClientDisconnected);
            self.dispatch_event(&mut state, Event::ClientDisconnected { id });
        }
    }

    /// Begins the shutdown: no more clients are asked for, and every request is answered in time.
    pub fn start_shutdown(self: &Rc<Self>) {
        self.shutting_down.set(true);
        let deadline = self.now() + self.config.shutdown_response_ms;
        self.handle_event(Event::ShutdownStarted { deadline });
    }

    /// Handles an event and those that its actions lead to.
    fn dispatch_event(self: &Rc<Self>, state: &mut State, event: Event) {
        state.events.push_back(event);
        self.handle_events(state);
    }

    /// Handles the events that wait, then drops the timers that serve no purpose any more.
    fn handle_events(self: &Rc<Self>, state: &mut State) {
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            state.limiter.handle(self.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(state, action);
            }
            state.actions = actions;
        }
        let State { limiter, timers, pending, .. } = state;
        let is_live = |kind| match kind {
            TimerKind::Decision(token) => limiter.is_live(token),
            TimerKind::AttemptTimeout(id) => pending.is_in_flight(id),
            TimerKind::Deadline(id) => pending.contains(id),
        };
        if timers.drop_stale(is_live) {
            self.timers_changed.notify_one();
        }
    }

    fn apply_action(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Forward { id, server, begin_within_ms } => {
                self.start_attempt(state, id, server, begin_within_ms);
            }
            Action::CancelAttempt { id, attempt } => {
                state.pending.cancel_attempt(AttemptId { request: id, number: attempt }, Outcome::Cancelled);
            }
            Action::Reject { id, retry_after_ms } => {
                self.respond(state, id, FinalResponse::Rejected { retry_after_ms });
            }
            Action::Fail { id } => self.respond(state, id, FinalResponse::Failed),
            Action::SetTimer { after_ms, token } => {
                self.set_timer(state, self.now() + after_ms.max(0.0), TimerKind::Decision(token));
            }
            Action::SendGossip { to, body } => {
                self.metrics.gossip_messages_sent.inc();
                self.gossip.send(to, &body);
            }
            // The watch is always kept.
            Action::SubscribeToEndpoints => {}
            Action::LogEjection(ejection) => log_ejection(&ejection),
        }
    }

    /// Gives a request its one final response.
    fn respond(&self, state: &mut State, id: RequestId, response: FinalResponse) {
        let outcome = response.outcome();
        tracing::debug!(request = id, %outcome, "request finished");
        Metrics::count(&self.metrics.responses, outcome);
        if !state.pending.respond(id, response) {
            let detail = format_args!("request {id}: {outcome} once more");
            self.metrics.record_violation(Invariant::OneFinalResponse, &detail);
        }
    }
}

fn log_ejection(ejection: &Ejection) {
    let server = &ejection.server;
    let reason = ejection_reason_name(ejection.reason);
    let duration_ms = ejection.duration_ms;
    tracing::warn!(%server, %reason, duration_ms, "server ejected");
}
