//! One limiter with its clock and timers.

use limiter_core::*;

use super::{attempt_ended, endpoint, endpoints_changed, endpoints_replaced};

/// Duration in milliseconds that is reported for a cancelled attempt.
const CANCELLED_ATTEMPT_MS: Millis = 1000.0;
/// Time at which limiters start by default.
const START_MS: Millis = 100_000.0;

/// A timer that the limiter has started.
struct Timer {
    due_at: Millis,
    token: TimerToken,
}

/// A limiter with a clock that the test advances. Timers fire when they are due, and an attempt that the
/// limiter cancels ends immediately.
pub struct TestLimiter {
    pub limiter: Limiter,
    pub now: Millis,
    timers: Vec<Timer>,
}

impl TestLimiter {
    /// Starts a limiter to which the first `servers` servers are announced. The seed depends on the position.
    pub fn new(settings: Settings, servers: u32) -> Self {
        let seed = 1 + u64::from(settings.position);
        TestLimiter::started_at(START_MS, settings, seed, servers)
    }

    /// Starts a limiter to which no servers are announced.
    pub fn without_endpoints(now: Millis, settings: Settings) -> Self {
        let seed = 1 + u64::from(settings.position);
        TestLimiter::of(Limiter::new(settings, seed, now).expect("valid settings"), now)
    }

    /// Adds a clock and timers to a limiter that starts now.
    pub fn of(limiter: Limiter, now: Millis) -> Self {
        TestLimiter { limiter, now, timers: Vec::new() }
    }

    /// Starts a limiter at a given time with a given seed, to which the first `servers` servers are
    /// announced.
    pub fn started_at(now: Millis, settings: Settings, seed: u64, servers: u32) -> Self {
        let limiter = Limiter::new(settings, seed, now).expect("valid settings");
        let mut started = TestLimiter::of(limiter, now);
        started.replace_endpoints((0..servers).map(endpoint).collect());
        started
    }

    /// Passes an event to the limiter and returns the actions, except those that start timers or log
    /// ejections.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.limiter.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::SetTimer { after_ms, token } = action {
                self.timers.push(Timer { due_at: self.now + after_ms, token: *token });
            }
        }
        actions.retain(|action| !matches!(action, Action::SetTimer { .. } | Action::LogEjection(_)));
        for event in ends_of_cancelled_attempts(&actions) {
            actions.extend(self.handle(event));
        }
        actions
    }

    /// Returns the number of started timers that may still have an effect.
    pub fn num_needed_timers(&self) -> usize {
        self.timers.iter().filter(|timer| self.limiter.is_timer_needed(timer.token)).count()
    }

    /// Advances the clock, fires the timers that become due in the order of their times, and returns the
    /// actions.
    pub fn advance(&mut self, ms: Millis) -> Vec<Action> {
        let end = self.now + ms;
        let mut actions = Vec::new();
        while let Some(timer) = self.take_next_timer(end) {
            self.now = self.now.max(timer.due_at);
            // A caller may drop a timer that is not needed, so such a timer must have no effect.
            let is_needed = self.limiter.is_timer_needed(timer.token);
            let effects = self.handle(Event::TimerFired { token: timer.token });
            assert!(is_needed || effects.is_empty(), "a timer that was not needed led to {effects:?}");
            actions.extend(effects);
        }
        self.now = end;
        actions
    }

    /// Removes and returns the earliest timer that is due by a given time.
    fn take_next_timer(&mut self, until: Millis) -> Option<Timer> {
        let by_time = |a: &usize, b: &usize| self.timers[*a].due_at.total_cmp(&self.timers[*b].due_at);
        let next = (0..self.timers.len()).min_by(by_time)?;
        let is_due = self.timers[next].due_at <= until;
        is_due.then(|| self.timers.remove(next))
    }

    /// Announces a complete endpoint list.
    pub fn replace_endpoints(&mut self, endpoints: Vec<Endpoint>) -> Vec<Action> {
        self.handle(endpoints_replaced(endpoints))
    }

    /// Announces a change of some servers.
    pub fn change_endpoints(&mut self, endpoints: Vec<Endpoint>) -> Vec<Action> {
        self.handle(endpoints_changed(endpoints))
    }

    /// Submits a request.
    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        self.handle(Event::RequestArrived(request))
    }

    /// Delivers a gossip message.
    pub fn receive_gossip(&mut self, from: u32, body: Vec<u8>) -> Vec<Action> {
        self.handle(Event::GossipReceived { from, body })
    }

    /// Reports the end of an attempt.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        elapsed_ms: Millis,
    ) -> Vec<Action> {
        self.handle(attempt_ended(id, attempt, outcome, elapsed_ms))
    }

    /// Reports a good response to the first attempt of a request.
    pub fn respond(&mut self, id: RequestId, elapsed_ms: Millis) -> Vec<Action> {
        self.end_attempt(id, 0, Outcome::Ok, elapsed_ms)
    }
}

/// Returns the events by which the program reports the ends of the cancelled attempts.
fn ends_of_cancelled_attempts(actions: &[Action]) -> Vec<Event> {
    let end = |action: &Action| match action {
        Action::CancelAttempt { id, attempt } => {
            Some(attempt_ended(*id, *attempt, Outcome::Cancelled, CANCELLED_ATTEMPT_MS))
        }
        _ => None,
    };
    actions.iter().filter_map(end).collect()
}
