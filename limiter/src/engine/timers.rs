//! Sets timers, those of the core and those of the engine itself, and fires them when they are due.

use std::rc::Rc;

use limiter_core::{Event, Millis, Outcome, RequestId};

use super::timer_queue::{NextTimer, TimerKind};
use super::{Engine, State};
use crate::messages::request::FinalResponse;
use crate::observability::labels::ResponseOutcome;
use crate::observability::metrics::Metrics;
use crate::runtime::duration;
use crate::runtime::event_loop::read_pending_input;

impl Engine {
    pub(super) fn set_timer(&self, state: &mut State, at: Millis, kind: TimerKind) {
        if state.timers.insert(at, kind) {
            self.timers_changed.notify_one();
        }
    }

    /// Fires timers when they are due. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            self.catch_up_after_stall().await;
            let next = self.fire_due_timers();
            let changed = self.timers_changed.notified();
            match next {
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(self.clock.instant(at).into()) => {}
                    () = changed => {}
                },
                None => changed.await,
            }
        }
    }

    /// Records an iteration of the event loop. After a stall, waits until the input that arrived during the
    /// stall is read, so that no timer fires before that input is handled.
    async fn catch_up_after_stall(&self) {
        let Some(stall) = self.arrival_clock.record_iteration() else { return };
        self.metrics.process_stalls.inc();
        tracing::debug!(stall_ms = duration::to_ms(stall), "process stalled");
        let num_pending = self.state.borrow().pending.len();
        read_pending_input(num_pending).await;
    }

    /// Fires the timers that are due, and returns the time at which the next timer is due.
    fn fire_due_timers(self: &Rc<Self>) -> Option<Millis> {
        let mut state = self.state.borrow_mut();
        loop {
            match state.timers.next(self.now()) {
                NextTimer::Due(kind) => self.fire_timer(&mut state, kind),
                NextTimer::At(at) => return Some(at),
                NextTimer::None => return None,
            }
        }
    }

    fn fire_timer(self: &Rc<Self>, state: &mut State, kind: TimerKind) {
        match kind {
            TimerKind::Core(token) => state.events.push_back(Event::TimerFired { token }),
            TimerKind::AttemptTimeout(id) => state.pending.cancel_attempt(id, Outcome::TimedOut),
            TimerKind::Deadline(id) => self.fail_at_deadline(state, id),
        }
        self.handle_queued_events(state);
    }

    /// Fails a request that is still pending at its deadline. This is a safeguard: the core ends requests
    /// before their deadlines. [`Event::ClientDisconnected`] removes the request from the core, so that the
    /// core neither starts another attempt nor responds again.
    fn fail_at_deadline(&self, state: &mut State, id: RequestId) {
        if state.pending.respond(id, FinalResponse::Failed) {
            tracing::warn!(request = id, "request failed at deadline");
            Metrics::count(&self.metrics.responses, ResponseOutcome::FailedAtDeadline);
            state.events.push_back(Event::ClientDisconnected { id });
        }
    }
}
