//! Messages from the instances to the simulator. Times are in milliseconds. Keys are written in the order of
//! the fields.

use std::sync::Arc;

use limiter_core::{Millis, RequestId};
use serde::Serialize;

/// One line of output.
#[derive(Serialize)]
pub(crate) struct OutboundBatch {
    /// Number of the batch that this batch answers.
    #[serde(rename = "turn")]
    pub sequence: u64,
    /// The messages of all instances, in the order of the messages that caused them.
    #[serde(rename = "steps")]
    pub messages: Vec<OutboundMessage>,
}

/// An action that an instance requests.
#[derive(Serialize)]
#[serde(tag = "m", rename_all_fields = "PascalCase")]
pub(crate) enum OutboundMessage {
    /// Forward a request to a server, as its next attempt.
    #[serde(rename = "PASS_ON")]
    Forward {
        limiter_id: Arc<str>,
        #[serde(rename = "Ticket")]
        request_id: RequestId,
        /// Time after which the simulator ends the attempt; 0 for no timeout.
        #[serde(rename = "CapMs")]
        attempt_timeout_ms: Millis,
        server: Arc<str>,
    },
    /// Cancel an attempt.
    #[serde(rename = "UNDO_SEND")]
    CancelAttempt {
        limiter_id: Arc<str>,
        #[serde(rename = "Ticket")]
        request_id: RequestId,
        #[serde(rename = "Trial")]
        attempt: u32,
    },
    /// Send the final response: the request was not served, and the client may safely retry.
    #[serde(rename = "DECLINE")]
    Reject {
        limiter_id: Arc<str>,
        #[serde(rename = "Ticket")]
        request_id: RequestId,
        /// Time after which the client should retry; 0 for no advice.
        #[serde(rename = "BackoffMs")]
        retry_after_ms: Millis,
    },
    /// Send the final response: an error. The request may have been executed.
    #[serde(rename = "LOSE")]
    Fail {
        limiter_id: Arc<str>,
        #[serde(rename = "Ticket")]
        request_id: RequestId,
    },
    /// Start a timer.
    #[serde(rename = "SLEEP")]
    SetTimer {
        limiter_id: Arc<str>,
        after_ms: Millis,
        /// The encoded token, which the simulator returns when the timer fires.
        #[serde(rename = "KeyBack")]
        token: u64,
    },
    /// Send a gossip message to another instance.
    #[serde(rename = "TELL")]
    SendGossip {
        limiter_id: Arc<str>,
        /// Position of the receiver.
        #[serde(rename = "Dest")]
        to: u32,
        /// The encoded message in hex digits.
        body: String,
    },
    /// Start or end the watch on the endpoint list.
    #[serde(rename = "FOLLOW")]
    WatchEndpoints {
        limiter_id: Arc<str>,
        #[serde(rename = "On")]
        enabled: bool,
    },
    /// Log a line for the operators.
    #[serde(rename = "REMARK")]
    Log {
        limiter_id: Arc<str>,
        #[serde(rename = "Line")]
        text: String,
    },
}
