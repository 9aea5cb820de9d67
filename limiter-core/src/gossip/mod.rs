//! Gossip between limiters: what a message looks like, and which are sent when.

pub(crate) mod codec;
mod delivery;
pub(crate) mod queue;
