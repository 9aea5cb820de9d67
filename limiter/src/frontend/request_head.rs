//! Parsing and validation of a request's head.

use hyper::header::{HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Uri};
use limiter_core::{Idempotency, Request};

use crate::config::Config;
use crate::messages::request::{CORRELATION_ID, IDEMPOTENCY_KEY, TIME_LEFT};

/// Names the customer's plan.
const PLAN: HeaderName = HeaderName::from_static("x-tariff");
/// Carries the request's cost and the members of its quota; see [`Weight`].
const WEIGHT: HeaderName = HeaderName::from_static("x-weight");
/// Headers of which a request may have at most one.
const UNIQUE_HEADERS: [HeaderName; 5] = [CORRELATION_ID, IDEMPOTENCY_KEY, TIME_LEFT, PLAN, WEIGHT];

/// Longest [`TIME_LEFT`] that makes sense, in seconds; a longer one is rejected.
const MAX_TIME_LEFT_S: f64 = 3600.0;
/// Longest time for which a request is kept, in seconds; a longer [`TIME_LEFT`] is cut to this.
const MAX_TIMEOUT_S: f64 = 60.0;
/// Length of a customer id in the path.
const CUSTOMER_HEX_DIGITS: usize = 16;
/// Customer ids are below this.
const CUSTOMER_END: u64 = 1 << 33;

/// Why a request was rejected by its head. The message is the body of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestHeadError {
    /// The body has a transfer coding in place of a declared length.
    #[error("a body comes with its length")]
    LengthRequired,
    /// One of [`UNIQUE_HEADERS`] occurs more than once.
    #[error("a header that may come once comes twice")]
    RepeatedHeader,
    /// The path is not `/class/customer`.
    #[error("no such path")]
    UnknownPath,
    /// The settings have no such class.
    #[error("unknown class")]
    UnknownClass,
    /// The second part of the path is no customer id.
    #[error("the customer is not 16 hex digits below 2^33")]
    InvalidCustomer,
    /// Idempotent classes take GET, all others POST.
    #[error("not this class's method")]
    WrongMethod,
    /// The plan is missing, or the settings have no such plan.
    #[error("no known X-Tariff")]
    UnknownPlan,
    /// The time left is missing, no number, or out of bounds.
    #[error("no good X-Time-Left")]
    InvalidTimeLeft,
    /// The weight is missing, incomplete, or out of bounds.
    #[error("no good X-Weight")]
    InvalidWeight,
    /// The correlation id is missing or empty.
    #[error("no X-Correlation-Id")]
    MissingCorrelationId,
    /// The class requires an idempotency key, and it is missing or empty.
    #[error("no Idempotency-Key")]
    MissingIdempotencyKey,
    /// The target has no path.
    #[error("no path")]
    MissingPath,
}

impl RequestHeadError {
    /// The status of the response.
    pub(super) fn status(self) -> StatusCode {
        match self {
            RequestHeadError::LengthRequired => StatusCode::LENGTH_REQUIRED,
            RequestHeadError::UnknownPath => StatusCode::NOT_FOUND,
            RequestHeadError::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            RequestHeadError::RepeatedHeader
            | RequestHeadError::UnknownClass
            | RequestHeadError::InvalidCustomer
            | RequestHeadError::UnknownPlan
            | RequestHeadError::InvalidTimeLeft
            | RequestHeadError::InvalidWeight
            | RequestHeadError::MissingCorrelationId
            | RequestHeadError::MissingIdempotencyKey
            | RequestHeadError::MissingPath => StatusCode::BAD_REQUEST,
        }
    }
}

/// What a valid head says.
pub(super) struct RequestHead {
    /// What the core needs to know; its id and how long it has waited are added on submission.
    pub(super) request: Request,
    /// Path and query.
    pub(super) target: Uri,
    /// Value of [`CORRELATION_ID`].
    pub(super) correlation_id: HeaderValue,
    /// Value of [`IDEMPOTENCY_KEY`].
    pub(super) idempotency_key: Option<HeaderValue>,
}

impl RequestHead {
    /// Parses a complete head. A request with anything malformed or unknown reaches neither the core nor a server.
    ///
    /// # Errors
    /// The first fault, in the order of the checks below.
    pub(super) fn parse(head: &Parts, config: &Config) -> Result<RequestHead, RequestHeadError> {
        let headers = &head.headers;
        check_framing(headers)?;
        check_unique_headers(headers)?;
        let (class_name, customer_text) = split_path(head.uri.path()).ok_or(RequestHeadError::UnknownPath)?;
        let class = config.names.class(class_name).map_err(|_| RequestHeadError::UnknownClass)?;
        let customer = parse_customer(customer_text).ok_or(RequestHeadError::InvalidCustomer)?;
        let idempotency = class_idempotency(config, class);
        check_method(&head.method, idempotency)?;
        let plan = parse_plan(headers, config).ok_or(RequestHeadError::UnknownPlan)?;
        let time_left_s = parse_time_left(headers).ok_or(RequestHeadError::InvalidTimeLeft)?;
        let weight = trimmed_text(headers, &WEIGHT)
            .and_then(|text| parse_weight(text, config.settings.limiters, config.max_request_units))
            .ok_or(RequestHeadError::InvalidWeight)?;
        let correlation_id =
            non_empty(headers, &CORRELATION_ID).ok_or(RequestHeadError::MissingCorrelationId)?;
        let idempotency_key = non_empty(headers, &IDEMPOTENCY_KEY);
        if idempotency == Idempotency::WithKey && idempotency_key.is_none() {
            return Err(RequestHeadError::MissingIdempotencyKey);
        }
        let path_and_query = head.uri.path_and_query().ok_or(RequestHeadError::MissingPath)?;
        let request = Request {
            id: 0,
            class,
            plan,
            customer,
            timeout_ms: time_left_s.min(MAX_TIMEOUT_S) * 1000.0,
            waited_ms: 0.0,
            cost_units: weight.cost_units,
            member_count: weight.member_count,
            first_member: weight.first_member,
        };
        Ok(RequestHead { request, target: path_and_query.clone().into(), correlation_id, idempotency_key })
    }
}

/// Guards against request smuggling: given both a transfer coding and a length, hyper follows the coding and may drop
/// the length, while another reader may follow the length. Clients declare the length here.
fn check_framing(headers: &HeaderMap) -> Result<(), RequestHeadError> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestHeadError::LengthRequired);
    }
    Ok(())
}

fn check_unique_headers(headers: &HeaderMap) -> Result<(), RequestHeadError> {
    let is_repeated = |name: &HeaderName| headers.get_all(name).iter().nth(1).is_some();
    if UNIQUE_HEADERS.iter().any(is_repeated) {
        return Err(RequestHeadError::RepeatedHeader);
    }
    Ok(())
}

/// Class and customer of a path `/class/customer`.
fn split_path(path: &str) -> Option<(&str, &str)> {
    let mut parts = path.strip_prefix('/').unwrap_or_default().split('/');
    match (parts.next(), parts.next(), parts.next()) {
        (Some(class), Some(customer), None) => Some((class, customer)),
        _ => None,
    }
}

fn parse_customer(text: &str) -> Option<u64> {
    // The digits are checked one by one: `from_str_radix` alone would also take a sign.
    if text.len() != CUSTOMER_HEX_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(text, 16).ok().filter(|customer| *customer < CUSTOMER_END)
}

fn class_idempotency(config: &Config, class: usize) -> Idempotency {
    config.settings.classes.get(class).map_or(Idempotency::NonIdempotent, |class| class.idempotency)
}

fn check_method(method: &Method, idempotency: Idempotency) -> Result<(), RequestHeadError> {
    let expected = if idempotency == Idempotency::Idempotent { Method::GET } else { Method::POST };
    if *method != expected {
        return Err(RequestHeadError::WrongMethod);
    }
    Ok(())
}

fn parse_plan(headers: &HeaderMap, config: &Config) -> Option<usize> {
    config.names.plan(trimmed_text(headers, &PLAN)?).ok()
}

/// The time left, in seconds.
fn parse_time_left(headers: &HeaderMap) -> Option<f64> {
    let seconds = trimmed_text(headers, &TIME_LEFT)?.parse::<f64>().ok()?;
    (0.0..=MAX_TIME_LEFT_S).contains(&seconds).then_some(seconds)
}

/// What [`WEIGHT`] says.
struct Weight {
    /// Cost in quota units.
    cost_units: f64,
    /// Number of limiters that are members of the customer's quota.
    member_count: u32,
    /// Position of the first member; the others follow it in a ring.
    first_member: u32,
}

/// Parses `units=2,spread=3,first=1`, in any order; other names are ignored.
fn parse_weight(text: &str, limiters: u32, max_units: f64) -> Option<Weight> {
    let (mut cost_units, mut member_count, mut first_member) = (None, None, None);
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value = value.trim();
        match name.trim() {
            "units" => cost_units = value.parse::<f64>().ok().filter(|u| *u > 0.0 && *u <= max_units),
            "spread" => member_count = value.parse::<u32>().ok().filter(|m| (1..=limiters).contains(m)),
            "first" => first_member = value.parse::<u32>().ok().filter(|f| *f < limiters),
            _ => {}
        }
    }
    Some(Weight { cost_units: cost_units?, member_count: member_count?, first_member: first_member? })
}

/// A header's value without the blanks around it, if it is text.
fn trimmed_text<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Option<&'h str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

fn non_empty(headers: &HeaderMap, name: &HeaderName) -> Option<HeaderValue> {
    headers.get(name).filter(|value| !value.is_empty()).cloned()
}
