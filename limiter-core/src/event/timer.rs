//! The token by which a limiter identifies a timer that it has started.

use std::cmp::Ordering;

use super::RequestId;

/// Identifies the purpose of a timer that a limiter has started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimerToken {
    /// The periodic control step is due.
    ControlStep,
    /// The deadline of a request is near: its final response is due.
    Deadline(RequestId),
    /// The latency objective of a request has passed.
    LatencyObjective(RequestId),
    /// The silence check of a request's attempt is due, which tests whether the server of the attempt has
    /// responded to anything since the attempt was sent.
    SilenceCheck(RequestId),
    /// The reply check of a request's quota request is due, which tests whether the owner's reply is late.
    GrantReply(RequestId),
    /// The send allowance permits another gossip message.
    GossipFlush,
}

/// Number of low bits of an encoded token that hold its kind. The bits above hold the id of the request.
const KIND_BITS: u32 = 3;
/// Mask of the bits that hold the kind of an encoded token.
const KIND_MASK: u64 = (1 << KIND_BITS) - 1;

/// Kinds of tokens in their encoded form. Timers that are due at the same time fire in the order of their
/// encoded tokens, so these numbers must not change.
mod kind {
    pub(super) const CONTROL_STEP: u64 = 0;
    pub(super) const DEADLINE: u64 = 1;
    pub(super) const LATENCY_OBJECTIVE: u64 = 2;
    pub(super) const SILENCE_CHECK: u64 = 3;
    pub(super) const GRANT_REPLY: u64 = 4;
    pub(super) const GOSSIP_FLUSH: u64 = 5;
}

impl TimerToken {
    /// Encodes the token as a number, for callers that store or transmit the token.
    #[must_use]
    pub fn encode(self) -> u64 {
        match self {
            TimerToken::ControlStep => kind::CONTROL_STEP,
            TimerToken::Deadline(id) => encode_for_request(id, kind::DEADLINE),
            TimerToken::LatencyObjective(id) => encode_for_request(id, kind::LATENCY_OBJECTIVE),
            TimerToken::SilenceCheck(id) => encode_for_request(id, kind::SILENCE_CHECK),
            TimerToken::GrantReply(id) => encode_for_request(id, kind::GRANT_REPLY),
            TimerToken::GossipFlush => kind::GOSSIP_FLUSH,
        }
    }

    /// Decodes a number that [`TimerToken::encode`] returned. Returns `None` for any other number.
    #[must_use]
    pub fn decode(encoded: u64) -> Option<TimerToken> {
        let id = RequestId::try_from(encoded >> KIND_BITS).ok()?;
        match encoded & KIND_MASK {
            kind::CONTROL_STEP if id == 0 => Some(TimerToken::ControlStep),
            kind::DEADLINE => Some(TimerToken::Deadline(id)),
            kind::LATENCY_OBJECTIVE => Some(TimerToken::LatencyObjective(id)),
            kind::SILENCE_CHECK => Some(TimerToken::SilenceCheck(id)),
            kind::GRANT_REPLY => Some(TimerToken::GrantReply(id)),
            kind::GOSSIP_FLUSH if id == 0 => Some(TimerToken::GossipFlush),
            _ => None,
        }
    }
}

/// Encodes a token of a request.
fn encode_for_request(id: RequestId, kind: u64) -> u64 {
    u64::from(id) << KIND_BITS | kind
}

/// Orders tokens by their encoded form. Timers that are due at the same time fire in this order.
impl Ord for TimerToken {
    fn cmp(&self, other: &Self) -> Ordering {
        self.encode().cmp(&other.encode())
    }
}

impl PartialOrd for TimerToken {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
