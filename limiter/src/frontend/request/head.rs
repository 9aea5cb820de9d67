//! Parsing and validation of the head of a request.

use hyper::header::{HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Uri};
use limiter_core::{Idempotency, Request};

use super::path::{RequestPath, RequestPathError};
use super::weight::Weight;
use crate::config::Config;
use crate::messages::request::{CORRELATION_ID, IDEMPOTENCY_KEY, TIME_LEFT};

/// Header field that names the customer's plan.
const PLAN: HeaderName = HeaderName::from_static("x-tariff");
/// Header field that declares the cost of the request and the members of its quota; see [`Weight`].
const WEIGHT: HeaderName = HeaderName::from_static("x-weight");
/// Header fields that may occur at most once in a request.
const UNIQUE_HEADERS: [HeaderName; 5] = [CORRELATION_ID, IDEMPOTENCY_KEY, TIME_LEFT, PLAN, WEIGHT];

/// Largest valid value of [`TIME_LEFT`], in seconds. A request with a larger value is rejected.
const MAX_TIME_LEFT_S: f64 = 3600.0;
/// Longest time for which a request is pending, in seconds. A longer [`TIME_LEFT`] is reduced to this.
const MAX_TIMEOUT_S: f64 = 60.0;

/// Why the head of a request is invalid. The message is the body of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestHeadError {
    /// The body has a transfer coding instead of a declared length.
    #[error("a body comes with its length")]
    LengthRequired,
    /// One of [`UNIQUE_HEADERS`] occurs more than once.
    #[error("a header that may come once comes twice")]
    RepeatedHeader,
    /// The path is invalid.
    #[error(transparent)]
    Path(#[from] RequestPathError),
    /// The method is not the one that the class requires: GET for idempotent classes, POST for all others.
    #[error("not this class's method")]
    WrongMethod,
    /// The plan is missing, or the settings do not define it.
    #[error("no known X-Tariff")]
    UnknownPlan,
    /// The time left is missing, not a number, or out of bounds.
    #[error("no good X-Time-Left")]
    InvalidTimeLeft,
    /// The weight is missing, incomplete, or out of bounds.
    #[error("no good X-Weight")]
    InvalidWeight,
    /// The correlation id is missing or empty.
    #[error("no X-Correlation-Id")]
    MissingCorrelationId,
    /// The idempotency key that the class requires is missing or empty.
    #[error("no Idempotency-Key")]
    MissingIdempotencyKey,
    /// The target has no path.
    #[error("no path")]
    MissingPath,
}

impl RequestHeadError {
    /// Returns the status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            RequestHeadError::LengthRequired => StatusCode::LENGTH_REQUIRED,
            RequestHeadError::Path(error) => error.status(),
            RequestHeadError::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            RequestHeadError::RepeatedHeader
            | RequestHeadError::UnknownPlan
            | RequestHeadError::InvalidTimeLeft
            | RequestHeadError::InvalidWeight
            | RequestHeadError::MissingCorrelationId
            | RequestHeadError::MissingIdempotencyKey
            | RequestHeadError::MissingPath => StatusCode::BAD_REQUEST,
        }
    }
}

/// The head of a valid request. Holds copies: the values of hyper are parts of its read buffer, which would
/// stay allocated for as long as the request is pending.
pub struct RequestHead {
    /// The method, which is the one that the class requires.
    pub method: Method,
    /// The request in the form that the core handles. The id of the request and the time for which it has
    /// waited are set when it is submitted.
    pub request: Request,
    /// Path and query.
    pub target: Uri,
    /// Value of [`CORRELATION_ID`].
    pub correlation_id: HeaderValue,
    /// Value of [`IDEMPOTENCY_KEY`], if present and not empty.
    pub idempotency_key: Option<HeaderValue>,
}

impl RequestHead {
    /// Parses and validates a complete head. A request with any malformed or unknown part reaches neither the
    /// core nor a server.
    ///
    /// # Errors
    /// The error of the first check that fails, in the order below.
    pub fn parse(head: &Parts, config: &Config) -> Result<RequestHead, RequestHeadError> {
        let headers = &head.headers;
        check_framing(headers)?;
        check_unique_headers(headers)?;
        let path = RequestPath::parse(head.uri.path(), config)?;
        let idempotency = class_idempotency(config, path.class);
        check_method(&head.method, idempotency)?;
        let plan = parse_plan(headers, config)?;
        let time_left_s = parse_time_left_s(headers)?;
        let weight = parse_weight(headers, config)?;
        let correlation_id =
            non_empty(headers, &CORRELATION_ID).ok_or(RequestHeadError::MissingCorrelationId)?;
        let idempotency_key = parse_idempotency_key(headers, idempotency)?;
        let target = copy_of_target(&head.uri).ok_or(RequestHeadError::MissingPath)?;
        let request = Request {
            id: 0,
            class: path.class,
            plan,
            customer: path.customer,
            timeout_ms: time_left_s.min(MAX_TIMEOUT_S) * 1000.0,
            waited_ms: 0.0,
            cost_units: weight.cost_units,
            member_count: weight.member_count,
            first_member: weight.first_member,
        };
        let method = head.method.clone();
        Ok(RequestHead { method, request, target, correlation_id, idempotency_key })
    }
}

/// Returns a copy of the path and the query of a target, or `None` if the target has no path.
fn copy_of_target(target: &Uri) -> Option<Uri> {
    Uri::try_from(target.path_and_query()?.as_str()).ok()
}

/// Rejects transfer codings, to prevent request smuggling. If a request has both a transfer coding and a
/// length, hyper uses the coding and may drop the length, while a server may use the length. Clients
/// therefore have to declare the length.
fn check_framing(headers: &HeaderMap) -> Result<(), RequestHeadError> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestHeadError::LengthRequired);
    }
    Ok(())
}

/// Checks that none of [`UNIQUE_HEADERS`] is repeated.
fn check_unique_headers(headers: &HeaderMap) -> Result<(), RequestHeadError> {
    for name in &UNIQUE_HEADERS {
        if headers.get_all(name).iter().count() > 1 {
            return Err(RequestHeadError::RepeatedHeader);
        }
    }
    Ok(())
}

/// Returns whether requests of a class are idempotent, idempotent only with a key, or not idempotent.
fn class_idempotency(config: &Config, class: usize) -> Idempotency {
    config.settings.classes.get(class).map_or(Idempotency::NonIdempotent, |class| class.idempotency)
}

/// Checks that the method is the one that the class requires.
fn check_method(method: &Method, idempotency: Idempotency) -> Result<(), RequestHeadError> {
    let expected = if idempotency == Idempotency::Idempotent { Method::GET } else { Method::POST };
    if *method != expected {
        return Err(RequestHeadError::WrongMethod);
    }
    Ok(())
}

/// Parses [`PLAN`] into the index of the plan in the settings.
fn parse_plan(headers: &HeaderMap, config: &Config) -> Result<usize, RequestHeadError> {
    let name = trimmed_text(headers, &PLAN).ok_or(RequestHeadError::UnknownPlan)?;
    config.names.plan(name).map_err(|_| RequestHeadError::UnknownPlan)
}

/// Parses [`TIME_LEFT`], in seconds.
fn parse_time_left_s(headers: &HeaderMap) -> Result<f64, RequestHeadError> {
    let text = trimmed_text(headers, &TIME_LEFT).ok_or(RequestHeadError::InvalidTimeLeft)?;
    let seconds: f64 = text.parse().map_err(|_| RequestHeadError::InvalidTimeLeft)?;
    if !(0.0..=MAX_TIME_LEFT_S).contains(&seconds) {
        return Err(RequestHeadError::InvalidTimeLeft);
    }
    Ok(seconds)
}

/// Parses [`WEIGHT`].
fn parse_weight(headers: &HeaderMap, config: &Config) -> Result<Weight, RequestHeadError> {
    let text = trimmed_text(headers, &WEIGHT).ok_or(RequestHeadError::InvalidWeight)?;
    Weight::parse(text, config).ok_or(RequestHeadError::InvalidWeight)
}

/// Returns the value of [`IDEMPOTENCY_KEY`], if present and not empty. A class whose requests are idempotent
/// only with a key requires a value.
fn parse_idempotency_key(
    headers: &HeaderMap,
    idempotency: Idempotency,
) -> Result<Option<HeaderValue>, RequestHeadError> {
    let key = non_empty(headers, &IDEMPOTENCY_KEY);
    if idempotency == Idempotency::WithKey && key.is_none() {
        return Err(RequestHeadError::MissingIdempotencyKey);
    }
    Ok(key)
}

/// Returns the value of a header field without the white space around it, if the value is ASCII text.
fn trimmed_text<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Option<&'h str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

/// Returns a copy of the value of a header field, unless it is empty.
fn non_empty(headers: &HeaderMap, name: &HeaderName) -> Option<HeaderValue> {
    let value = headers.get(name).filter(|value| !value.is_empty())?;
    HeaderValue::from_bytes(value.as_bytes()).ok()
}
