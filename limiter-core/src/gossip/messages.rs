//! The types of gossip messages and their lines. `codec` converts messages to bytes and back.

use crate::endpoints::Fingerprint;
use crate::event::{CustomerId, RequestId};

/// A member's request to the owner of a quota for the units of one client request, or the member's report
/// that it has spent these units.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct QuotaRequest {
    /// Id of the client request at the member.
    pub id: RequestId,
    /// The customer whose quota is requested.
    pub customer: CustomerId,
    /// Index of the customer's plan in the settings.
    pub plan: u8,
    /// Position of the first member of the quota.
    pub first_member: u16,
    /// Number of members of the quota.
    pub member_count: u16,
    /// Units of the request.
    pub units: f32,
    /// Units that the member has shed since the last reply of any owner.
    pub unreported_units: f32,
    /// Whether the member has already spent the units from its even share. Such a quota request reports the
    /// spent units and does not ask for a grant.
    pub already_spent: bool,
}

/// An owner's reply to a quota request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct GrantReply {
    /// Id of the client request at the member.
    pub id: RequestId,
    /// The customer whose quota was requested.
    pub customer: CustomerId,
    /// Index of the customer's plan in the settings.
    pub plan: u8,
    /// Incarnation of the member that sent the quota request. A member that has restarted since ignores the
    /// reply.
    pub member_incarnation: u32,
    /// The customer's demand at all limiters as a multiple of the quota.
    pub demand_ratio: f32,
    /// Units left in the owner's token bucket.
    pub tokens_left: f32,
    /// Whether the member may spend the units.
    pub granted: bool,
}

/// A member's report of the actual cost of a finished request whose units were granted or reported as spent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Settlement {
    /// Id of the client request at the member.
    pub id: RequestId,
    /// Actual cost of the request in units: 0 if no attempt was started.
    pub used_units: f32,
}

/// One line of a message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum GossipLine {
    /// Sent by a member of a quota to one of the owners.
    QuotaRequest(QuotaRequest),
    /// Sent by an owner of a quota to a member.
    GrantReply(GrantReply),
    /// Sent by a member of a quota to the owner that granted the units or was notified of them.
    Settlement(Settlement),
    /// Sent to a random peer by a limiter that receives no answer from discovery. The peer replies with its
    /// tombstones.
    TombstonePoll,
    /// Sent in reply to a poll: identifies a server that is draining or was removed.
    Tombstone(Fingerprint),
}

/// A message between limiters.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct GossipMessage {
    /// Incarnation of the sender.
    pub incarnation: u32,
    /// Smoothed latency of the sender's responses as a fraction of the latency objective, or `None` if the
    /// sender has had no responses recently.
    pub latency: Option<f64>,
    /// The lines of the message.
    pub lines: Vec<GossipLine>,
}

impl GossipMessage {
    /// Returns whether the sender serves clients: the sender has received responses from servers recently, or
    /// the message contains a quota request for a client request.
    pub fn is_from_serving_limiter(&self) -> bool {
        let has_quota_request = self.lines.iter().any(|line| matches!(line, GossipLine::QuotaRequest(_)));
        self.latency.is_some() || has_quota_request
    }
}
