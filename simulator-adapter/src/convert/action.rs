//! Translates actions of `limiter-core` to messages.

use std::sync::Arc;

use limiter_core::{Action, Ejection, EjectionReason, Millis};

use crate::hex;
use crate::wire::action::OutboundMessage;

/// Disables the simulator's timeout of attempts, because the limiter bounds attempts with its own timers.
const NO_ATTEMPT_TIMEOUT_MS: Millis = 0.0;

/// Returns the message that requests an action of an instance from the simulator.
pub(crate) fn outbound_message(limiter_id: Arc<str>, action: Action) -> OutboundMessage {
    match action {
        Action::Forward { id, server, .. } => OutboundMessage::Forward {
            limiter_id,
            request_id: id,
            attempt_timeout_ms: NO_ATTEMPT_TIMEOUT_MS,
            server,
        },
        Action::CancelAttempt { id, attempt } => {
            OutboundMessage::CancelAttempt { limiter_id, request_id: id, attempt }
        }
        Action::Reject { id, retry_after_ms } => {
            OutboundMessage::Reject { limiter_id, request_id: id, retry_after_ms }
        }
        Action::Fail { id } => OutboundMessage::Fail { limiter_id, request_id: id },
        Action::SetTimer { after_ms, token } => {
            OutboundMessage::SetTimer { limiter_id, after_ms, token: token.encode() }
        }
        Action::SendGossip { to, body } => {
            OutboundMessage::SendGossip { limiter_id, to, body: hex::encode(&body) }
        }
        Action::SubscribeToEndpoints => OutboundMessage::WatchEndpoints { limiter_id, enabled: true },
        Action::LogEjection(ejection) => {
            OutboundMessage::Log { limiter_id, text: format_ejection(&ejection) }
        }
    }
}

/// Returns the log text of an ejection. The simulator records and compares this text; therefore the wording
/// stays, although `limiter-core` uses other terms.
fn format_ejection(ejection: &Ejection) -> String {
    let reason = match ejection.reason {
        EjectionReason::Errors => "failing",
        EjectionReason::NoResponse => "silent",
    };
    format!("server {} {reason}, set aside for {} ms", ejection.server, ejection.duration_ms)
}
