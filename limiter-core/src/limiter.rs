//! The limiter: owns the parts that decide. `dispatch` routes events to them.

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

/// The decisions of one limiter. Deterministic: the same seed, events and times give the same actions.
#[derive(Debug)]
pub struct Limiter {
    pub(crate) context: Context,
    pub(crate) requests: RequestTable,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) admission: Admission,
    pub(crate) member_quotas: MemberQuotas,
    pub(crate) owned_quotas: OwnedQuotas,
    pub(crate) gossip: GossipQueue,
    pub(crate) endpoints: Endpoints,
    pub(crate) tombstones: Tombstones,
    /// When the last response has to be given; infinite before the shutdown.
    pub(crate) shutdown_deadline: Millis,
    /// A peer has been heard that serves requests.
    pub(crate) has_serving_peer: bool,
    /// When this limiter last went on after a stall.
    pub(crate) resumed_at: Millis,
    /// When the last control step was made.
    pub(crate) last_step_at: Millis,
    /// The first event has been handled.
    pub(crate) is_started: bool,
}

/// How much a limiter remembers; each is bounded, whatever comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheSizes {
    /// Quotas of which it is a member.
    pub member_quotas: usize,
    /// Quotas that it owns.
    pub owner_quotas: usize,
    /// Decisions that it made as an owner.
    pub grants: usize,
    /// Pending requests.
    pub requests: usize,
    /// Gossip messages that wait to be sent.
    pub gossip_messages: usize,
}

impl Limiter {
    /// A limiter that starts now and draws its random numbers from `seed`.
    ///
    /// # Errors
    /// The first of the settings that cannot be served.
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

    /// Tells the limiter at its start what the wall clock reads, in Unix milliseconds. It may be off by as much as a clock
    /// is ever stepped; without it nothing is known of how long ago servers started.
    #[must_use]
    pub fn with_wall_clock(mut self, unix_ms: Millis) -> Self {
        self.endpoints.set_wall_clock(self.context.now, unix_ms);
        self
    }

    /// Whether a timer still has a purpose. One for a request that has finished, a quota request that was
    /// answered or an attempt that has ended does nothing when it fires, so that the caller may drop it.
    pub fn is_live(&self, token: TimerToken) -> bool {
        match token {
            TimerToken::Deadline(id) | TimerToken::LatencyObjective(id) => self.requests.get(id).is_some(),
            TimerToken::SilenceCheck(id) => self.requests.get(id).is_some_and(|pending| pending.is_in_flight),
            TimerToken::GrantReply(id) => {
                self.requests.get(id).is_some_and(|pending| pending.awaited_reply.is_some())
            }
            TimerToken::ControlStep | TimerToken::GossipFlush => true,
        }
    }

    /// Records of servers that routing and the control step have looked at so far: what servers cost that this
    /// limiter does not use.
    pub fn num_endpoints_examined(&self) -> u64 {
        self.endpoints.num_examined()
    }

    /// How much is remembered at this moment.
    pub fn cache_sizes(&self) -> CacheSizes {
        let owned = self.owned_quotas.sizes();
        CacheSizes {
            member_quotas: self.member_quotas.len(),
            owner_quotas: owned.quotas,
            grants: owned.decisions,
            requests: self.requests.pending.len(),
            gossip_messages: self.gossip.len(),
        }
    }
}
