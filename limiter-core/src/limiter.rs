//! The state of a limiter. The modules of this crate implement the decisions on this state, and `dispatch.rs`
//! passes each event to the module that handles it.

use crate::admission::Admission;
use crate::context::Context;
use crate::endpoints::Endpoints;
use crate::endpoints::Tombstones;
use crate::event::{Millis, TimerToken};
use crate::gossip::GossipQueue;
use crate::quota::MemberQuotas;
use crate::quota::OwnedQuotas;
use crate::request::{RequestTable, RetryBudget};
use crate::settings::{Settings, SettingsError};

/// The decisions of one limiter.
///
/// A limiter is deterministic: the same settings, seed, events and times lead to the same actions.
#[derive(Debug)]
pub struct Limiter {
    /// Settings, current time and random numbers.
    pub(crate) context: Context,
    /// Pending requests, attempts in flight and the queue.
    pub(crate) requests: RequestTable,
    /// Bounds the retries of all requests together.
    pub(crate) retry_budget: RetryBudget,
    /// Admission control by slots.
    pub(crate) admission: Admission,
    /// The quotas of which this limiter is a member.
    pub(crate) member_quotas: MemberQuotas,
    /// The quotas that this limiter owns.
    pub(crate) owned_quotas: OwnedQuotas,
    /// Gossip messages to send.
    pub(crate) gossip: GossipQueue,
    /// The announced servers.
    pub(crate) endpoints: Endpoints,
    /// The servers that are draining or were removed recently, as reported to peers.
    pub(crate) tombstones: Tombstones,
    /// Time by which the last response must be sent; infinite until the shutdown starts.
    pub(crate) shutdown_deadline: Millis,
    /// Whether a gossip message has shown that a peer serves requests.
    pub(crate) has_serving_peer: bool,
    /// When this limiter last resumed after a stall of its process: the time of the latest event that was
    /// handled between the stall and the end of the next control step. Negative infinity before any stall.
    pub(crate) resumed_at: Millis,
    /// When the last control step ran.
    pub(crate) last_step_at: Millis,
    /// Whether the first event has been handled.
    pub(crate) is_started: bool,
}

/// Number of records of each kind that a limiter holds. Requests end, so the rate of events bounds their
/// number. The number of quotas after a control step and the gossip queue have fixed bounds, and so has the
/// number of decisions beside those of the last half second and those that count as requests in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordCounts {
    /// Quotas of which the limiter is a member.
    pub member_quotas: usize,
    /// Quotas that the limiter owns.
    pub owned_quotas: usize,
    /// Recent decisions that the limiter has made as an owner: grants and denials.
    pub decisions: usize,
    /// Pending requests.
    pub requests: usize,
    /// Gossip messages that are queued for sending.
    pub gossip_messages: usize,
}

impl Limiter {
    /// Creates a limiter that starts at the time `now` and draws its random numbers from `seed`.
    ///
    /// # Errors
    /// Returns an error that names the first invalid setting.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Limiter {
            context: Context::new(settings, seed, now),
            requests: RequestTable::default(),
            retry_budget: RetryBudget::new(),
            admission: Admission::new(now),
            member_quotas: MemberQuotas::new(now),
            owned_quotas: OwnedQuotas::default(),
            gossip: GossipQueue::new(now),
            endpoints: Endpoints::default(),
            tombstones: Tombstones::new(),
            shutdown_deadline: f64::INFINITY,
            has_serving_peer: false,
            resumed_at: f64::NEG_INFINITY,
            last_step_at: now,
            is_started: false,
        })
    }

    /// Sets the wall clock at the start of the limiter, in Unix milliseconds. The limiter uses the wall clock
    /// to estimate how long ago servers started. Without a wall clock, the estimate is based on the announced
    /// start times alone. The estimate allows for clocks that were stepped, see `endpoints/start_times.rs`.
    #[must_use]
    pub fn with_wall_clock(mut self, unix_ms: Millis) -> Self {
        self.endpoints.set_wall_clock(self.context.now, unix_ms);
        self
    }

    /// Returns whether a timer may still have an effect when it fires. The caller may drop any other timer:
    /// that of a request that has finished, of a quota request that has been answered, or of an attempt that
    /// has ended.
    #[must_use]
    pub fn is_timer_needed(&self, token: TimerToken) -> bool {
        match token {
            TimerToken::Deadline(id) | TimerToken::LatencyObjective(id) => self.requests.get(id).is_some(),
            TimerToken::SilenceCheck(id) => self.requests.get(id).is_some_and(|pending| pending.is_in_flight),
            TimerToken::GrantReply(id) => {
                self.requests.get(id).is_some_and(|pending| pending.awaited_reply.is_some())
            }
            TimerToken::ControlStep | TimerToken::GossipFlush => true,
        }
    }

    /// Returns the number of server records that routing and the control step have examined so far. Tests use
    /// the number to check that servers to which the limiter sends no requests cost next to nothing.
    #[must_use]
    pub fn num_endpoints_examined(&self) -> u64 {
        self.endpoints.num_examined()
    }

    /// Returns the number of records of each kind that the limiter holds now.
    #[must_use]
    pub fn record_counts(&self) -> RecordCounts {
        let owned = self.owned_quotas.counts();
        RecordCounts {
            member_quotas: self.member_quotas.len(),
            owned_quotas: owned.quotas,
            decisions: owned.decisions,
            requests: self.requests.pending.len(),
            gossip_messages: self.gossip.len(),
        }
    }
}
