//! Messages from the instances to the simulator. Times are milliseconds. Keys are written in the order of the
//! fields.

use std::sync::Arc;

use limiter_core::{Millis, RequestId};
use serde::Serialize;

/// One line of output.
#[derive(Serialize)]
pub(crate) struct OutboundBatch {
    /// Number of the batch that this answers.
    #[serde(rename = "turn")]
    pub sequence: u64,
    /// The messages of all instances, in the order of the messages that caused them.
    #[serde(rename = "steps")]
    pub messages: Vec<OutboundMessage>,
}

/// What an instance does.
#[derive(Serialize)]
#[serde(tag = "m", rename_all_fields = "PascalCase")]
pub(crate) enum OutboundMessage {
    /// Forward a request to a server: its next attempt.
    #[serde(rename = "PASS_ON")]
    Forward {
        limiter_id: Arc<str>,
        #[serde(rename = "Ticket")]
        request_id: RequestId,
        /// End the attempt after this time; 0 for no such limit.
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
    /// Final response: not served, and a retry by the client is safe.
    #[serde(rename = "DECLINE")]
    Reject {
        limiter_id: Arc<str>,
        #[serde(rename = "Ticket")]
        request_id: RequestId,
        /// When the client should retry; 0 for no advice.
        #[serde(rename = "BackoffMs")]
        retry_after_ms: Millis,
    },
    /// Final response: an error. The request may have been executed.
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
