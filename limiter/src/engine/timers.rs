//! The engine's timers: set by the decisions and by the engine itself, fired when they are due.

use std::rc::Rc;

use limiter_core::{Event, Millis, Outcome};

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

    /// Fires timers when they are due, forever.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            if let Some(stall) = self.arrival_clock.record_iteration() {
                self.metrics.process_stalls.inc();
                tracing::debug!(stall_ms = duration::to_ms(stall), "process stalled");
                // What has come meanwhile is taken in before timers decide as if it had not.
                let pending = self.state.borrow().pending.len();
                read_pending_input(pending).await;
            }
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

    /// Fires what is due; the moment of the next timer.
    fn fire_due_timers(self: &Rc<Self>) -> Option<Millis> {
        let mut state = self.state.borrow_mut();
        loop {
            match state.timers.next(self.now()) {
                NextTimer::Due(kind) => self.fire(&mut state, kind),
                NextTimer::At(at) => return Some(at),
                NextTimer::None => return None,
            }
        }
    }

    fn fire(self: &Rc<Self>, state: &mut State, kind: TimerKind) {
        match kind {
            TimerKind::Decision(token) => state.events.push_back(Event::TimerFired { token }),
            TimerKind::AttemptTimeout(id) => state.pending.cancel_attempt(id, Outcome::TimedOut),
            // A backstop: the core ends their requests before this. Nothing is sent after it.
            TimerKind::Deadline(id) => {
                if state.pending.respond(id, FinalResponse::Failed) {
                    tracing::warn!(request = id, "request failed at deadline");
                    Metrics::count(&self.metrics.responses, ResponseOutcome::FailedAtDeadline);
                    state.events.push_back(Event::ClientDisconnected { id });
                }
            }
        }
        self.handle_events(state);
    }
}
