//! Questions about the actions that a limiter has returned.

use limiter_core::*;

/// A gossip message as a limiter sends it.
#[derive(Debug, Clone, PartialEq)]
pub struct SentGossip {
    pub to: u32,
    pub body: Vec<u8>,
}

/// The servers that attempts were forwarded to, in order.
pub fn forwarded_to(actions: &[Action]) -> Vec<ServerId> {
    let target = |action: &Action| match action {
        Action::Forward { server, .. } => Some(server.clone()),
        _ => None,
    };
    actions.iter().filter_map(target).collect()
}

pub fn is_forwarded(actions: &[Action]) -> bool {
    !forwarded_to(actions).is_empty()
}

pub fn num_rejected(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Reject { .. })).count()
}

pub fn is_rejected(actions: &[Action]) -> bool {
    num_rejected(actions) > 0
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

/// The gossip messages among the actions, in order.
pub fn sent_gossip(actions: Vec<Action>) -> Vec<SentGossip> {
    let message = |action| match action {
        Action::SendGossip { to, body } => Some(SentGossip { to, body }),
        _ => None,
    };
    actions.into_iter().filter_map(message).collect()
}
