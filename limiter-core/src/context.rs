//! The state that all modules of a limiter use: the settings, the current time and the random numbers.

use crate::event::{Millis, Request};
use crate::settings::{Plan, RequestClass, Settings};

/// The settings, the current time and the random numbers of one limiter.
#[derive(Debug)]
pub(crate) struct Context {
    /// The settings that the limiter was started with.
    pub settings: Settings,
    /// The time of the event that is being handled.
    pub now: Millis,
    /// When this limiter started.
    pub started_at: Millis,
    /// Identifies this run of the limiter in gossip messages: the low 32 bits of `started_at`. The caller
    /// must never start a limiter at the same position twice with the same value.
    pub incarnation: u32,
    /// Generates all random numbers, so that the same seed and the same events lead to the same actions.
    ///
    /// Random numbers are drawn to shed requests (`quota/member/shedding.rs`), to admit requests without an
    /// owner (`quota/member/fallback.rs`), to choose between servers (`endpoints/routing.rs`), to begin a
    /// slow start (`endpoints/slow_start.rs`) and to choose a peer to poll (`endpoints/tombstone_gossip.rs`).
    /// The order of the draws must not depend on the iteration order of a hash table: collections that are
    /// iterated over are ordered.
    pub rng: fastrand::Rng,
}

impl Context {
    /// Creates the context of a limiter that starts now.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Self {
        let incarnation = now as u64 as u32;
        let rng = fastrand::Rng::with_seed(seed);
        Context { settings, now, started_at: now, incarnation, rng }
    }

    /// Returns the class of a request.
    pub fn class(&self, request: &Request) -> &RequestClass {
        &self.settings.classes[request.class]
    }

    /// Returns the plan of the customer of a request.
    pub fn plan(&self, request: &Request) -> &Plan {
        &self.settings.plans[request.plan]
    }
}
