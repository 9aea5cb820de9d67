//! The steps of a random run, and how they are drawn.

use limiter_core::*;
use proptest::prelude::*;

use crate::common::LIMITERS;

/// Number of servers of a random run.
pub const SERVERS: u32 = 5;

/// How an announcement changes a server.
#[derive(Debug, Clone, Copy)]
pub enum EndpointChange {
    /// The server is serving and has not restarted.
    Serving,
    /// The server is draining.
    Draining,
    /// The server is removed.
    Removed,
    /// The server is serving after a restart.
    Restarted,
}

impl EndpointChange {
    /// Returns the state that the announcement gives the server.
    pub fn state(self) -> EndpointState {
        match self {
            EndpointChange::Serving | EndpointChange::Restarted => EndpointState::Serving,
            EndpointChange::Draining => EndpointState::Draining,
            EndpointChange::Removed => EndpointState::Removed,
        }
    }
}

const CHANGES: [EndpointChange; 4] =
    [EndpointChange::Serving, EndpointChange::Draining, EndpointChange::Removed, EndpointChange::Restarted];

const OUTCOMES: [Outcome; 7] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionLost,
    Outcome::Cancelled,
];

/// One step of a random run. Where a step refers to one of several requests or attempts, the index of the
/// selected one is `pick` modulo their number.
#[derive(Debug, Clone)]
pub enum Step {
    Submit {
        limiter: usize,
        class: usize,
        plan: usize,
        customer: CustomerId,
        units: u8,
        timeout_ms: u16,
    },
    EndAttempt {
        limiter: usize,
        pick: u16,
        outcome: Outcome,
    },
    Advance {
        ms: u16,
    },
    ChangeEndpoint {
        limiter: usize,
        n: u32,
        change: EndpointChange,
    },
    Restart {
        limiter: usize,
    },
    Disconnect {
        limiter: usize,
        pick: u16,
    },
    /// The limiter receives arbitrary bytes as a gossip message.
    ReceiveArbitraryBytes {
        limiter: usize,
        from: u32,
        body: Vec<u8>,
    },
}

/// Returns the strategy that draws a step. Each plan has its own customers, so that a customer always has the
/// same plan.
pub fn any_step() -> impl Strategy<Value = Step> {
    let limiter = 0usize..LIMITERS as usize;
    prop_oneof![
        8 => (limiter.clone(), 0usize..3, 0usize..4, 0u64..3, 1u8..4, 5u16..3000).prop_map(
            |(limiter, class, plan, customer, units, timeout_ms)| {
                let customer = customer * 4 + plan as u64;
                Step::Submit { limiter, class, plan, customer, units, timeout_ms }
            }
        ),
        6 => (limiter.clone(), any::<u16>(), 0u8..7).prop_map(|(limiter, pick, outcome)| {
            Step::EndAttempt { limiter, pick, outcome: OUTCOMES[usize::from(outcome)] }
        }),
        4 => (0u16..600).prop_map(|ms| Step::Advance { ms }),
        1 => (limiter.clone(), 0u32..SERVERS, 0u8..4).prop_map(|(limiter, n, change)| {
            Step::ChangeEndpoint { limiter, n, change: CHANGES[usize::from(change)] }
        }),
        1 => limiter.clone().prop_map(|limiter| Step::Restart { limiter }),
        1 => (limiter.clone(), any::<u16>()).prop_map(|(limiter, pick)| Step::Disconnect { limiter, pick }),
        1 => (limiter, 0u32..4, prop::collection::vec(any::<u8>(), 0..40))
            .prop_map(|(limiter, from, body)| Step::ReceiveArbitraryBytes { limiter, from, body }),
    ]
}
