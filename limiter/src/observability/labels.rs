//! The values of counter labels and of the log fields `outcome`, `reason`, `state` and `invariant`. There is
//! one type for each counter with a label.

use std::fmt;

use hyper::StatusCode;
use limiter_core::{EjectionReason, EndpointState, Outcome};
use prometheus_client::encoding::{EncodeLabel, EncodeLabelSet, LabelSetEncoder};

/// Declares an enum whose variants are the values of a counter's only label. The key of the label is in
/// parentheses after the name of the enum. Each value has a name in snake case, which log fields use as well.
///
/// The names are explicit, so that renaming a variant does not change the text that operators search for.
macro_rules! label {
    (
        $(#[$enum_doc:meta])*
        pub enum $name:ident($key:literal) { $($(#[$variant_doc:meta])* $variant:ident => $text:literal,)+ }
    ) => {
        $(#[$enum_doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum $name { $($(#[$variant_doc])* $variant,)+ }

        impl $name {
            /// Every value, in the order of the declaration.
            #[cfg(test)]
            pub const ALL: &[$name] = &[$($name::$variant,)+];

            /// Returns the name in log fields and counter labels.
            pub fn as_str(self) -> &'static str {
                match self { $($name::$variant => $text,)+ }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl EncodeLabelSet for $name {
            fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> fmt::Result {
                ($key, self.as_str()).encode(encoder.encode_label())
            }
        }
    };
}

label! {
    /// How a submitted request ended.
    pub enum ResponseOutcome("outcome") {
        /// A server's good response was returned to the client.
        Served => "served",
        /// The client received a rejection, after which it may safely send the request again.
        Rejected => "rejected",
        /// The client received an error: the request may have been executed.
        Failed => "failed",
        /// The engine sent the client an error at the deadline, because the core had not ended the request
        /// before.
        FailedAtDeadline => "failed_at_deadline",
        /// The client disconnected before the final response.
        ClientDisconnected => "client_disconnected",
    }
}

label! {
    /// Why a request was rejected before it was submitted, by the status of the response.
    pub enum InvalidRequestReason("reason") {
        /// 400: the head or the body is malformed, or a header is missing or invalid.
        BadRequest => "bad_request",
        /// 404: the path is not `/class/customer`.
        NotFound => "not_found",
        /// 405: the class does not use this method.
        MethodNotAllowed => "method_not_allowed",
        /// 408: the request did not arrive completely in time.
        RequestTimeout => "request_timeout",
        /// 409: a request with the same correlation id is pending, or may have been executed.
        Conflict => "conflict",
        /// 411: a body has no declared length.
        LengthRequired => "length_required",
        /// 413: the body is longer than the limit.
        PayloadTooLarge => "payload_too_large",
        /// Any other status.
        Other => "other",
    }
}

impl InvalidRequestReason {
    /// Returns the reason that belongs to the status of the response.
    pub fn from_status(status: StatusCode) -> InvalidRequestReason {
        match status {
            StatusCode::BAD_REQUEST => InvalidRequestReason::BadRequest,
            StatusCode::NOT_FOUND => InvalidRequestReason::NotFound,
            StatusCode::METHOD_NOT_ALLOWED => InvalidRequestReason::MethodNotAllowed,
            StatusCode::REQUEST_TIMEOUT => InvalidRequestReason::RequestTimeout,
            StatusCode::CONFLICT => InvalidRequestReason::Conflict,
            StatusCode::LENGTH_REQUIRED => InvalidRequestReason::LengthRequired,
            StatusCode::PAYLOAD_TOO_LARGE => InvalidRequestReason::PayloadTooLarge,
            _ => InvalidRequestReason::Other,
        }
    }
}

label! {
    /// How an attempt at a server ended.
    pub enum AttemptOutcome("outcome") {
        /// The server returned a good response.
        Served => "served",
        /// The server returned an error: the request may have been executed.
        Error => "error",
        /// The server rejected the request without executing it.
        Rejected => "rejected",
        /// No response arrived in time: the request may have been executed.
        TimedOut => "timed_out",
        /// No connection could be established: the request was not executed.
        ConnectFailed => "connect_failed",
        /// The connection was lost after the request may have been written.
        ConnectionLost => "connection_lost",
        /// The attempt was cancelled: the request may have been executed.
        Cancelled => "cancelled",
        /// The request was not written to the server.
        NotSent => "not_sent",
    }
}

impl From<Outcome> for AttemptOutcome {
    fn from(outcome: Outcome) -> AttemptOutcome {
        match outcome {
            Outcome::Ok => AttemptOutcome::Served,
            Outcome::Error => AttemptOutcome::Error,
            Outcome::Rejected => AttemptOutcome::Rejected,
            Outcome::TimedOut => AttemptOutcome::TimedOut,
            Outcome::ConnectFailed => AttemptOutcome::ConnectFailed,
            Outcome::ConnectionLost => AttemptOutcome::ConnectionLost,
            Outcome::Cancelled => AttemptOutcome::Cancelled,
            Outcome::NotSent => AttemptOutcome::NotSent,
        }
    }
}

label! {
    /// How an attempt obtained its connection to a server, or why it did not obtain one.
    pub enum ServerConnectionOutcome("outcome") {
        /// An idle connection was taken from the pool.
        Reused => "reused",
        /// A new connection was established.
        Established => "established",
        /// The maximum number of server connections is open, and none of them is idle.
        NoPermit => "no_permit",
        /// This host has no descriptor, port or memory left, or no route to the server.
        NoLocalResources => "no_local_resources",
        /// The server's host refused the connection or cannot be reached.
        Unreachable => "unreachable",
        /// The server's host did not answer in time.
        TimedOut => "timed_out",
        /// The HTTP handshake failed.
        HandshakeFailed => "handshake_failed",
    }
}

label! {
    /// Why a client connection was closed.
    pub enum ClientCloseReason("reason") {
        /// Every request was answered, and one side ended the connection.
        Finished => "finished",
        /// The connection to the client failed, or the client sent something other than HTTP.
        ClientError => "client_error",
        /// The client disconnected while its request was open.
        ClientDisconnected => "client_disconnected",
        /// The limiter closed the connection, because it was overdue or was evicted in favour of another one.
        Aborted => "aborted",
    }
}

label! {
    /// What a client connection was doing when it was evicted in favour of another one.
    pub enum EvictedState("state") {
        /// The connection was between two requests.
        Idle => "idle",
        /// The client had sent nothing yet, or only a part of the head of a request.
        IncompleteHead => "incomplete_head",
        /// The client had sent the head of a request, and only a part of the body.
        IncompleteBody => "incomplete_body",
    }
}

label! {
    /// Why a request was rejected without being submitted, although it was valid as far as it was read.
    pub enum ShedReason("reason") {
        /// The request was incomplete, and its connection was evicted in favour of another one.
        Evicted => "evicted",
        /// Too many connections have an open request.
        ConnectionLimit => "connection_limit",
    }
}

label! {
    /// Why a watch on the endpoint list ended.
    pub enum WatchEndReason("reason") {
        /// Discovery did not respond to the request, or the watch fell silent.
        Silent => "silent",
        /// The request for the watch failed.
        RequestFailed => "request_failed",
        /// The connection failed during the watch.
        ConnectionFailed => "connection_failed",
        /// Discovery ended the watch.
        EndedByDiscovery => "ended_by_discovery",
        /// Discovery sent something that cannot be read as an endpoint list.
        Unreadable => "unreadable",
        /// A newer source of the endpoint list has replaced this one.
        Superseded => "superseded",
    }
}

label! {
    /// A condition that must hold at all times.
    pub enum Invariant("reason") {
        /// Each submitted request gets exactly one final response.
        OneFinalResponse => "one_final_response",
        /// A request has at most one attempt in flight.
        OneAttemptAtATime => "one_attempt_at_a_time",
        /// The limiter closes no client connection on which a request is open.
        NoCloseWithOpenRequest => "no_close_with_open_request",
    }
}

/// Returns the name of an endpoint's state in log fields.
pub fn state_name(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Serving => "serving",
        EndpointState::Draining => "draining",
        EndpointState::Removed => "removed",
    }
}

/// Returns the name of the reason for an ejection in log fields.
pub fn ejection_reason_name(reason: EjectionReason) -> &'static str {
    match reason {
        EjectionReason::Errors => "errors",
        EjectionReason::NoResponse => "no_response",
    }
}
