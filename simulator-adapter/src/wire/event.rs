//! Messages from the simulator to the instances. Times are in milliseconds and costs in quota units.
//!
//! Some fields are declared although no code reads them, so that a value of the wrong type is an error.
//! Undeclared fields are ignored.

use limiter_core::{Millis, RequestId};
use serde::Deserialize;

use super::settings::InstanceSettings;

/// One line of input.
#[derive(Deserialize)]
pub(crate) struct InboundBatch {
    /// The time at which all messages of the batch arrive.
    #[serde(rename = "MomentMs")]
    pub now_ms: Millis,
    /// Number of the batch, which the reply repeats.
    #[serde(rename = "turn")]
    pub sequence: u64,
    /// The messages, in the order in which they are handled.
    #[serde(rename = "in")]
    pub messages: Vec<InboundMessage>,
}

/// A message to one instance or, in the case of [`InboundMessage::EndpointPage`], to all instances.
#[derive(Deserialize)]
#[serde(tag = "m", rename_all_fields = "PascalCase")]
pub(crate) enum InboundMessage {
    /// Start an instance. A running instance of the same name is replaced.
    #[serde(rename = "NEW_INSTANCE")]
    StartInstance {
        limiter_id: String,
        /// Seeds the random numbers of the instance.
        seed: u64,
        #[serde(rename = "Setup")]
        settings: Box<InstanceSettings>,
    },
    /// Stop an instance.
    #[serde(rename = "DOWN")]
    StopInstance { limiter_id: String },
    /// Define a page of endpoints, to which later messages refer by its number.
    #[serde(rename = "CENSUS")]
    EndpointPage {
        page: u32,
        #[serde(rename = "Elements")]
        endpoints: Vec<EndpointEntry>,
    },
    /// Discovery announces the endpoints of a page, or has failed.
    #[serde(rename = "BACKENDS_CHANGED")]
    EndpointsChanged { limiter_id: String, scope: EndpointScope, page: Option<u32> },
    /// A client request has arrived.
    #[serde(rename = "WORK_ITEM")]
    RequestArrived(Box<RequestArrival>),
    /// The response of a request has begun to stream.
    #[serde(rename = "STREAMING")]
    ResponseStarted {
        limiter_id: String,
        #[serde(rename = "Ticket")]
        request_id: RequestId,
    },
    /// An attempt has ended.
    #[serde(rename = "ATTEMPT_END")]
    AttemptEnded(Box<AttemptEnd>),
    /// The client of a request has disconnected.
    #[serde(rename = "CLIENT_GONE")]
    ClientDisconnected {
        limiter_id: String,
        #[serde(rename = "Ticket")]
        request_id: RequestId,
    },
    /// A timer has fired.
    #[serde(rename = "TIMEOUT_FIRED")]
    TimerFired {
        limiter_id: String,
        /// The encoded token of the timer.
        #[serde(rename = "KeyBack")]
        token: u64,
    },
    /// A health check of a server has ended; instances send none.
    #[serde(rename = "STATUS_BACK")]
    #[expect(dead_code, reason = "parsed to find malformed values")]
    HealthCheckEnded {
        limiter_id: String,
        server: String,
        outcome: OutcomeCode,
        #[serde(rename = "Telemetry")]
        load_report: Option<LoadReport>,
    },
    /// A gossip message has arrived from another instance.
    #[serde(rename = "HEARD")]
    GossipReceived {
        limiter_id: String,
        /// Position of the sender.
        #[serde(rename = "Who")]
        from: u32,
        /// The encoded message in hex digits.
        body: String,
    },
    /// A read of the shared counter has ended; instances do not use the counter.
    #[serde(rename = "TOTAL")]
    #[expect(dead_code, reason = "parsed to find malformed values")]
    CounterRead {
        limiter_id: String,
        #[serde(rename = "EntryName")]
        counter: u64,
        outcome: OutcomeCode,
        sum: Option<f64>,
    },
}

/// A client request.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct RequestArrival {
    /// The instance that received the request.
    pub limiter_id: String,
    /// Identifies the request at this instance.
    #[serde(rename = "Ticket")]
    pub request_id: RequestId,
    /// Name of the request class.
    #[serde(rename = "Service")]
    pub class: String,
    /// Name of the plan.
    pub plan: String,
    /// The customer whose quota the request counts against, in hex digits.
    #[serde(rename = "ClientId")]
    pub customer: String,
    /// Time until the client times out.
    #[serde(rename = "BudgetMs")]
    pub timeout_ms: Millis,
    /// The cost in quota units, declared or estimated.
    #[serde(rename = "PriceUnits")]
    pub cost_units: f64,
    /// Number of limiters that receive this customer's requests: the members of its quota.
    #[serde(rename = "EntryPoints")]
    pub member_count: u32,
    /// Position of the first member; the others follow in a ring.
    #[serde(rename = "SetFrom")]
    pub first_member: u32,
}

/// The end of an attempt.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct AttemptEnd {
    /// The instance that made the attempt.
    pub limiter_id: String,
    /// The request.
    #[serde(rename = "Ticket")]
    pub request_id: RequestId,
    /// Number of the attempt of this request, starting at 0.
    #[serde(rename = "Trial")]
    pub attempt: u32,
    /// How the attempt ended.
    pub outcome: OutcomeCode,
    /// How long the attempt took.
    #[serde(rename = "DurationMs")]
    pub elapsed_ms: Millis,
    /// Whether the request has received its final response, or no longer needs one.
    #[serde(rename = "NoMore", default)]
    pub request_finished: bool,
    /// The actual cost of the request in quota units.
    #[serde(rename = "Actual")]
    pub actual_units: Option<f64>,
    /// The load report of the server, which no decision uses.
    #[serde(rename = "Telemetry")]
    #[expect(dead_code, reason = "parsed to find malformed values")]
    pub load_report: Option<LoadReport>,
}

/// A load report of a server.
#[derive(Deserialize)]
#[expect(dead_code, reason = "parsed to find malformed values")]
pub(crate) struct LoadReport {
    /// The latency in milliseconds.
    #[serde(rename = "svc_ms")]
    pub latency_ms: Option<Millis>,
    /// The number of requests in flight.
    #[serde(rename = "busy_reqs")]
    pub in_flight: Option<f64>,
}

/// A server in an announcement of discovery.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct EndpointEntry {
    /// Identifies the server.
    pub server: String,
    /// Name of the zone.
    #[serde(rename = "Site")]
    pub zone: String,
    /// The cell; 0 or absent if there are no cells.
    #[serde(rename = "Stripe")]
    pub cell: Option<u32>,
    /// Whether the server accepts requests.
    #[serde(rename = "Condition")]
    pub state: EndpointCondition,
    /// The capacity relative to the other servers; absent means 0.
    pub weight: Option<f64>,
    /// When the server last started; 0 or absent if that was long ago.
    #[serde(rename = "StartTimeMs")]
    pub started_at_ms: Option<Millis>,
}

/// The announced state of a server.
#[derive(Deserialize, Clone, Copy)]
pub(crate) enum EndpointCondition {
    #[serde(rename = "in_service")]
    Serving,
    #[serde(rename = "terminating")]
    Draining,
    #[serde(rename = "terminated")]
    Removed,
}

/// Which endpoints a page contains.
#[derive(Deserialize, PartialEq, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EndpointScope {
    /// The endpoints that have changed.
    Delta,
    /// All endpoints.
    Full,
    /// All endpoints in their last known state.
    Cached,
    /// No endpoints: discovery has failed.
    Failed,
}

/// How an attempt, a health check or a read of the shared counter ended.
#[derive(Deserialize, Clone, Copy)]
pub(crate) enum OutcomeCode {
    #[serde(rename = "completed")]
    Ok,
    #[serde(rename = "errored")]
    Error,
    #[serde(rename = "saturated")]
    Rejected,
    #[serde(rename = "overdue")]
    TimedOut,
    #[serde(rename = "refused_conn")]
    ConnectFailed,
    #[serde(rename = "severed")]
    ConnectionLost,
    #[serde(rename = "recalled")]
    Cancelled,
    #[serde(rename = "superseded")]
    NotSent,
}
