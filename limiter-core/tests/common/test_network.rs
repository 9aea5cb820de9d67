//! Several limiters and the network that delivers gossip between them.

use std::ops::Range;

use limiter_core::*;

use super::{attempt_ended, settings_among, take_due, TestLimiter};

/// Step in milliseconds by which the clock of the network advances.
const STEP_MS: Millis = 4.0;
/// Largest gossip message in bytes that the protocol between the limiters allows.
const MAX_MESSAGE_BYTES: usize = 256;

/// A gossip message that has been sent but not delivered yet.
struct Datagram {
    arrives_at: Millis,
    from: u32,
    to: u32,
    body: Vec<u8>,
}

/// An action of one limiter of a network.
#[derive(Debug)]
pub struct LimiterAction {
    /// Position of the limiter.
    pub limiter: usize,
    pub action: Action,
}

/// Returns the number of forwarded attempts among the actions.
pub fn num_forwarded(actions: &[LimiterAction]) -> usize {
    actions.iter().filter(|entry| matches!(entry.action, Action::Forward { .. })).count()
}

/// Limiters on a network that delays each message at random, so that messages are reordered, and that may
/// lose messages.
pub struct TestNetwork {
    /// The limiters by position.
    pub limiters: Vec<TestLimiter>,
    pub now: Millis,
    in_transit: Vec<Datagram>,
    rng: fastrand::Rng,
    /// Probability that a message is lost.
    pub loss_probability: f64,
    /// Bounds of the random delay of a message.
    pub delay_ms: Range<Millis>,
    /// For each limiter: the time until which its process is stalled and handles neither timers nor messages.
    pub stalled_until: Vec<Millis>,
    /// Number of messages sent so far, including lost messages.
    pub messages_sent: u32,
}

impl TestNetwork {
    /// Starts limiters with the common settings in front of the first `servers` servers.
    pub fn new(limiters: u32, servers: u32, seed: u64) -> Self {
        let settings = (0..limiters).map(|position| settings_among(limiters, position)).collect();
        TestNetwork::with_settings(settings, servers, seed)
    }

    /// Starts one limiter for each of the settings, in front of the first `servers` servers.
    pub fn with_settings(settings: Vec<Settings>, servers: u32, seed: u64) -> Self {
        let limiters: Vec<TestLimiter> = settings.into_iter().map(|s| TestLimiter::new(s, servers)).collect();
        TestNetwork {
            now: limiters[0].now,
            in_transit: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            loss_probability: 0.0,
            delay_ms: 2.0..10.0,
            stalled_until: vec![0.0; limiters.len()],
            messages_sent: 0,
            limiters,
        }
    }

    /// Sends the gossip messages among a limiter's actions over the network and returns the other actions.
    fn transmit(&mut self, from: usize, actions: Vec<Action>) -> Vec<Action> {
        let mut others = Vec::new();
        for action in actions {
            let Action::SendGossip { to, body } = action else {
                others.push(action);
                continue;
            };
            self.messages_sent += 1;
            assert!(body.len() <= MAX_MESSAGE_BYTES, "a message of {} bytes", body.len());
            if self.rng.f64() >= self.loss_probability {
                let spread_ms = self.delay_ms.end - self.delay_ms.start;
                let delay_ms = self.delay_ms.start + self.rng.f64() * spread_ms;
                self.in_transit.push(Datagram {
                    arrives_at: self.now + delay_ms,
                    from: from as u32,
                    to,
                    body,
                });
            }
        }
        others
    }

    /// Passes an event to a limiter now, sends its gossip and returns its other actions.
    pub fn handle(&mut self, limiter: usize, event: Event) -> Vec<Action> {
        let test_limiter = &mut self.limiters[limiter];
        test_limiter.now = test_limiter.now.max(self.now);
        let actions = test_limiter.handle(event);
        self.transmit(limiter, actions)
    }

    /// Submits a request to a limiter.
    pub fn submit(&mut self, limiter: usize, request: Request) -> Vec<LimiterAction> {
        let actions = self.handle(limiter, Event::RequestArrived(request));
        actions.into_iter().map(|action| LimiterAction { limiter, action }).collect()
    }

    /// Reports a good response to the first attempt of a request.
    pub fn respond(&mut self, limiter: usize, id: RequestId, elapsed_ms: Millis) {
        self.handle(limiter, attempt_ended(id, 0, Outcome::Ok, elapsed_ms));
    }

    /// Reports a good response to every attempt that the actions forward, and returns the number of attempts.
    pub fn respond_to_forwarded(&mut self, actions: &[LimiterAction], elapsed_ms: Millis) -> usize {
        for LimiterAction { limiter, action } in actions {
            if let Action::Forward { id, .. } = action {
                self.respond(*limiter, *id, elapsed_ms);
            }
        }
        num_forwarded(actions)
    }

    /// Advances the clock. Timers fire and messages arrive at all limiters that are not stalled.
    pub fn advance(&mut self, ms: Millis) -> Vec<LimiterAction> {
        let mut all = Vec::new();
        let end = self.now + ms;
        while self.now < end {
            self.now = (self.now + STEP_MS).min(end);
            for limiter in 0..self.limiters.len() {
                if self.now < self.stalled_until[limiter] {
                    continue;
                }
                let actions = self.catch_up(limiter);
                all.extend(actions.into_iter().map(|action| LimiterAction { limiter, action }));
            }
        }
        all
    }

    /// Advances one limiter to the time of the network: fires its timers, and afterwards delivers the
    /// messages that have arrived.
    fn catch_up(&mut self, limiter: usize) -> Vec<Action> {
        let now = self.now;
        let elapsed_ms = (now - self.limiters[limiter].now).max(0.0);
        let mut actions = self.limiters[limiter].advance(elapsed_ms);
        let has_arrived = |datagram: &Datagram| datagram.to == limiter as u32 && datagram.arrives_at <= now;
        for Datagram { from, body, .. } in take_due(&mut self.in_transit, has_arrived) {
            actions.extend(self.limiters[limiter].receive_gossip(from, body));
        }
        self.transmit(limiter, actions)
    }

    /// Restarts a limiter: the new process knows only the endpoint list.
    pub fn restart(&mut self, limiter: usize, settings: Settings, servers: u32, seed: u64) {
        self.limiters[limiter] = TestLimiter::started_at(self.now, settings, seed, servers);
    }
}
