//! Queries on the actions that a limiter has returned.

use limiter_core::*;

/// A gossip message that a limiter has sent.
#[derive(Debug, Clone, PartialEq)]
pub struct SentGossip {
    /// Position of the receiver.
    pub to: u32,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// Returns the servers that requests were forwarded to, in order.
pub fn forwarded_to(actions: &[Action]) -> Vec<ServerId> {
    let target = |action: &Action| match action {
        Action::Forward { server, .. } => Some(server.clone()),
        _ => None,
    };
    actions.iter().filter_map(target).collect()
}

/// Returns whether any request was forwarded.
pub fn is_forwarded(actions: &[Action]) -> bool {
    !forwarded_to(actions).is_empty()
}

/// Returns the number of rejections.
pub fn num_rejected(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Reject { .. })).count()
}

/// Returns whether any request was rejected.
pub fn is_rejected(actions: &[Action]) -> bool {
    num_rejected(actions) > 0
}

/// Returns whether any request failed.
pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

/// Returns the gossip messages among the actions, in order.
pub fn sent_gossip(actions: Vec<Action>) -> Vec<SentGossip> {
    let message = |action| match action {
        Action::SendGossip { to, body } => Some(SentGossip { to, body }),
        _ => None,
    };
    actions.into_iter().filter_map(message).collect()
}
