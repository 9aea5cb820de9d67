//! Passes events to the limiter.

use std::rc::Rc;

use limiter_core::Event;

use super::timer_queue::TimerKind;
use super::{Engine, State};

impl Engine {
    /// Handles an event, and applies the actions that follow from it.
    pub fn handle_event(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        self.dispatch_event(&mut state, event);
    }

    /// Handles an event, and the events that its actions cause.
    pub(super) fn dispatch_event(self: &Rc<Self>, state: &mut State, event: Event) {
        state.events.push_back(event);
        self.handle_queued_events(state);
    }

    /// Handles queued events until none is left, and drops stale timers.
    pub(super) fn handle_queued_events(self: &Rc<Self>, state: &mut State) {
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            state.limiter.handle(self.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(state, action);
            }
            // The buffer is reused for the next event.
            state.actions = actions;
        }
        if state.drop_stale_timers() {
            self.timers_changed.notify_one();
        }
    }
}

impl State {
    /// Drops stale timers, as `TimerQueue::drop_stale` describes. Returns whether any was dropped.
    fn drop_stale_timers(&mut self) -> bool {
        let State { limiter, timers, pending, .. } = self;
        timers.drop_stale(|kind| match kind {
            TimerKind::Core(token) => limiter.is_timer_needed(token),
            TimerKind::AttemptTimeout(id) => pending.is_in_flight(id),
            TimerKind::Deadline(id) => pending.contains(id),
        })
    }
}
