//! Gossip between limiters: what a message looks like, and which are sent when.

mod codec;
mod delivery;
mod queue;

pub(crate) use codec::{GossipLine, GrantReply, QuotaRequest, Settlement};
pub(crate) use queue::GossipQueue;
